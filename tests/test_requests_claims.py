"""Tests that a claim is made once and only released if unused."""

import unittest

from parameterized import parameterized

from balsamreach.requests.claims import Claim, Claims, HeldClaim, claim_key
from balsamreach.requests.faults import KEY_REUSED, NO_CLAIM
from balsamreach.requests.identity import RequestId
from balsamreach.services.base import Write
from balsamreach.standins.memory import MemoryPlatform
from tests.support import FakeClock


def request(mark='f'):
    """Return a request's identity."""
    return RequestId('team', 'key', minted=False, fingerprint=mark)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """Two routers with one table service."""

    def setUp(self):
        self.clock = FakeClock()
        self.platform = MemoryPlatform.start(self.clock)
        self.claims_a = self._claims('router-a')
        self.claims_b = self._claims('router-b')

    async def test_only_the_first_of_two_routers_may_dispatch(self):
        first = await self.claims_a.claim(request(), 'run-1')
        second = await self.claims_b.claim(request(), 'run-2')
        self.assertEqual(first, Claim(request(), 'run-1'))
        self.assertEqual(second, HeldClaim('router-a'))

    async def test_lost_answer_to_the_insert_is_read_back(self):
        """Guards against an unknown holder after a lost answer.

        The insert takes effect but its answer is lost. Without reading the row
        back, the request would be refused forever or dispatched twice.
        """
        self.platform.weather.lose_answers = 1
        first = await self.claims_a.claim(request(), 'run-1')
        second = await self.claims_b.claim(request(), 'run-2')
        self.assertEqual(first, Claim(request(), 'run-1'))
        self.assertEqual(second, HeldClaim('router-a'))

    async def test_claim_of_a_dead_router_is_never_taken_over(self):
        """Guards against a second run after the claim's holder died.

        A router claims and dispatches a request and dies; the caller retries a
        day later. A claim that expired could not tell a dead holder from a
        paused one, and a certificate would be sent twice.
        """
        await self.claims_a.claim(request(), 'run-1')
        self.clock.advance(86400)
        again = await self.claims_b.claim(request(), 'run-2')
        self.assertEqual(again, HeldClaim('router-a'))

    async def test_key_claimed_for_another_body_is_refused(self):
        await self.claims_a.claim(request(), 'run-1')
        other = await self.claims_b.claim(request('other'), 'run-2')
        self.assertEqual(other, KEY_REUSED)

    async def test_unavailable_platform_refuses(self):
        self.platform.weather.down = True
        outcome = await self.claims_a.claim(request(), 'run-1')
        self.assertEqual(outcome, NO_CLAIM)

    @parameterized.expand(
        [('same_router', 'claims_a'), ('another', 'claims_b')]
    )
    async def test_request_that_was_not_sent_can_be_claimed_again(
        self,
        _name,
        router,
    ):
        """Guards against an unused claim that blocks a retry.

        No target takes the request after the claim was made. If the claim
        stayed, the caller's retry would be told "unknown".
        """
        claim = await self.claims_a.claim(request(), 'run-1')
        self.claims_a.schedule_release(claim)
        await self.claims_a.release_all()
        again = await getattr(self, router).claim(request(), 'run-2')
        self.assertEqual(again, Claim(request(), 'run-2'))

    async def test_retry_before_the_release_takes_effect(self):
        """The caller's retry doesn't wait for the release."""
        claim = await self.claims_a.claim(request(), 'run-1')
        self.claims_a.schedule_release(claim)
        again = await self.claims_a.claim(request(), 'run-2')
        await self.claims_a.release_all()
        other = await self.claims_b.claim(request(), 'run-3')
        self.assertEqual(again, Claim(request(), 'run-2'))
        self.assertEqual(other, HeldClaim('router-a'))

    async def test_claim_given_up_after_a_lost_answer_is_released(self):
        """Guards against a claim left behind by an insert without an answer.

        The insert takes effect, its answer is lost and the platform becomes
        unavailable, so the caller is refused. Its retry would be told
        "unknown".
        """
        self.claims_a.service = _UnavailableAfterCommit(self.platform)
        refused = await self.claims_a.claim(request(), 'run-1')
        self.platform.weather.down = False
        self.claims_a.service = self.platform.table
        await self.claims_a.release_all()
        again = await self.claims_b.claim(request(), 'run-2')
        self.assertEqual(refused, NO_CLAIM)
        self.assertEqual(again, Claim(request(), 'run-2'))

    async def test_release_is_tried_again_after_an_outage(self):
        claim = await self.claims_a.claim(request(), 'run-1')
        self.claims_a.schedule_release(claim)
        self.platform.weather.down = True
        await self.claims_a.release_all()
        self.platform.weather.down = False
        await self.claims_a.release_all()
        rows = await self.platform.table.read((claim_key(request()),))
        self.assertIsNone(rows[0].value)

    async def test_row_tells_auditors_who_claimed_and_when(self):
        await self.claims_a.claim(request(), 'run-1')
        rows = await self.platform.table.read((claim_key(request()),))
        expected = {
            'holder': 'router-a',
            'attempt': 'run-1',
            'fingerprint': 'f',
            'at': 1000,
        }
        self.assertEqual(
            Write(rows[0].key, rows[0].value),
            Write('claim/team/key', expected),
        )

    def _claims(self, holder):
        return Claims(self.platform.table, holder, self.clock)


class _UnavailableAfterCommit:
    """A table service that becomes unavailable after a commit."""

    def __init__(self, platform):
        self.platform = platform

    async def commit(self, change):
        """Commit, lose the answer and become unavailable."""
        self.platform.weather.lose_answers = 1
        outcome = await self.platform.table.commit(change)
        self.platform.weather.down = True
        return outcome

    async def read(self, keys):
        """Read from the unavailable service."""
        return await self.platform.table.read(keys)
