"""Tests of teams' limits, on one router and across several."""

import unittest

from balsamreach.routing.faults import RATE_LIMITED, TEAM_CONCURRENCY
from balsamreach.routing.limits import TeamLimits
from balsamreach.table.rows import TeamRow
from tests.fake_net import FakeNet
from tests.support import FakeClock

_SECONDS = 60


class OneRouterTest(unittest.TestCase):
    """Limits of a single router."""

    def setUp(self):
        self.clock = FakeClock()
        self.limits = TeamLimits(self.clock)

    def test_concurrency_is_limited(self):
        team = TeamRow(name='team', concurrency=2)
        outcomes = [self.limits.enter(team, 1) for _ in range(3)]
        self.assertEqual(outcomes, [None, None, TEAM_CONCURRENCY])
        self.limits.release(team, 1, 1)
        self.assertIsNone(self.limits.enter(team, 1))

    def test_rate_is_enforced_and_refusals_have_a_retry_time(self):
        team = TeamRow(name='team', requests_per_minute=60)
        admitted = 0
        for _ in range(_SECONDS * 10):
            refusal = self.limits.enter(team, 1)
            if refusal is None:
                admitted += 1
                self.limits.release(team, 1, 1)
            self.clock.advance(0.5)
        self.assertAlmostEqual(admitted, 300 + 10, delta=2)
        self.limits.enter(team, 1)
        refusal = self.limits.enter(team, 1)
        self.assertEqual(refusal, RATE_LIMITED)
        self.clock.advance(refusal.retry_after)
        self.assertIsNone(self.limits.enter(team, 1))

    def test_unused_tokens_are_returned(self):
        team = TeamRow(name='team', tokens_per_minute=6000)
        self.assertIsNone(self.limits.enter(team, 1000))
        self.assertEqual(self.limits.enter(team, 1000), RATE_LIMITED)
        self.limits.release(team, 1000, 10)
        self.assertIsNone(self.limits.enter(team, 900))

    def test_request_larger_than_the_burst_leaves_a_debt(self):
        team = TeamRow(name='team', tokens_per_minute=600)
        self.assertIsNone(self.limits.enter(team, 500))
        refusal = self.limits.enter(team, 500)
        self.assertGreater(refusal.retry_after, 40)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Rate limits across a fleet."""

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet()
        self.routers = [
            TeamLimits(self.clock, self.net.join(f'router-{number}'))
            for number in range(4)
        ]
        self.team = TeamRow(name='team', requests_per_minute=1200)

    def admitted_of(self, number, demand):
        """Enter a burst of requests and return how many were admitted."""
        router = self.routers[number]
        refusals = [router.enter(self.team, 1) for _ in range(demand)]
        return refusals.count(None)

    async def send_for_a_minute(self, demands):
        """Send for a minute and return the number admitted per router.

        ``demands`` is requests per second by router.
        """
        admitted = [0 for _ in self.routers]
        for _ in range(_SECONDS):
            for number, demand in enumerate(demands):
                admitted[number] += self.admitted_of(number, demand)
            self.clock.advance(1)
            for router in self.routers:
                router.tick()
            await self.net.settle()
        return admitted

    async def test_rate_follows_demand_and_is_not_exceeded(self):
        """The rate applies to the fleet, whichever routers get the requests.

        Nearly all requests come through one router. With independent limits a
        team would get a quarter of its rate there, or four times its rate on
        four routers.
        """
        await self.send_for_a_minute((40, 1, 0, 0))
        admitted = await self.send_for_a_minute((40, 1, 0, 0))
        self.assertLessEqual(sum(admitted), 1200 * 1.02)
        self.assertGreater(sum(admitted), 1200 * 0.85)

    async def test_partitioned_routers_keep_even_shares(self):
        """Two sides of a network partition stay within the rate together.

        Two routers are cut off from two others, all under load. If each side
        assumed that the other has no demand, a team would get twice its rate.
        """
        await self.send_for_a_minute((40, 40, 40, 40))
        self.net.cut(('router-0', 'router-1'), ('router-2', 'router-3'))
        await self.send_for_a_minute((40, 40, 40, 40))
        admitted = await self.send_for_a_minute((40, 40, 40, 40))
        self.assertLessEqual(sum(admitted), 1200 * 1.05)
        self.assertGreater(min(admitted), 1200 / 4 * 0.8)

    async def test_reports_are_not_forwarded_in_a_small_fleet(self):
        """Reports are not forwarded in a fully linked fleet.

        If each router forwarded each report to all others, eight idle routers
        would send each other 15 KB per second.
        """
        for router in self.routers:
            router.tick()
        await self.net.settle()
        self.assertEqual(len(self.net.sent), 4 * 3)

    async def test_broken_link_neither_exceeds_rate_nor_starves_router(self):
        """A broken link neither exceeds the rate nor starves a router.

        Two routers lose their link, and the others don't forward reports. A
        router that isn't heard must not count as one without demand, or the
        other would refuse a team that is within its rate.
        """
        self.net.cut(('router-0',), ('router-3',))
        await self.send_for_a_minute((40, 40, 40, 40))
        admitted = await self.send_for_a_minute((40, 40, 40, 40))
        self.assertLessEqual(sum(admitted), 1200 * 1.05)
        self.assertGreater(min(admitted), 1200 / 4 * 0.8)
