"""Tests of helping routers that answer with a head that is none."""

import unittest

from parameterized import parameterized

from balsamreach.relay import faults
from balsamreach.relay.attempt_history import AttemptHistory
from tests import broken_heads
from tests.cut_targets import CutTarget
from tests.relay_samples import PLAIN, STREAM
from tests.test_forwarded_cut_answers import ForwardedCase

_ANSWERED = b'X-Forward-Outcome: answered\r\nX-Forward-Target: t\r\n'
_REFUSED = b'X-Forward-Outcome: targets_full\r\nX-Forward-Ran: 0\r\n'
_ROUTES = (PLAIN, STREAM)


def _cases(forms):
    for route in _ROUTES:
        for form, answer in forms.items():
            yield f'{route.name}_{form}', route, answer


class BrokenHeadTest(ForwardedCase):
    """A head that isn't one is no response, and no refusal."""

    async def ask(self, route, answer, own):
        """Forward a request that gets an answer; return how it ended."""
        target = CutTarget(
            [answer.replace(b'Attempt-Id', b'%bAttempt-Id' % own)]
        )
        self.addCleanup(target.stop)
        intake, verdict = await self.forward(route, await target.start())
        history = AttemptHistory()
        intake.record(history, 'host', verdict, 0)
        return verdict, history

    @parameterized.expand(_cases(broken_heads.ALL | broken_heads.JOINED))
    async def test_response(self, _, route, answer):
        """Guards against a body that is not the target's."""
        verdict, _history = await self.ask(route, answer, _ANSWERED)
        self.assertEqual(verdict.fault, faults.BROKEN)
        self.assertFalse(verdict.deliverable)

    @parameterized.expand(_cases(broken_heads.ALL))
    async def test_refusal(self, _, route, answer):
        """Guards against a promise that is read from such a head."""
        refusal = answer.replace(b' 200 ', b' 503 ')
        verdict, history = await self.ask(route, refusal, _REFUSED)
        self.assertEqual(verdict.fault, faults.BROKEN)
        self.assertTrue(history.may_have_run)

    @parameterized.expand(_cases(broken_heads.SOUND))
    async def test_sound(self, _, route, answer):
        """Guards against refusing what HTTP allows."""
        verdict, _history = await self.ask(route, answer, _ANSWERED)
        self.assertTrue(verdict.deliverable)


if __name__ == '__main__':
    unittest.main()
