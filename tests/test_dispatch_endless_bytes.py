"""Tests of plain services whose answers to `serve` have no end."""

import asyncio
import tracemalloc
import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.dispatch.attempt_sender import make_reply
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.replies import PlainReply
from balsamreach.dispatch.stream_replies import StreamReply
from balsamreach.dispatch.upstream import REJECTED, Attempt
from balsamreach.gateway.curl_upstream import CurlUpstream
from balsamreach.requests.answers import Output
from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import TargetRow, TeamRow
from balsamreach.targets.registry import Target
from tests.deployment import until
from tests.endless_targets import Endless, EndlessTarget, max_taken

_ERROR = b'HTTP/1.1 500 Error\r\n'
#: Maximum size in bytes of the body of an error of a plain service.
_MAX_ERROR_BYTES = 1 << 20
#: Seconds within which the exchange must end.
_MAX_WAIT_S = 5
_PIECE = b'x' * 8
#: More than an event of a stream may have.
_EVENT_BYTES = 5 << 20


class PlainErrorTest(unittest.IsolatedAsyncioTestCase):
    """An error of a plain service, whose body is kept to be passed on."""

    @parameterized.expand(
        (
            ('to_close', Endless(b'%b\r\n' % _ERROR, b'xxxxxxxx')),
            (
                'chunks',
                Endless(
                    b'%bTransfer-Encoding: chunked\r\n\r\n' % _ERROR,
                    b'8\r\nxxxxxxxx\r\n',
                ),
            ),
        )
    )
    async def test_is_rejected(self, _, endless):
        """Guards against an error that takes all memory of the router."""
        target = EndlessTarget([(endless, False)])
        self.addCleanup(target.stop)
        attempt = _attempt(await target.start())
        upstream = CurlUpstream(read_settings(None, ('host.zone=zone-a',)))
        self.addCleanup(upstream.close)
        reply = make_reply(
            attempt.call, mock.Mock(spec=Output, backlog=0), attempt.attempt_id
        )
        async with asyncio.timeout(_MAX_WAIT_S):
            outcome = await upstream.send(attempt, reply)
        self.assertEqual(outcome, REJECTED)
        self.assertTrue(await until(lambda: not target.open_answers))
        self.assertLess(target.written, max_taken(_MAX_ERROR_BYTES))


class PlainPiecesTest(unittest.TestCase):
    """A plain answer that comes in pieces of a few bytes."""

    def test_memory(self):
        """Guards against answers that take many times what is counted."""
        output = mock.Mock(spec=Output, backlog=0, status=0)
        reply = PlainReply(output, 'attempt-1')
        reply.start(200, {})
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(_MAX_ERROR_BYTES // len(_PIECE)):
            reply.write(bytes(bytearray(_PIECE)))
        taken, _peak = tracemalloc.get_traced_memory()
        self.assertEqual(reply.held_bytes, _MAX_ERROR_BYTES)
        self.assertLess(taken, 2 * reply.held_bytes)


class StreamEventTest(unittest.TestCase):
    """An event without end, which comes in pieces of a few bytes."""

    def test_small_pieces(self):
        """Guards against a router that stands still for minutes.

        With each piece it looked at all of the event, and copied it.
        """
        output = mock.Mock(spec=Output, backlog=0, status=0)
        reply = StreamReply(output, 'attempt-1', wants_usage=True)
        reply.start(200, {'content-type': 'text/event-stream'})
        reply.write(b'data: 1\n\ndata: ')
        for _ in range(_EVENT_BYTES // len(_PIECE)):
            reply.write(_PIECE)
        output.write.assert_called_once_with(b'data: 1\n\n')
        self.assertLessEqual(reply.held_bytes, _EVENT_BYTES)
        reply.write(b'x\n')
        reply.write(b'\ndata: [DONE]\n\n')
        self.assertFalse(reply.is_complete())

    def test_end_in_two_pieces(self):
        """Guards against missing the end of an event between two pieces."""
        output = mock.Mock(spec=Output, backlog=0, status=0)
        reply = StreamReply(output, 'attempt-1', wants_usage=True)
        reply.start(200, {'content-type': 'text/event-stream'})
        sent = b'data: 1\n\ndata: 2\n\ndata: [DONE]\n\n'
        for byte in sent:
            reply.write(bytes((byte,)))
        written = [call.args[0] for call in output.write.call_args_list]
        self.assertEqual(b''.join(written), sent)
        self.assertEqual(reply.event_count, 3)
        self.assertTrue(reply.is_complete())


def _attempt(address: str) -> Attempt:
    call = Call(
        req=RequestId('winders', 'key', True, b''),
        team=TeamRow(name='winders'),
        kind='service',
        name='report',
        method='GET',
        path='/report',
        headers={},
        body=b'',
        stream=False,
        idempotent=True,
        reserved_tokens=0,
        deadline=1,
    )
    row = TargetRow(name='t', address=address, zone='zone-a', service='report')
    return Attempt('attempt-1', call, Target(row))


if __name__ == '__main__':
    unittest.main()
