"""Tests of the transport to targets against a small TCP fake."""

import asyncio
import ssl
import tempfile
import unittest
from pathlib import Path

import trustme
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    SILENT,
    Attempt,
    Intake,
)
from balsamreach.gateway.curl_upstream import CurlUpstream
from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import TargetRow, TeamRow
from balsamreach.targets.registry import Target

_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_MIB = 1024 * 1024


class FakeTarget:
    """Says what its script holds, by the number of the request."""

    def __init__(self, *script: bytes) -> None:
        self.script = list(script)
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.asked = asyncio.Event()

    async def serve(self, tls: ssl.SSLContext | None = None) -> str:
        self.server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
            ssl=tls,
        )
        port = self.server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                await self._answer(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        except asyncio.CancelledError:
            # The test is over with the connection still open.
            writer.transport.abort()
        finally:
            writer.close()

    async def _answer(self, head, reader, writer) -> None:
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await reader.readexactly(int(line.partition(b':')[2]))
        self.requests.append(head)
        self.asked.set()
        said = self.script.pop(0) if self.script else b''
        if said == b'close':
            raise ConnectionError
        writer.write(said.removesuffix(b'close'))
        await writer.drain()
        if said.endswith(b'close'):
            raise ConnectionError


class Memory(Intake):
    """Keeps what it is given; full where a test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.body = b''
        self.must_pause = False

    @property
    def is_full(self) -> bool:
        return self.must_pause

    def start(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def write(self, chunk: bytes) -> None:
        self.body += chunk


def _settings(*overrides: str):
    return read_settings(
        None,
        ('host.zone=zone-a', 'routing.gap_timeout=200ms', *overrides),
    )


def _attempt(address: str, *, idempotent=True, stream=True) -> Attempt:
    call = Call(
        req=RequestId('winders', 'key', True, b''),
        team=TeamRow(name='winders'),
        kind='engine',
        name='model-a',
        method='POST',
        path='/v1/chat/completions',
        headers={},
        body=b'{}',
        stream=stream,
        idempotent=idempotent,
        reserved_tokens=1,
        deadline=1,
    )
    row = TargetRow(name='t', address=address, zone='zone-a', service='llm')
    return Attempt('attempt-1', call, Target(row))


class CurlUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Base with an upstream that is closed at the end."""

    def make(self, *overrides: str) -> CurlUpstream:
        upstream = CurlUpstream(_settings(*overrides))
        self.addCleanup(upstream.close)
        return upstream

    async def fake(self, *script: bytes) -> tuple[FakeTarget, str]:
        fake = FakeTarget(*script)
        address = await fake.serve()
        self.addCleanup(fake.server.close)
        return fake, address


class FaultTest(CurlUpstreamTest):
    """What becomes of an exchange that does not end in order."""

    @parameterized.expand(
        (
            ('no answer', b'close'),
            ('half a head', b'HTTP/1.1 200 OK\r\nContentclose'),
            ('half a chunk', b'%b10\r\ndata: {close' % _STREAM_HEAD),
            ('no last chunk', b'%b2\r\nab\r\nclose' % _STREAM_HEAD),
            ('endless head', b'HTTP/1.1 200 OK\r\n%b' % (b'a: b\r\n' * 20000)),
        ),
    )
    async def test_broken(self, _name: str, said: bytes) -> None:
        fake, address = await self.fake(said, _WHOLE)
        outcome = await self.make().send(_attempt(address), Memory())
        self.assertEqual(outcome, BROKEN)
        self.assertEqual(len(fake.requests), 1)

    async def test_refused_connection_is_not_sent(self) -> None:
        fake, address = await self.fake()
        fake.server.close()
        memory = Memory()
        outcome = await self.make().send(_attempt(address), memory)
        self.assertEqual(outcome, NOT_SENT)
        self.assertFalse(memory.sent)

    @parameterized.expand((('stream', True), ('whole', False)))
    async def test_no_second_sending(self, _name: str, stream: bool) -> None:
        """A request ran twice although it was sent once.

        The target answered on a connection, took the next request on it and
        closed it without an answer. Curl took the connection for stale and
        sent the request again on a new one by itself.
        """
        fake, address = await self.fake(_WHOLE, b'close', _WHOLE)
        upstream = self.make()
        attempt = _attempt(address, stream=stream)
        self.assertIsNone(await upstream.send(attempt, Memory()))
        again = Memory()
        outcome = await upstream.send(attempt, again)
        self.assertEqual(outcome, BROKEN)
        self.assertTrue(again.sent)
        self.assertEqual(len(fake.requests), 2)

    async def test_non_idempotent_gets_a_new_connection(self) -> None:
        """A certificate's outcome was unknown although nothing had failed.

        The target had closed the idle connection that the request was sent
        on, and one that may not be repeated can't be tried again.
        """
        fake, address = await self.fake(_WHOLE, _WHOLE)
        upstream = self.make()
        for _ in range(2):
            attempt = _attempt(address, idempotent=False)
            self.assertIsNone(await upstream.send(attempt, Memory()))
        self.assertEqual(fake.connections, 2)


class SilenceTest(CurlUpstreamTest):
    """Connections on which nothing comes any more."""

    @parameterized.expand(
        (('before the head', b''), ('within the stream', _STREAM_HEAD)),
    )
    async def test_silent_stream(self, _name: str, said: bytes) -> None:
        """A caller waits for a stream until its deadline.

        Symptom: half an answer, then nothing. Sequence: the target takes the
        request; the connection stands and carries nothing more.
        Cause: only closed connections counted as broken.
        """
        fake, address = await self.fake(said)
        outcome = await self.make().send(_attempt(address), Memory())
        self.assertEqual(outcome, SILENT)
        await fake.closed.wait()

    async def test_pooled_connections_are_not_used_after_silence(self) -> None:
        """Each request to a target hung for a gap timeout, one by one.

        Symptom: gap timeout after gap timeout at a target that lives.
        Sequence: a device between loses track of all connections that
        stood; one is found silent; the next request goes out on another.
        Cause: the pool outlived the silence of one of its connections.
        """
        fake, address = await self.fake(_WHOLE, b'', _WHOLE, _WHOLE)
        upstream = self.make()
        await upstream.send(_attempt(address, stream=False), Memory())
        silent = await upstream.send(_attempt(address), Memory())
        self.assertEqual(silent, SILENT)
        self.assertEqual(fake.connections, 1)
        await upstream.send(_attempt(address), Memory())
        self.assertEqual(fake.connections, 2)

    async def test_standing_pool_is_left_after_silence(self) -> None:
        """As above, with the old connection idle during the silence."""
        fake, address = await self.fake(b'', _WHOLE, _WHOLE)
        upstream = self.make()
        silent = asyncio.create_task(
            upstream.send(_attempt(address), Memory()),
        )
        await fake.asked.wait()
        await upstream.send(_attempt(address), Memory())
        self.assertEqual(await silent, SILENT)
        self.assertEqual(fake.connections, 2)
        await upstream.send(_attempt(address), Memory())
        self.assertEqual(fake.connections, 3)


class StreamTest(CurlUpstreamTest):
    """Exchanges that go on for a while."""

    async def test_cancelling_closes_the_connection(self) -> None:
        """An engine generated on for a caller that had gone.

        The task of the request was cancelled, but its connection to the
        target stayed open until the answer's end.
        """
        fake, address = await self.fake(_STREAM_HEAD)
        upstream = self.make('routing.gap_timeout=1h')
        task = asyncio.create_task(upstream.send(_attempt(address), Memory()))
        await fake.asked.wait()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await fake.closed.wait()

    async def test_slow_caller_pauses_the_target(self) -> None:
        """A caller that did not read made the router's memory grow.

        The target sent faster than the caller took, and what came was kept.
        """
        size = 16 * _MIB
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
        _fake, address = await self.fake(head + b'x' * size)
        memory = Memory()
        memory.must_pause = True
        upstream = self.make()
        task = asyncio.create_task(upstream.send(_attempt(address), memory))
        # Far longer than the gap timeout: a pause is no silence.
        await asyncio.sleep(0.5)
        self.assertEqual(memory.body, b'')
        self.assertFalse(task.done())
        memory.must_pause = False
        self.assertIsNone(await task)
        self.assertEqual(len(memory.body), size)

    async def test_informational_head_is_not_the_answer(self) -> None:
        early = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
        fake, address = await self.fake(early + _WHOLE)
        memory = Memory()
        self.assertIsNone(await self.make().send(_attempt(address), memory))
        self.assertEqual((memory.status, memory.body), (200, b'ok'))
        head = fake.requests[0]
        self.assertIn(f'Host: {address}\r\n'.encode(), head)
        self.assertIn(b'X-Attempt-Id: attempt-1\r\n', head)
        self.assertNotIn(b'Expect', head)


class TlsTest(CurlUpstreamTest):
    """Targets reached over TLS."""

    async def test_certificate_is_checked(self) -> None:
        authority = trustme.CA()
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        authority.issue_cert('127.0.0.1').configure_cert(context)
        fake = FakeTarget(_WHOLE)
        address = await fake.serve(context)
        self.addCleanup(fake.server.close)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'ca.pem'
            authority.cert_pem.write_to_path(path)
            known = self.make(
                'routing.target_tls=yes',
                f'routing.target_tls_ca={path}',
            )
            strange = self.make('routing.target_tls=yes')
            attempt = _attempt(address)
            self.assertEqual(await strange.send(attempt, Memory()), NOT_SENT)
            self.assertIsNone(await known.send(attempt, Memory()))
