"""Tests of `serve` with targets that close before an answer is whole."""

import asyncio
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.dispatch.attempt_sender import make_reply
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import ANSWER_BROKEN, MAYBE_RUN
from balsamreach.dispatch.upstream import Attempt
from balsamreach.dispatch.verdicts import classify_fault
from balsamreach.gateway.curl_upstream import CurlUpstream
from balsamreach.requests.answers import Output
from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import TargetRow, TeamRow
from balsamreach.targets.registry import Target
from tests.cut_targets import CutTarget, beginnings

_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_EVENTS = b'data: {}\n\ndata: [DONE]\n\n'
_EVENT_TYPE = b'Content-Type: text/event-stream\r\n'
_PLAIN = {
    'length': b'%bContent-Length: 2\r\n\r\n{}' % _HEAD,
    'empty': b'%bContent-Length: 0\r\n\r\n' % _HEAD,
    'chunks': b'%b%b\r\n2\r\n{}\r\n0\r\n\r\n' % (_HEAD, _CHUNKED),
    'interim': b'HTTP/1.1 103 X\r\n\r\n%bContent-Length: 0\r\n\r\n' % _HEAD,
    'none': b'HTTP/1.1 204 None\r\n\r\n',
    'not_run': b'HTTP/1.1 503 Full\r\nX-Not-Run: true\r\n'
    b'Content-Length: 0\r\n\r\n',
    'failed': b'HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n',
    'missing': b'HTTP/1.1 404 Missing\r\nContent-Length: 0\r\n\r\n',
}
_STREAMS = {
    'chunks': b'%b%b%b\r\n%x\r\n%b\r\n0\r\n\r\n'
    % (_HEAD, _EVENT_TYPE, _CHUNKED, len(_EVENTS), _EVENTS),
    'length': b'%b%bContent-Length: %d\r\n\r\n%b'
    % (_HEAD, _EVENT_TYPE, len(_EVENTS), _EVENTS),
    'to_close': b'%b%b\r\n%b' % (_HEAD, _EVENT_TYPE, _EVENTS),
    'no_stream': b'%bContent-Length: 0\r\n\r\n' % _HEAD,
}
_SETTINGS = read_settings(None, ('host.zone=zone-a',))
#: Those of which a reset is tried, beside an end in order.
_RESET = frozenset(('length', 'not_run', 'to_close'))
#: Seconds within which each exchange must end.
_MAX_WAIT_S = 20


def _cases():
    for kind, forms in (('plain', _PLAIN), ('stream', _STREAMS)):
        for form, answer in forms.items():
            name = f'{kind}_{form}'
            yield f'{name}_closed', answer, kind == 'stream', False
            if form in _RESET:
                yield f'{name}_reset', answer, kind == 'stream', True


class CutAnswerCase(unittest.IsolatedAsyncioTestCase):
    """Exchanges with a target on a socket."""

    async def exchange(self, attempt):
        """Send an attempt, and return its fault and what its caller got."""
        output = mock.Mock(spec=Output, backlog=0, status=0)
        reply = make_reply(attempt.call, output, attempt.attempt_id)
        upstream = CurlUpstream(_SETTINGS)
        async with asyncio.timeout(_MAX_WAIT_S):
            outcome = await upstream.send(attempt, reply)
        upstream.close()
        return classify_fault(attempt, reply, outcome), output


class CutAnswerTest(CutAnswerCase):
    """Answers that end behind any byte, for calls of each kind."""

    @parameterized.expand(_cases())
    async def test_is_broken(self, _, answer, stream, reset):
        """Guards against a cut answer that is whole, or promises no run."""
        script = beginnings(answer)
        target = CutTarget(list(script), reset)
        self.addCleanup(target.stop)
        attempt = make_attempt(await target.start(), stream=stream)
        for sent in script:
            fault, output = await self.exchange(attempt)
            with self.subTest(sent=sent):
                self.assertEqual(fault, ANSWER_BROKEN)
                self.assertEqual(fault.ran, MAYBE_RUN)
                if not stream:
                    output.start.assert_not_called()
        self.assertEqual(target.requests, len(script))


def make_attempt(address: str, *, stream: bool) -> Attempt:
    """Return an attempt at a target whose refusals are trusted."""
    call = Call(
        req=RequestId('winders', 'key', True, b''),
        team=TeamRow(name='winders'),
        kind='service',
        name='report',
        method='GET',
        path='/report',
        headers={},
        body=b'',
        stream=stream,
        idempotent=True,
        reserved_tokens=0,
        deadline=1,
    )
    row = TargetRow(name='t', address=address, zone='zone-a', service='report')
    row = attrs.evolve(row, trusted_refusals=True)
    return Attempt('attempt-1', call, Target(row))


if __name__ == '__main__':
    unittest.main()
