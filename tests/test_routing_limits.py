"""Tests of teams' limits, on one router and over several."""

import unittest

from balsamreach.routing.faults import RATE_LIMITED, TEAM_CONCURRENCY
from balsamreach.routing.limits import TeamLimits
from balsamreach.table.rows import TeamRow
from tests.fake_net import FakeNet
from tests.support import FakeClock

_SECONDS = 60


class OneRouterTest(unittest.TestCase):
    """Limits of a router on its own."""

    def setUp(self):
        self.clock = FakeClock()
        self.limits = TeamLimits(self.clock)

    def test_requests_in_progress_are_bounded(self):
        team = TeamRow(name='team', concurrency=2)
        outcomes = [self.limits.enter(team, 1) for _ in range(3)]
        self.assertEqual(outcomes, [None, None, TEAM_CONCURRENCY])
        self.limits.leave(team, 1, 1)
        self.assertIsNone(self.limits.enter(team, 1))

    def test_rate_holds_over_minutes_and_says_when_to_come_back(self):
        team = TeamRow(name='team', requests_per_minute=60)
        admitted = 0
        for _ in range(_SECONDS * 10):
            refusal = self.limits.enter(team, 1)
            if refusal is None:
                admitted += 1
                self.limits.leave(team, 1, 1)
            self.clock.advance(0.5)
        self.assertAlmostEqual(admitted, 300 + 10, delta=2)
        self.limits.enter(team, 1)
        refusal = self.limits.enter(team, 1)
        self.assertEqual(refusal, RATE_LIMITED)
        self.clock.advance(refusal.retry_after)
        self.assertIsNone(self.limits.enter(team, 1))

    def test_tokens_not_used_are_given_back(self):
        team = TeamRow(name='team', tokens_per_minute=6000)
        self.assertIsNone(self.limits.enter(team, 1000))
        self.assertEqual(self.limits.enter(team, 1000), RATE_LIMITED)
        self.limits.leave(team, 1000, 10)
        self.assertIsNone(self.limits.enter(team, 900))

    def test_request_larger_than_the_burst_passes_and_leaves_a_debt(self):
        team = TeamRow(name='team', tokens_per_minute=600)
        self.assertIsNone(self.limits.enter(team, 500))
        refusal = self.limits.enter(team, 500)
        self.assertGreater(refusal.retry_after, 40)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """A rate over the whole fleet."""

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet()
        self.routers = [
            TeamLimits(self.clock, self.net.join(f'router-{number}'))
            for number in range(4)
        ]
        self.team = TeamRow(name='team', requests_per_minute=1200)

    def ask_once(self, number, demand):
        """Return how many of a burst a router admitted."""
        router = self.routers[number]
        refusals = [router.enter(self.team, 1) for _ in range(demand)]
        return refusals.count(None)

    async def ask_for_a_minute(self, demands):
        """Return how many requests each router admitted."""
        admitted = [0 for _ in self.routers]
        for _ in range(_SECONDS):
            for number, demand in enumerate(demands):
                admitted[number] += self.ask_once(number, demand)
            self.clock.advance(1)
            for router in self.routers:
                router.tick()
            await self.net.settle()
        return admitted

    async def test_rate_follows_demand_and_is_not_passed(self):
        """The rate is one for the fleet, wherever the requests come.

        Symptom: a team on one router gets a quarter of its rate, or four
        times the rate on four routers.
        Sequence: nearly all of a team's requests come through one router.
        Cause: limits that know nothing of one another.
        """
        await self.ask_for_a_minute((40, 1, 0, 0))
        admitted = await self.ask_for_a_minute((40, 1, 0, 0))
        self.assertLessEqual(sum(admitted), 1200 * 1.02)
        self.assertGreater(sum(admitted), 1200 * 0.85)

    async def test_cut_off_routers_keep_to_an_even_share(self):
        """Two sides of a partition do not both use the whole rate.

        Symptom: a team's requests reach twice its rate during a cut.
        Sequence: two routers are cut off from two others, all under load.
        Cause: each side believes the other's demand to be gone.
        """
        await self.ask_for_a_minute((40, 40, 40, 40))
        self.net.cut(('router-0', 'router-1'), ('router-2', 'router-3'))
        await self.ask_for_a_minute((40, 40, 40, 40))
        admitted = await self.ask_for_a_minute((40, 40, 40, 40))
        self.assertLessEqual(sum(admitted), 1200 * 1.05)
        self.assertGreater(min(admitted), 1200 / 4 * 0.8)

    async def test_words_are_not_passed_on_where_all_are_linked(self):
        """Control bytes of a small fleet grow with its links alone.

        Symptom: eight idle routers send each other 15 KB a second.
        Sequence: each router passes on each word to all that have it.
        Cause: words spread as if they had to cross a larger fleet.
        """
        for router in self.routers:
            router.tick()
        await self.net.settle()
        self.assertEqual(len(self.net.sent), 4 * 3)

    async def test_two_that_cannot_hear_each_other_keep_to_the_rate(self):
        """A single broken link neither passes the rate nor starves a router.

        Symptom: one router refuses a team that is within its rate.
        Sequence: two routers lose each other; the others reach everyone
        and pass nothing on.
        Cause: a router that is not heard is taken for one without demand.
        """
        self.net.cut(('router-0',), ('router-3',))
        await self.ask_for_a_minute((40, 40, 40, 40))
        admitted = await self.ask_for_a_minute((40, 40, 40, 40))
        self.assertLessEqual(sum(admitted), 1200 * 1.05)
        self.assertGreater(min(admitted), 1200 / 4 * 0.8)
