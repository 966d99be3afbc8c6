"""Tests of CurlUpstream against a fake target on TCP."""

import asyncio
import ssl
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trustme
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.dispatch.attempt_sender import make_reply
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    REJECTED,
    SILENT,
    Attempt,
    ConnectFailure,
    Intake,
)
from balsamreach.gateway.curl_upstream import CurlUpstream
from balsamreach.requests.answers import Output
from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import TargetRow, TeamRow
from balsamreach.targets.registry import Target

_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_COMPLETE_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_OTHER_ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nContent-Length: 2\r\n\r\nno'
)
_OTHER_STREAM = _STREAM_HEAD.replace(
    b'\r\n\r\n', b'\r\nX-Attempt-Id: another\r\n\r\n'
)
_MIB = 1024 * 1024


class FakeTarget:
    """Sends one entry of its script per request, in order.

    An entry that ends with ``close`` closes the connection after the bytes
    before it.
    """

    def __init__(self, *script: bytes) -> None:
        self.script = list(script)
        self.requests: list[bytes] = []
        self.connections = 0
        self.connection_closed = asyncio.Event()
        self.request_received = asyncio.Event()

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
            self.connection_closed.set()
        except asyncio.CancelledError:
            # The test ended while the connection was open.
            writer.transport.abort()
        finally:
            writer.close()

    async def _answer(self, head, reader, writer) -> None:
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await reader.readexactly(int(line.partition(b':')[2]))
        self.requests.append(head)
        self.request_received.set()
        answer = self.script.pop(0) if self.script else b''
        if answer == b'close':
            raise ConnectionError
        writer.write(answer.removesuffix(b'close'))
        await writer.drain()
        if answer.endswith(b'close'):
            raise ConnectionError


class RecordingIntake(Intake):
    """Stores the answer; tests set whether it is full."""

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


class CurlUpstreamTestCase(unittest.IsolatedAsyncioTestCase):
    """Base that creates upstreams and fake targets and closes them."""

    def make_upstream(self, *overrides: str) -> CurlUpstream:
        upstream = CurlUpstream(_settings(*overrides))
        self.addCleanup(upstream.close)
        return upstream

    async def start_target(self, *script: bytes) -> tuple[FakeTarget, str]:
        target = FakeTarget(*script)
        address = await target.serve()
        self.addCleanup(target.server.close)
        return target, address


class FaultTest(CurlUpstreamTestCase):
    """Faults of exchanges that fail."""

    @parameterized.expand(
        (
            ('no answer', b'close'),
            ('half a head', b'HTTP/1.1 200 OK\r\nContentclose'),
            ('half a chunk', b'%b10\r\ndata: {close' % _STREAM_HEAD),
            ('no last chunk', b'%b2\r\nab\r\nclose' % _STREAM_HEAD),
            ('endless head', b'HTTP/1.1 200 OK\r\n%b' % (b'a: b\r\n' * 20000)),
        ),
    )
    async def test_incomplete_answer_is_broken(
        self, _name: str, answer: bytes
    ) -> None:
        target, address = await self.start_target(answer, _COMPLETE_ANSWER)
        outcome = await self.make_upstream().send(
            _attempt(address), RecordingIntake()
        )
        self.assertEqual(outcome, BROKEN)
        self.assertEqual(len(target.requests), 1)

    async def test_refused_connection_is_not_sent(self) -> None:
        target, address = await self.start_target()
        target.server.close()
        intake = RecordingIntake()
        outcome = await self.make_upstream().send(_attempt(address), intake)
        self.assertEqual(outcome, NOT_SENT)
        self.assertIs(outcome.connect_failure, ConnectFailure.REFUSED)
        self.assertFalse(intake.sent)

    @parameterized.expand((('stream', True), ('whole', False)))
    async def test_request_is_not_resent(
        self, _name: str, stream: bool
    ) -> None:
        """A request sent once must not run twice.

        The target answers on a connection, accepts the next request on it
        and closes it without an answer. Curl considers the connection stale
        and resends the request on a new one by itself.
        """
        target, address = await self.start_target(
            _COMPLETE_ANSWER, b'close', _COMPLETE_ANSWER
        )
        upstream = self.make_upstream()
        attempt = _attempt(address, stream=stream)
        self.assertIsNone(await upstream.send(attempt, RecordingIntake()))
        second = RecordingIntake()
        outcome = await upstream.send(attempt, second)
        self.assertEqual(outcome, BROKEN)
        self.assertTrue(second.sent)
        self.assertEqual(len(target.requests), 2)

    async def test_non_idempotent_gets_a_new_connection(self) -> None:
        """A stale connection must not make a certificate's outcome unknown.

        The target closes an idle connection while the request is sent on it,
        and a request that may not be repeated can't be retried.
        """
        target, address = await self.start_target(
            _COMPLETE_ANSWER, _COMPLETE_ANSWER
        )
        upstream = self.make_upstream()
        for _ in range(2):
            attempt = _attempt(address, idempotent=False)
            self.assertIsNone(await upstream.send(attempt, RecordingIntake()))
        self.assertEqual(target.connections, 2)


class RejectedAnswerTest(CurlUpstreamTestCase):
    """Answers that belong to another attempt."""

    @parameterized.expand(
        (
            ('stream', _OTHER_STREAM, True),
            ('whole_in_place_of_stream', _OTHER_ANSWER, True),
            ('whole', _OTHER_ANSWER, False),
        )
    )
    async def test_connection_is_closed(
        self, _name: str, answer: bytes, stream: bool
    ) -> None:
        """Guards against a request that runs at two targets at once.

        A target answers an earlier attempt once more, and this one would be
        sent to another target while it still runs at the first one.
        """
        target, address = await self.start_target(answer, _COMPLETE_ANSWER)
        upstream = self.make_upstream()
        attempt = _attempt(address, stream=stream)
        reply = make_reply(
            attempt.call, mock.Mock(spec=Output), attempt.attempt_id
        )
        outcome = await upstream.send(attempt, reply)
        self.assertEqual(outcome, REJECTED)
        await target.connection_closed.wait()
        self.assertIsNone(await upstream.send(attempt, RecordingIntake()))
        self.assertEqual(target.connections, 2)


class SilenceTest(CurlUpstreamTestCase):
    """Connections on which no more data arrives."""

    @parameterized.expand(
        (('before the head', b''), ('within the stream', _STREAM_HEAD)),
    )
    async def test_silent_stream_is_aborted(
        self, _name: str, answer: bytes
    ) -> None:
        """A silent stream must not keep its caller waiting until the deadline.

        The target accepts the request, then the connection stays open
        without data. If only closed connections counted as broken, the
        caller would get a partial answer and then wait.
        """
        target, address = await self.start_target(answer)
        outcome = await self.make_upstream().send(
            _attempt(address), RecordingIntake()
        )
        self.assertEqual(outcome, SILENT)
        await target.connection_closed.wait()

    async def test_pooled_connections_are_not_used_after_silence(self) -> None:
        """After one silent connection, the pool must not cost more timeouts.

        A device on the path loses the state of all open connections. One is
        found to be silent. If the others stayed in the pool, each request
        sent on one would wait for a gap timeout at a healthy target.
        """
        target, address = await self.start_target(
            _COMPLETE_ANSWER, b'', _COMPLETE_ANSWER, _COMPLETE_ANSWER
        )
        upstream = self.make_upstream()
        await upstream.send(_attempt(address, stream=False), RecordingIntake())
        silent = await upstream.send(_attempt(address), RecordingIntake())
        self.assertEqual(silent, SILENT)
        self.assertEqual(target.connections, 1)
        await upstream.send(_attempt(address), RecordingIntake())
        self.assertEqual(target.connections, 2)

    async def test_idle_connection_is_not_used_after_silence(self) -> None:
        """As above, with another connection idle during the silence."""
        target, address = await self.start_target(
            b'', _COMPLETE_ANSWER, _COMPLETE_ANSWER
        )
        upstream = self.make_upstream()
        silent = asyncio.create_task(
            upstream.send(_attempt(address), RecordingIntake()),
        )
        await target.request_received.wait()
        await upstream.send(_attempt(address), RecordingIntake())
        self.assertEqual(await silent, SILENT)
        self.assertEqual(target.connections, 2)
        await upstream.send(_attempt(address), RecordingIntake())
        self.assertEqual(target.connections, 3)


class StreamTest(CurlUpstreamTestCase):
    """Exchanges that are cancelled, paused or have several heads."""

    async def test_cancelling_closes_the_connection(self) -> None:
        """An engine must not go on generating for a caller that has gone.

        If the connection to the target stayed open after the request's task
        is cancelled, the engine would generate the whole answer.
        """
        target, address = await self.start_target(_STREAM_HEAD)
        upstream = self.make_upstream('routing.gap_timeout=1h')
        task = asyncio.create_task(
            upstream.send(_attempt(address), RecordingIntake())
        )
        await target.request_received.wait()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await target.connection_closed.wait()

    async def test_slow_caller_pauses_the_target(self) -> None:
        """A caller that does not read must not exhaust the router's memory.

        The target sends faster than the caller reads, and without a pause
        the router would buffer the difference.
        """
        size = 16 * _MIB
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
        _target, address = await self.start_target(head + b'x' * size)
        intake = RecordingIntake()
        intake.must_pause = True
        upstream = self.make_upstream()
        task = asyncio.create_task(upstream.send(_attempt(address), intake))
        # Longer than the gap timeout of 200 ms: a pause is not silence.
        await asyncio.sleep(0.5)
        self.assertEqual(intake.body, b'')
        self.assertFalse(task.done())
        intake.must_pause = False
        self.assertIsNone(await task)
        self.assertEqual(len(intake.body), size)

    async def test_informational_head_is_not_the_answer(self) -> None:
        early_hints = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
        target, address = await self.start_target(
            early_hints + _COMPLETE_ANSWER
        )
        intake = RecordingIntake()
        self.assertIsNone(
            await self.make_upstream().send(_attempt(address), intake)
        )
        self.assertEqual((intake.status, intake.body), (200, b'ok'))
        head = target.requests[0]
        self.assertIn(f'Host: {address}\r\n'.encode(), head)
        self.assertIn(b'X-Attempt-Id: attempt-1\r\n', head)
        self.assertNotIn(b'Expect', head)


class TlsTest(CurlUpstreamTestCase):
    """Targets reached over TLS."""

    async def test_certificate_is_checked(self) -> None:
        authority = trustme.CA()
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        authority.issue_cert('127.0.0.1').configure_cert(context)
        target = FakeTarget(_COMPLETE_ANSWER)
        address = await target.serve(context)
        self.addCleanup(target.server.close)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'ca.pem'
            authority.cert_pem.write_to_path(path)
            trusting = self.make_upstream(
                'routing.target_tls=yes',
                f'routing.target_tls_ca={path}',
            )
            distrusting = self.make_upstream('routing.target_tls=yes')
            attempt = _attempt(address)
            self.assertEqual(
                await distrusting.send(attempt, RecordingIntake()), NOT_SENT
            )
            self.assertIsNone(await trusting.send(attempt, RecordingIntake()))
