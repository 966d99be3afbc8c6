"""Tests of RelayServer and RelayCurl over real sockets."""

import asyncio
import random
import socket
import struct
from unittest import mock

from parameterized import parameterized
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer
from tornado.testing import AsyncTestCase, bind_unused_port, gen_test

from balsamreach.clock import SystemClock
from balsamreach.daemon.listeners import GuardedServer
from balsamreach.dispatch.silence import SilenceTimeout
from balsamreach.dispatch.upstream import (
    BROKEN,
    NO_MEMORY,
    NOT_SENT,
    REJECTED,
    SILENT,
)
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.gateway.relay_server import RelayServer
from balsamreach.gateway.request_limits import RequestLimits
from balsamreach.memory.answers import LARGEST_BYTES, AnswerMemory
from balsamreach.placement.relay_targets import TargetEntry
from balsamreach.platform.requests import PlatformCodec
from balsamreach.relay.events import EventSplitter
from balsamreach.relay.exchange import Outgoing
from balsamreach.relay.response_intakes import AnswerIntake, StreamIntake
from tests.guard_samples import make_guard
from tests.relay_samples import REQUEST, event
from tests.relay_scripts import RecordingResponse

_LIMITS = RequestLimits(header_bytes=4096, body_bytes=100, header_time=10)
_GET = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
_SIGNED_HEADERS = b'Response-Stamp: s\r\nAttempt-Id: request-1\r\n'
_OTHER_HEADERS = b'Response-Stamp: s\r\nAttempt-Id: request-0\r\n'
_NOT_RUN = b'Not-Executed: 1\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


async def _connect(port):
    stream = IOStream(socket.socket())
    await stream.connect(('127.0.0.1', port))
    return stream


def _answer(status, *headers, rest=b'Content-Length: 2\r\n\r\nok'):
    return b''.join((b'HTTP/1.1 %d X\r\n' % status, *headers, rest))


def _chunk(part):
    return b'%x\r\n%b\r\n' % (len(part), part)


def _send_complete(caller_response):
    caller_response.start(200, [('Content-Length', '2')])
    caller_response.write(b'ok')
    caller_response.finish()


def _send_partial(caller_response):
    caller_response.start(200, [])
    caller_response.write(b'half')
    caller_response.abort()


class RelayServerTest(AsyncTestCase):
    """Responses on a caller's connection."""

    def setUp(self):
        super().setUp()
        self.requests_seen = []
        self.respond = None
        self.request_received = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.server = RelayServer(self.answer, SystemClock())
        listener, port = bind_unused_port()
        self.port = port
        guard = make_guard(self.server, _LIMITS)
        self.http = GuardedServer(guard)
        self.http.add_sockets([listener])

    def tearDown(self):
        self.http.stop()
        super().tearDown()

    async def answer(self, request, caller_response):
        self.requests_seen.append(request)
        self.request_received.set()
        if self.respond is None:
            await self.wait()
        self.respond(caller_response)

    async def wait(self):
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled.set()

    @gen_test
    async def test_connection_is_reused(self):
        self.respond = _send_complete
        stream = await _connect(self.port)
        for _ in range(2):
            await stream.write(_GET)
            head = await stream.read_until(b'\r\n\r\n')
            self.assertTrue(head.startswith(b'HTTP/1.1 200 OK'))
            self.assertEqual(await stream.read_bytes(2), b'ok')

    @gen_test
    async def test_partial_answer_is_not_completed(self):
        """A partial answer must not pass for a complete one.

        The target crashes in the middle of its answer. If the last chunk
        were sent nevertheless, the caller would not notice.
        """
        self.respond = _send_partial
        stream = await _connect(self.port)
        await stream.write(_GET)
        received = await stream.read_until_close()
        self.assertTrue(received.endswith(b'4\r\nhalf\r\n'), received)

    @gen_test
    async def test_disconnect_cancels_request(self):
        stream = await _connect(self.port)
        await stream.write(_GET)
        await self.request_received.wait()
        stream.close()
        await self.cancelled.wait()
        self.assertEqual(len(self.requests_seen), 1)

    @gen_test
    async def test_request_that_is_cancelled_before_it_begins(self):
        """Guards against a caller that waits for a router that has stopped.

        The router stops after it has read a request and before the first step
        of the task that answers it.
        """
        self.server.running = mock.Mock(spec=set)
        self.server.running.add.side_effect = asyncio.Task.cancel
        stream = await _connect(self.port)
        await stream.write(_GET)
        self.assertEqual(await stream.read_until_close(), b'')
        self.assertEqual(self.requests_seen, [])

    @gen_test
    async def test_request_on_closed_connection_does_not_run(self):
        """A request must not run after its connection was closed.

        A leaving router closes its idle connections. On one of them a
        request was read but not processed yet; its caller would get no
        answer.
        """
        self.respond = _send_complete
        stream = await _connect(self.port)
        await stream.write(_GET)
        await stream.read_until(b'\r\n\r\nok')
        request = next(iter(self.server.idle))
        request.conn.stream.close()
        request.finish()
        self.assertEqual(self.server.running, set())
        stream.close()

    @gen_test
    async def test_leaving_router_closes_after_response(self):
        self.respond = _send_complete
        self.server.leaving = True
        stream = await _connect(self.port)
        await stream.write(_GET)
        received = await stream.read_until_close()
        self.assertIn(b'Connection: close', received)

    @gen_test
    async def test_crowded_router_closes_after_response(self):
        """Callers must leave a host whose link is overloaded.

        The balancer sends no new connections to the host, but its callers
        keep their open ones unless the router closes them.
        """
        self.respond = _send_complete
        stream = await _connect(self.port)
        await stream.write(_GET)
        first = await stream.read_until(b'\r\n\r\nok')
        self.server.crowded = True
        await stream.write(_GET)
        last = await stream.read_until_close()
        self.assertNotIn(b'Connection: close', first)
        self.assertIn(b'Connection: close', last)
        self.assertTrue(last.endswith(b'ok'))

    @gen_test
    async def test_announced_close_is_kept(self):
        """The host is no longer crowded before the caller reads the answer."""
        self.respond = _send_complete
        self.server.crowded = True
        stream = await _connect(self.port)
        await stream.write(_GET)
        await self.request_received.wait()
        self.server.crowded = False
        received = await stream.read_until_close()
        self.assertIn(b'Connection: close', received)

    @gen_test
    async def test_too_large_body_is_refused(self):
        stream = await _connect(self.port)
        await stream.write(
            b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n',
        )
        received = await stream.read_until_close()
        self.assertIn(b' 413 ', received)
        self.assertEqual(self.requests_seen, [])


class _FakeTarget(TCPServer):
    """Sends one of the given answers per request, in order."""

    def __init__(self, answers, *, close=False, reset=False):
        super().__init__()
        self.answers = list(answers)
        self.close = close or reset
        self.reset = reset
        self.connections = 0
        self.requests = []
        self.closed = asyncio.Event()

    async def handle_stream(self, stream, address):
        self.connections += 1
        stream.set_close_callback(self.closed.set)
        try:
            while self.answers:
                self.requests.append(await stream.read_until(b'\r\n\r\n'))
                await stream.write(self.answers.pop(0))
                if self.reset:
                    # A lingering time of 0 makes the close send a reset.
                    linger = struct.pack('ii', 1, 0)
                    stream.socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                if self.close:
                    stream.close()
        except StreamClosedError:
            return


class RelayCurlTest(AsyncTestCase):
    """Requests sent to a target, and results of its answers."""

    def setUp(self):
        super().setUp()
        self.curl = RelayCurl(0.5)
        self.codec = PlatformCodec(random.Random(1))
        self.target = None

    def tearDown(self):
        self.curl.close()
        if self.target is not None:
            self.target.stop()
        super().tearDown()

    def serve(self, *answers, **ending):
        """Start a target with these answers."""
        self.target = _FakeTarget(answers, **ending)
        listener, port = bind_unused_port()
        self.port = port
        self.target.add_sockets([listener])

    def make_intake(self, *, stream):
        """Return what receives the answer."""
        if not stream:
            return AnswerIntake(self.codec, REQUEST)
        return StreamIntake(
            self.codec,
            REQUEST,
            RecordingResponse(),
            EventSplitter(),
            lambda _events, _size: None,
        )

    async def send(self, *, stream=False, silence_timeout=0, **fields):
        """Send one attempt; return its result and the intake."""
        entry = TargetEntry(
            target_id='i',
            service='s',
            address=f'127.0.0.1:{self.port}',
            zone='z',
        )
        intake = self.make_intake(stream=stream)
        intake.silence = SilenceTimeout(silence_timeout)
        outgoing = Outgoing(
            target=entry,
            method='GET',
            path='/a?b=1',
            headers=(('X-One', '1'), ('X-Empty', '')),
            **fields,
        )
        return await self.curl.send(outgoing, intake), intake

    @gen_test
    async def test_request_at_target(self):
        self.serve(_answer(200, _SIGNED_HEADERS))
        end, _intake = await self.send()
        self.assertIsNone(end)
        lines = self.target.requests[0].split(b'\r\n')
        self.assertEqual(lines[0], b'GET /a?b=1 HTTP/1.1')
        names = {line.partition(b':')[0] for line in lines[1:] if line}
        self.assertEqual(names, {b'Host', b'X-One', b'X-Empty'})

    @parameterized.expand(
        (
            ('length', b'Content-Length: 200000\r\n\r\n', NO_MEMORY),
            ('close', b'\r\n', REJECTED),
            ('chunked', b'%b30d40\r\n' % _CHUNKED, REJECTED),
        )
    )
    @gen_test
    async def test_no_memory(self, _, framing, fault):
        """Guards against blaming a target for a sound answer.

        All memory for large answers is taken by answers that wait.
        """
        waiting = mock.Mock(return_value=LARGEST_BYTES)
        self.curl.handles.memory = AnswerMemory(1, waiting)
        rest = framing + bytes(150_000)
        self.serve(_answer(200, _SIGNED_HEADERS, rest=rest))
        end, intake = await self.send()
        self.assertEqual(end, fault)
        self.assertEqual(intake.held_bytes, 0)

    @gen_test
    async def test_surplus_answer_is_discarded(self):
        """A caller must not get the answer to an earlier request.

        A target sends two answers to one request. If the next request were
        sent on the same connection, the surplus bytes would be taken for its
        answer.
        """
        first_answer = (
            b'HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\none'
            % _SIGNED_HEADERS
        )
        second_answer = (
            b'HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\ntwo'
            % _SIGNED_HEADERS
        )
        self.serve(first_answer + first_answer, second_answer, second_answer)
        _end, first = await self.send()
        end, second = await self.send()
        self.assertEqual(bytes(first.body), b'one')
        self.assertIsNone(end)
        self.assertEqual(bytes(second.body), b'two')

    @parameterized.expand(
        (
            ('other', _answer(200, _OTHER_HEADERS)),
            ('other_begun', _answer(200, _OTHER_HEADERS, rest=_CHUNKED)),
            ('other_not_run', _answer(503, _NOT_RUN, _OTHER_HEADERS)),
            ('other_failed', _answer(500, _OTHER_HEADERS)),
            ('unsigned', _answer(200, b'Attempt-Id: request-1\r\n')),
            (
                'encoded',
                _answer(200, b'Content-Encoding: x\r\n', _SIGNED_HEADERS),
            ),
            (
                'too_large',
                _answer(
                    200,
                    _SIGNED_HEADERS,
                    b'Content-Length: 99999999\r\n\r\n',
                    rest=b'x' * (9 << 20),
                ),
            ),
            (
                'gap',
                _answer(
                    200,
                    _SIGNED_HEADERS,
                    _CHUNKED,
                    _chunk(event(1)),
                    rest=_chunk(event(3)),
                ),
                True,
            ),
        )
    )
    @gen_test
    async def test_invalid_answer_closes_connection(
        self, _, answer, stream=False
    ):
        """Guards against a request that runs at two targets at once.

        The target may still run a request whose answer is invalid, and its
        own answer would be read in place of the next one's.
        """
        self.serve(answer, _answer(200, _SIGNED_HEADERS))
        end, _intake = await self.send(stream=stream)
        self.assertEqual(end, REJECTED)
        self.assertFalse(end.closed_by_target)
        await self.target.closed.wait()
        end, second = await self.send()
        self.assertIsNone(end)
        self.assertEqual(bytes(second.body), b'ok')
        self.assertEqual(self.target.connections, 2)

    @parameterized.expand(
        (
            ('own', _answer(200, _SIGNED_HEADERS)),
            ('failed', _answer(500, _SIGNED_HEADERS)),
            ('not_run', _answer(503, _NOT_RUN, _SIGNED_HEADERS)),
            ('not_run_without_id', _answer(503, _NOT_RUN)),
            ('misdirected', _answer(421)),
            (
                'information_before',
                _answer(102, rest=b'\r\n%b' % _answer(200, _SIGNED_HEADERS)),
            ),
        )
    )
    @gen_test
    async def test_complete_answer_keeps_connection(self, _, answer):
        """Guards against a new connection for each answer of a target."""
        self.serve(answer, answer)
        ends = [await self.send(), await self.send()]
        self.assertEqual([end for end, _intake in ends], [None, None])
        self.assertEqual(self.target.connections, 1)

    @gen_test
    async def test_repeated_retry_after(self):
        """Of several Retry-After headers the longest applies.

        Otherwise the target would get requests too early.
        """
        self.serve(
            b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nNot-Executed: 1\r\n'
            b'Retry-After: 7\r\nRetry-After: 3\r\nRetry-After: 3\r\n\r\n',
        )
        end, intake = await self.send()
        self.assertIsNone(end)
        self.assertEqual(intake.head.notice.retry_after, 7)

    @parameterized.expand(
        (
            ('closed', b'Content-Length: 9\r\n\r\nx', {'close': True}, True),
            ('reset', b'Content-Length: 9\r\n\r\nx', {'reset': True}, True),
            ('invalid', b'Transfer-Encoding: chunked\r\n\r\nx', {}, False),
        )
    )
    @gen_test
    async def test_incomplete_answer_is_broken(self, _, rest, ending, closed):
        """Only a target that closed its connection has stopped working.

        Curl reports an invalid chunk, after which it closes the connection
        itself, with the same code as a reset.
        """
        self.serve(_answer(200, _SIGNED_HEADERS, rest=rest), **ending)
        end, _intake = await self.send()
        self.assertEqual(end, BROKEN)
        self.assertEqual(end.closed_by_target, closed)

    @gen_test
    async def test_bare_carriage_return_closes_connection(self):
        """Guards against a connection that is kept after a broken answer.

        Curl takes a carriage return at the beginning of a header line for the
        end of the head, and the rest of the line for no part of the answer.
        """
        rest = b'Content-Length: 0\r\n\rX-One: 1\r\n'
        self.serve(_answer(200, _SIGNED_HEADERS, rest=rest))
        end, _intake = await self.send()
        self.assertEqual(end, BROKEN)
        self.assertTrue(end.closed_here)
        await self.target.closed.wait()

    @gen_test
    async def test_invalid_answer_is_broken(self):
        self.serve(b'rubbish\r\n\r\n', close=True)
        end, intake = await self.send()
        self.assertEqual(end, BROKEN)
        self.assertTrue(intake.sent)

    @gen_test
    async def test_refused_connection_is_not_sent(self):
        self.serve()
        self.target.stop()
        self.target = None
        end, intake = await self.send()
        self.assertEqual(end, NOT_SENT)
        self.assertFalse(intake.sent)

    @gen_test
    async def test_silent_target(self):
        self.serve(b'', b'')
        end, intake = await self.send(silence_timeout=0.05)
        self.assertEqual(end, SILENT)
        self.assertFalse(end.closed_by_target)
        self.assertTrue(intake.sent)

    @gen_test
    async def test_new_connection_if_requested(self):
        """A request that may run only once needs a new connection.

        A target closes a pooled connection while a request is sent on it,
        and the outcome, such as a booking, would be unknown.
        """
        answer = _answer(200, _SIGNED_HEADERS)
        self.serve(answer, answer)
        await self.send()
        await self.send(new_connection=True)
        self.assertEqual(self.target.connections, 2)
