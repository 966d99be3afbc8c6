"""Tests of callers' and targets' connections, over real sockets."""

import asyncio
import random
import socket

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer
from tornado.testing import AsyncTestCase, bind_unused_port, gen_test

from balsamreach.clock import SystemClock
from balsamreach.dispatch.upstream import BROKEN, NOT_SENT, SILENT
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.gateway.relay_server import RelayServer
from balsamreach.placement.relay_targets import TargetEntry
from balsamreach.platform.requests import PlatformCodec
from balsamreach.relay.exchange import Outgoing
from balsamreach.relay.response_intakes import AnswerIntake
from tests.relay_samples import REQUEST

_GET = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
_SIGNED = b'Response-Stamp: s\r\nAttempt-Id: request-1\r\n'


async def _connect(port):
    stream = IOStream(socket.socket())
    await stream.connect(('127.0.0.1', port))
    return stream


def _whole(caller_response):
    caller_response.start(200, [('Content-Length', '2')])
    caller_response.write(b'ok')
    caller_response.finish()


def _half(caller_response):
    caller_response.start(200, [])
    caller_response.write(b'half')
    caller_response.abort()


class RelayServerTest(AsyncTestCase):
    """What a caller sees on its connection."""

    def setUp(self):
        super().setUp()
        self.seen = []
        self.work = None
        self.begun = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.server = RelayServer(self.answer, SystemClock(), lambda: 100)
        listener, port = bind_unused_port()
        self.port = port
        self.http = HTTPServer(self.server)
        self.http.add_sockets([listener])

    def tearDown(self):
        self.http.stop()
        super().tearDown()

    async def answer(self, request, caller_response):
        self.seen.append(request)
        self.begun.set()
        if self.work is None:
            await self.wait()
        self.work(caller_response)

    async def wait(self):
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled.set()

    @gen_test
    async def test_a_kept_connection_serves_request_after_request(self):
        self.work = _whole
        stream = await _connect(self.port)
        for _ in range(2):
            await stream.write(_GET)
            head = await stream.read_until(b'\r\n\r\n')
            self.assertTrue(head.startswith(b'HTTP/1.1 200 OK'))
            self.assertEqual(await stream.read_bytes(2), b'ok')

    @gen_test
    async def test_an_answer_that_breaks_off_does_not_look_whole(self):
        """Symptom: a caller takes half an answer for the whole.

        Sequence: the target dies in the middle.
        Cause: the last chunk was sent although the answer isn't whole.
        """
        self.work = _half
        stream = await _connect(self.port)
        await stream.write(_GET)
        got = await stream.read_until_close()
        self.assertTrue(got.endswith(b'4\r\nhalf\r\n'), got)

    @gen_test
    async def test_a_caller_that_leaves_ends_the_work(self):
        stream = await _connect(self.port)
        await stream.write(_GET)
        await self.begun.wait()
        stream.close()
        await self.cancelled.wait()
        self.assertEqual(len(self.seen), 1)

    @gen_test
    async def test_a_connection_closed_as_its_request_was_read(self):
        """Symptom: a request runs, and its caller gets no answer.

        Sequence: a leaving router closes its idle connections; on one of
        them a request has been read, but not looked at yet.
        Cause: it was passed on after the close.
        """
        self.work = _whole
        stream = await _connect(self.port)
        await stream.write(_GET)
        await stream.read_until(b'\r\n\r\nok')
        request = next(iter(self.server.idle))
        request.conn.stream.close()
        request.finish()
        self.assertEqual(self.server.running, set())
        stream.close()

    @gen_test
    async def test_a_leaving_router_says_so_with_its_last_answer(self):
        self.work = _whole
        self.server.leaving = True
        stream = await _connect(self.port)
        await stream.write(_GET)
        got = await stream.read_until_close()
        self.assertIn(b'Connection: close', got)

    @gen_test
    async def test_a_crowded_router_ends_connections_after_their_answer(self):
        """Symptom: a large team keeps to a host whose link is full.

        Sequence: the host is left out by the balancer; its callers go on
        with the connections that they have. Cause: nobody tells them to
        open others.
        """
        self.work = _whole
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
    async def test_an_answer_said_to_be_the_last_one_is(self):
        """The host has room again before its caller has read the answer."""
        self.work = _whole
        self.server.crowded = True
        stream = await _connect(self.port)
        await stream.write(_GET)
        await self.begun.wait()
        self.server.crowded = False
        got = await stream.read_until_close()
        self.assertIn(b'Connection: close', got)

    @gen_test
    async def test_a_body_that_is_too_large_reaches_nobody(self):
        stream = await _connect(self.port)
        await stream.write(
            b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n',
        )
        got = await stream.read_until_close()
        self.assertIn(b' 400 ', got)
        self.assertEqual(self.seen, [])


class _Target(TCPServer):
    """Answers each connection's requests with given bytes."""

    def __init__(self, answers, *, close=False):
        super().__init__()
        self.answers = list(answers)
        self.close = close
        self.connections = 0
        self.requests = []

    async def handle_stream(self, stream, address):
        self.connections += 1
        try:
            while self.answers:
                self.requests.append(await stream.read_until(b'\r\n\r\n'))
                await stream.write(self.answers.pop(0))
                if self.close:
                    stream.close()
        except StreamClosedError:
            return


class RelayCurlTest(AsyncTestCase):
    """What comes of a target's bytes."""

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

    def serve(self, *answers, close=False):
        """Start a target."""
        self.target = _Target(answers, close=close)
        listener, port = bind_unused_port()
        self.port = port
        self.target.add_sockets([listener])

    async def send(self, **fields):
        """Send one attempt; return its end and the intake."""
        entry = TargetEntry(
            target_id='i',
            service='s',
            address=f'127.0.0.1:{self.port}',
            zone='z',
        )
        intake = AnswerIntake(self.codec, REQUEST)
        outgoing = Outgoing(
            target=entry,
            method='GET',
            path='/a?b=1',
            headers=(('X-One', '1'), ('X-Empty', '')),
            **fields,
        )
        return await self.curl.send(outgoing, intake), intake

    @gen_test
    async def test_what_a_target_gets(self):
        self.serve(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        end, _intake = await self.send()
        self.assertIsNone(end)
        lines = self.target.requests[0].split(b'\r\n')
        self.assertEqual(lines[0], b'GET /a?b=1 HTTP/1.1')
        names = {line.partition(b':')[0] for line in lines[1:] if line}
        self.assertEqual(names, {b'Host', b'X-One', b'X-Empty'})

    @gen_test
    async def test_a_second_answer_is_nobodys(self):
        """Symptom: a caller gets the answer to an earlier request.

        Sequence: a target sends two answers to one request; the next
        request goes out on the same connection.
        Cause: the bytes that came in between were taken for its answer.
        """
        one = b'HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\none' % _SIGNED
        two = b'HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\ntwo' % _SIGNED
        self.serve(one + one, two, two)
        _end, first = await self.send()
        end, second = await self.send()
        self.assertEqual(bytes(first.body), b'one')
        self.assertIsNone(end)
        self.assertEqual(bytes(second.body), b'two')

    @gen_test
    async def test_time_to_come_back_that_is_given_twice(self):
        """A target got requests before the longer of two times was over."""
        self.serve(
            b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nNot-Executed: 1\r\n'
            b'Retry-After: 7\r\nRetry-After: 3\r\nRetry-After: 3\r\n\r\n',
        )
        end, intake = await self.send()
        self.assertIsNone(end)
        self.assertEqual(intake.head.notice.retry_after, 7)

    @gen_test
    async def test_an_answer_cut_short(self):
        self.serve(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx', close=True)
        end, _intake = await self.send()
        self.assertEqual(end, BROKEN)

    @gen_test
    async def test_bytes_that_are_no_answer(self):
        self.serve(b'rubbish\r\n\r\n', close=True)
        end, intake = await self.send()
        self.assertEqual(end, BROKEN)
        self.assertTrue(intake.sent)

    @gen_test
    async def test_nobody_listens(self):
        self.serve()
        self.target.stop()
        self.target = None
        end, intake = await self.send()
        self.assertEqual(end, NOT_SENT)
        self.assertFalse(intake.sent)

    @gen_test
    async def test_a_target_that_says_nothing(self):
        self.serve(b'', b'')
        end, intake = await self.send(silence_timeout=0.05)
        self.assertEqual(end, SILENT)
        self.assertTrue(intake.sent)

    @gen_test
    async def test_what_may_run_once_gets_a_connection_of_its_own(self):
        """Symptom: nobody knows whether a booking was made.

        Sequence: a target closes a kept connection as a request goes out.
        Cause: the request was sent on a connection that was used before.
        """
        empty = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        self.serve(empty, empty)
        await self.send()
        await self.send(new_connection=True)
        self.assertEqual(self.target.connections, 2)
