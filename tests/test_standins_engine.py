"""Tests of the simulated engine over real connections."""

import asyncio
import json
import unittest

from parameterized import parameterized
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.engine_text import words_of
from balsamreach.standins.serve import start_engine

_PROMPT = 'tell me words=3'
_CHAT = '/v1/chat/completions'


def _chat_body(prompt: str = _PROMPT, **fields) -> dict:
    message = {'role': 'user', 'content': prompt}
    return {'model': 'model-a', 'messages': [message]} | fields


def _raw_request(body: dict) -> bytes:
    encoded = json.dumps(body).encode()
    length = len(encoded)
    lines = (
        f'POST {_CHAT} HTTP/1.1',
        'Host: engine',
        f'Content-Length: {length}',
        '\r\n',
    )
    return '\r\n'.join(lines).encode() + encoded


def _parse_events(body: bytes) -> list[str]:
    parts = body.decode().split('\n\n')
    return [part.removeprefix('data: ') for part in parts if part]


def _joined_content(events: list[str]) -> str:
    chunks = [json.loads(event) for event in events if event != '[DONE]']
    choices = [chunk['choices'][0] for chunk in chunks if chunk['choices']]
    return ''.join(choice['delta'].get('content', '') for choice in choices)


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """Base class with an engine without delays on a free port."""

    async def asyncSetUp(self) -> None:
        cfg = EngineSettings(first_ms=0, pace_ms=0, block_ms=0)
        self.running = await start_engine(cfg)
        self.engine = self.running.core
        self.http = CurlAsyncHTTPClient(force_instance=True)

    async def asyncTearDown(self) -> None:
        self.http.close()
        await self.running.stop()

    async def _send(
        self, path: str, body: dict | None = None, **kwargs
    ) -> HTTPResponse:
        if body is not None:
            kwargs = {'method': 'POST', 'body': json.dumps(body)} | kwargs
        request = HTTPRequest(self.running.url + path, **kwargs)
        return await self.http.fetch(request, raise_error=False)

    async def _control(self, **settings) -> dict:
        response = await self._send('/control', settings)
        return json.loads(response.body)


class AnswerTest(EngineTest):
    """Form and content of responses."""

    async def test_stream(self) -> None:
        response = await self._send(
            _CHAT,
            _chat_body(stream=True, stream_options={'include_usage': True}),
            headers={'X-Attempt-Id': 'attempt-1'},
        )
        events = _parse_events(response.body)
        self.assertEqual(events.pop(), '[DONE]')
        chunks = [json.loads(event) for event in events]
        kinds = {chunk['object'] for chunk in chunks}
        self.assertEqual(kinds, {'chat.completion.chunk'})
        self.assertEqual(_joined_content(events), ' '.join(words_of(_PROMPT)))
        self.assertEqual(chunks[-2]['choices'][0]['finish_reason'], 'stop')
        self.assertEqual(chunks[-1]['choices'], [])
        self.assertEqual(
            chunks[-1]['usage'],
            {'prompt_tokens': 3, 'completion_tokens': 3, 'total_tokens': 6},
        )
        self.assertEqual(response.headers['X-Attempt-Id'], 'attempt-1')
        self.assertEqual(self.engine.runs['attempt-1'], 1)

    @parameterized.expand(
        [
            ('right', {'prompt_tokens': 3, 'completion_tokens': 2}),
            ('negative', {'prompt_tokens': -3, 'completion_tokens': -2}),
            ('huge', {'prompt_tokens': 10**15, 'completion_tokens': 10**15}),
            ('missing', None),
        ]
    )
    async def test_plain_json(self, usage_mode, usage) -> None:
        await self._control(usage=usage_mode)
        response = await self._send(_CHAT, _chat_body(max_tokens=2))
        answer = json.loads(response.body)
        choice = answer['choices'][0]
        words = ' '.join(words_of(_PROMPT)[:2])
        self.assertEqual(choice['message']['content'], words)
        self.assertEqual(choice['finish_reason'], 'length')
        counted = answer.get('usage')
        if counted:
            counted.pop('total_tokens')
        self.assertEqual(counted, usage)

    async def test_cache(self) -> None:
        prompt = 'x' * 200
        await self._send(_CHAT, _chat_body(prompt))
        await self._send(_CHAT, _chat_body(f'{prompt} and more'))
        self.assertEqual(self.engine.counters['blocks_computed'], 3)
        self.assertEqual(self.engine.counters['blocks_cached'], 3)
        response = await self._send('/cache-events?since=2')
        answer = json.loads(response.body)
        self.assertEqual(answer['next'], 4)
        seqs = [event['seq'] for event in answer['events']]
        self.assertEqual(seqs, [2, 3])

    async def test_load(self) -> None:
        load = json.loads((await self._send('/load')).body)
        self.assertEqual(load['models'], ['model-a'])
        self.assertEqual((load['running'], load['queued']), (0, 0))

    async def test_unknown_model(self) -> None:
        response = await self._send(_CHAT, _chat_body() | {'model': 'none'})
        self.assertEqual(response.code, 404)


class ResumeTest(EngineTest):
    """Streams that are cut, resumed and cancelled."""

    async def test_resume_after_cut(self) -> None:
        """A broken stream is resumed without a gap.

        The engine cuts the connection after two events while the generation
        goes on; the caller then requests the remaining events.
        """
        await self._control(cut_after=2)
        chunks: list[bytes] = []
        header_lines: list[str] = []
        with self.assertRaises(CurlError):
            await self._send(
                _CHAT,
                _chat_body(stream=True),
                headers={'X-Keep-Seconds': '60'},
                streaming_callback=chunks.append,
                header_callback=header_lines.append,
            )
        matching = [
            line for line in header_lines if line.startswith('X-Engine-R')
        ]
        ident = matching[0].partition(': ')[2].strip()
        received = _parse_events(b''.join(chunks))
        self.assertEqual(len(received), 2)
        await self._control(cut_after=0)
        rest = await self._send(f'/generations/{ident}?from=2')
        events = received + _parse_events(rest.body)
        self.assertEqual(_joined_content(events), ' '.join(words_of(_PROMPT)))
        self.assertEqual(events[-1], '[DONE]')

    async def test_unknown_generation(self) -> None:
        response = await self._send('/generations/none?from=0')
        self.assertEqual(response.code, 404)

    async def test_cancelled(self) -> None:
        await self._control(pace_ms=60000)
        stream, ident = await self._open_stream(_chat_body(stream=True))
        gone = await self._send(f'/generations/{ident}', method='DELETE')
        self.assertEqual(gone.code, 204)
        with self.assertRaises(CurlError):
            await stream
        self.assertEqual(self.engine.counters['cancelled'], 1)
        self.assertEqual(self.engine.slots.running, 0)

    async def test_caller_disconnects(self) -> None:
        """A generation is cancelled when its caller closes the connection.

        Otherwise it would occupy its slot until the end of a reply that
        nobody reads. The caller set no ``X-Keep-Seconds``.
        """
        await self._control(pace_ms=60000)
        host, port = self.running.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_raw_request(_chat_body(stream=True)))
        head = await reader.readuntil(b'\r\n\r\n')
        ident = head.partition(b'Engine-Request: ')[2].split()[0].decode()
        generation = self.engine.generations.find(ident)
        writer.close()
        while not generation.ended:
            await generation.wait_for_change()
        self.assertTrue(generation.cancelled)

    async def test_full_queue(self) -> None:
        """A request gets 503 and is not run if slots and queue are full.

        One request runs and one is queued when the third one arrives.
        """
        await self._control(pace_ms=60000)
        self.engine.slots.limit = 1
        self.engine.slots.queue_limit = 1
        first, _ = await self._open_stream(_chat_body(stream=True))
        second, _ = await self._open_stream(_chat_body(stream=True))
        refused = await self._send(_CHAT, _chat_body())
        self.assertEqual(refused.headers['X-Not-Run'], 'true')
        self.engine.drop_all()
        outcomes = await asyncio.gather(first, second, return_exceptions=True)
        kinds = [type(outcome) for outcome in outcomes]
        self.assertEqual(kinds, [CurlError, CurlError])

    async def _open_stream(self, body: dict) -> tuple[asyncio.Task, str]:
        lines: asyncio.Queue[str] = asyncio.Queue()
        sending = self._send(
            _CHAT,
            body,
            header_callback=lines.put_nowait,
            streaming_callback=len,
        )
        stream = asyncio.create_task(sending)
        line = ''
        while not line.startswith('X-Engine-Request'):
            line = await lines.get()
        return stream, line.partition(': ')[2].strip()


class FailureTest(EngineTest):
    """Refusals, crashes and silence of the engine."""

    @parameterized.expand([('checks', True, 409), ('ignores', False, 200)])
    async def test_old_fence(self, _, honour, code) -> None:
        await self._control(honour_fences=honour)
        await self._send('/orders', {'order': 'set_role', 'fence': 5})
        old = await self._send('/orders', {'order': 'leave', 'fence': 4})
        self.assertEqual(old.code, code)
        self.assertEqual(self.engine.cfg.leaving, not honour)

    async def test_loads_model(self) -> None:
        order = {'order': 'load_model', 'fence': 1, 'model': 'model-b'}
        await self._send('/orders', order)
        response = await self._send(_CHAT, _chat_body() | {'model': 'model-b'})
        self.assertEqual(response.code, 200)

    async def test_leaving(self) -> None:
        await self._control(leaving=True)
        response = await self._send(_CHAT, _chat_body())
        self.assertEqual(response.code, 503)
        self.assertEqual(response.headers['X-Not-Run'], 'true')

    async def test_failure(self) -> None:
        await self._control(fail_share=1)
        self.assertEqual((await self._send(_CHAT, _chat_body())).code, 500)

    async def test_crash(self) -> None:
        """A prompt with the crash mark crashes the engine.

        All connections are dropped, and further requests fail until the
        engine is restarted.
        """
        await self._control(crash_mark='poison')
        with self.assertRaises(CurlError):
            await self._send(_CHAT, _chat_body('some poison'))
        with self.assertRaises(CurlError):
            await self._send('/load')
        await self._control(crashed=False)
        self.assertEqual((await self._send(_CHAT, _chat_body())).code, 200)

    async def test_silent(self) -> None:
        """A silent engine accepts requests and does not answer.

        This simulates a process that hangs with its socket open; calls time
        out.
        """
        await self._control(silent=True)
        with self.assertRaises(CurlError):
            await self._send('/load', request_timeout=0.05)
        await self._control(silent=False)
        self.assertEqual((await self._send('/load')).code, 200)
