"""Tests of helping routers that die within the answer to a request."""

import asyncio
import itertools
import unittest

from parameterized import parameterized

from balsamreach.gateway.forwarding_client import HttpForwardingClient
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.relay import faults
from balsamreach.relay.attempt_history import AttemptHistory
from balsamreach.relay.events import EventSplitter
from balsamreach.relay.forwarded_intake import ForwardedIntake
from balsamreach.relay.response_intakes import AnswerIntake, StreamIntake
from balsamreach.wire.forwarding import ForwardedRequest
from balsamreach.wire.membership import Member
from tests import relay_samples
from tests.cut_targets import HEAD, WHOLE, CutTarget, beginnings
from tests.relay_harness import RelayHarness
from tests.relay_samples import PLAIN, REQUEST, STREAM
from tests.relay_scripts import RecordingResponse

_OWN_HEAD = b'%bX-Forward-Outcome: answered\r\nX-Forward-Target: t\r\n' % HEAD
_ANSWERS = {
    form: answer.replace(HEAD, _OWN_HEAD) for form, answer in WHOLE.items()
} | {
    'refusal': b'HTTP/1.1 503 Full\r\nX-Forward-Outcome: targets_full\r\n'
    b'X-Forward-Ran: 0\r\nX-Forward-Reached: 0\r\nContent-Length: 0\r\n\r\n',
}
_ENDINGS = {'closed': False, 'reset': True}
_MESSAGE = ForwardedRequest(
    fleet='fleet',
    sender='first',
    request_id=REQUEST,
    method='POST',
    path='/plain/x',
    service=relay_samples.DESK,
    left_ms=1000,
    idempotent=True,
)
#: Seconds within which each request must be answered.
_MAX_WAIT_S = 20


def _cases():
    plain = itertools.product((PLAIN,), _ANSWERS, _ENDINGS)
    stream = itertools.product((STREAM,), WHOLE, ('closed',))
    for route, form, ending in itertools.chain(plain, stream):
        name = f'{route.name}_{form}_{ending}'
        yield name, route, _ANSWERS[form], _ENDINGS[ending]


class ForwardedCase(unittest.IsolatedAsyncioTestCase):
    """Exchanges with a router that helps, on a socket."""

    async def asyncSetUp(self):
        self.codec = RelayHarness().parts.codec

    def make_intake(self, route):
        """Return what receives the answer."""
        if not route.streams:
            return ForwardedIntake(AnswerIntake(self.codec, REQUEST))
        return ForwardedIntake(
            StreamIntake(
                self.codec,
                REQUEST,
                RecordingResponse(),
                EventSplitter(),
                lambda _events, _size: None,
            )
        )

    async def forward(self, route, address):
        """Forward a request; return what received its answer, and a verdict."""
        intake = self.make_intake(route)
        curl = RelayCurl(_MAX_WAIT_S)
        client = HttpForwardingClient(curl)
        helping = Member('helping', 'host', '', 'zone-a', forwarding=address)
        call = relay_samples.call(route, seconds=_MAX_WAIT_S)
        async with asyncio.timeout(_MAX_WAIT_S):
            end = await client.send(helping, call, _MESSAGE, intake)
        curl.close()
        return intake, intake.classify(end)


class ForwardedCutTest(ForwardedCase):
    """The router that helps closes behind any byte of its answer."""

    @parameterized.expand(_cases())
    async def test_may_have_run(self, _, route, answer, reset):
        """Guards against a cut answer that is whole, or promises no run."""
        script = beginnings(answer)
        target = CutTarget(list(script), reset)
        self.addCleanup(target.stop)
        address = await target.start()
        for sent in script:
            intake, verdict = await self.forward(route, address)
            history = AttemptHistory()
            intake.record(history, 'host', verdict, 0)
            with self.subTest(sent=sent):
                self.assertEqual(verdict.fault, faults.BROKEN)
                self.assertFalse(verdict.deliverable)
                self.assertTrue(history.may_have_run)
        self.assertEqual(target.requests, len(script))


if __name__ == '__main__':
    unittest.main()
