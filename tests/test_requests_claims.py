"""Tests that a claim is made once and released only if it was not used."""

import unittest

from parameterized import parameterized

from balsamreach.requests.claims import Claim, Claims, Held, claim_key
from balsamreach.requests.faults import KEY_REUSED, NO_CLAIM
from balsamreach.requests.identity import RequestId
from balsamreach.services.base import Write
from balsamreach.standins.memory import MemoryPlatform
from tests.support import FakeClock


def request(mark='f'):
    """Return a request's identity."""
    return RequestId('team', 'key', minted=False, fingerprint=mark)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """Two routers on one table service."""

    def setUp(self):
        self.clock = FakeClock()
        self.platform = MemoryPlatform.start(self.clock)
        self.ours = self._claims('router-a')
        self.theirs = self._claims('router-b')

    async def test_only_the_first_of_two_routers_may_dispatch(self):
        first = await self.ours.claim(request(), 'run-1')
        second = await self.theirs.claim(request(), 'run-2')
        self.assertEqual(first, Claim(request(), 'run-1'))
        self.assertEqual(second, Held('router-a'))

    async def test_lost_answer_to_the_insert_is_read_back(self):
        """The write took effect although its answer was lost.

        Symptom: a claimed request is refused for good, or dispatched twice.
        Sequence: the insert takes effect, its answer is lost.
        Cause: without reading back nobody knows who holds the claim.
        """
        self.platform.weather.lose_answers = 1
        first = await self.ours.claim(request(), 'run-1')
        second = await self.theirs.claim(request(), 'run-2')
        self.assertEqual(first, Claim(request(), 'run-1'))
        self.assertEqual(second, Held('router-a'))

    async def test_claim_of_a_dead_router_is_never_taken_over(self):
        """Whatever time passes, nobody may run the request again.

        Symptom: a certificate is sent twice.
        Sequence: a router claims, dispatches and dies; the caller retries
        a day later.
        Cause: a claim that lapses cannot tell a dead holder from a paused
        one.
        """
        await self.ours.claim(request(), 'run-1')
        self.clock.advance(86400)
        again = await self.theirs.claim(request(), 'run-2')
        self.assertEqual(again, Held('router-a'))

    async def test_key_claimed_for_another_body_is_refused(self):
        await self.ours.claim(request(), 'run-1')
        other = await self.theirs.claim(request('other'), 'run-2')
        self.assertEqual(other, KEY_REUSED)

    async def test_platform_away_refuses(self):
        self.platform.weather.down = True
        outcome = await self.ours.claim(request(), 'run-1')
        self.assertEqual(outcome, NO_CLAIM)

    @parameterized.expand([('same_router', 'ours'), ('another', 'theirs')])
    async def test_request_that_was_not_sent_can_be_claimed_again(
        self,
        _name,
        router,
    ):
        """A caller that was told "not run" must be able to ask again.

        Symptom: the retry of a request that did not run gets "unknown".
        Sequence: claim, no target takes the request, caller retries.
        Cause: the claim stood although it was never used.
        """
        claim = await self.ours.claim(request(), 'run-1')
        self.ours.give_up(claim)
        await self.ours.release_all()
        again = await getattr(self, router).claim(request(), 'run-2')
        self.assertEqual(again, Claim(request(), 'run-2'))

    async def test_retry_before_the_release_takes_effect(self):
        """The release waits for the platform; the caller does not."""
        claim = await self.ours.claim(request(), 'run-1')
        self.ours.give_up(claim)
        again = await self.ours.claim(request(), 'run-2')
        await self.ours.release_all()
        other = await self.theirs.claim(request(), 'run-3')
        self.assertEqual(again, Claim(request(), 'run-2'))
        self.assertEqual(other, Held('router-a'))

    async def test_insert_that_lands_after_it_was_given_up(self):
        """A claim told as not made must not stay behind.

        Symptom: a request told "not run" is "unknown" to its retry.
        Sequence: the insert's answer is lost, the platform goes away, the
        caller is refused; the platform comes back.
        Cause: the insert had taken effect.
        """
        self.ours.service = _GoneAfterCommit(self.platform)
        refused = await self.ours.claim(request(), 'run-1')
        self.platform.weather.down = False
        self.ours.service = self.platform.table
        await self.ours.release_all()
        again = await self.theirs.claim(request(), 'run-2')
        self.assertEqual(refused, NO_CLAIM)
        self.assertEqual(again, Claim(request(), 'run-2'))

    async def test_release_is_tried_again_after_an_outage(self):
        claim = await self.ours.claim(request(), 'run-1')
        self.ours.give_up(claim)
        self.platform.weather.down = True
        await self.ours.release_all()
        self.platform.weather.down = False
        await self.ours.release_all()
        rows = await self.platform.table.read((claim_key(request()),))
        self.assertIsNone(rows[0].value)

    async def test_row_tells_auditors_who_claimed_and_when(self):
        await self.ours.claim(request(), 'run-1')
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


class _GoneAfterCommit:
    """A table service that goes away as soon as it has committed."""

    def __init__(self, platform):
        self.platform = platform

    async def commit(self, change):
        """Apply, lose the answer and go away."""
        self.platform.weather.lose_answers = 1
        outcome = await self.platform.table.commit(change)
        self.platform.weather.down = True
        return outcome

    async def read(self, keys):
        """Be away."""
        return await self.platform.table.read(keys)
