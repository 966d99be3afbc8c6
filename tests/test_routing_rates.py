"""Tests of rates in a fleet that reports demand through home routers."""

import unittest
from functools import partial
from unittest import mock

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from parameterized import parameterized

from balsamreach.routing import fleet_rates
from balsamreach.routing.demands import DemandReport, Demands
from balsamreach.routing.granted_shares import HOME_DEFAULT, GrantedShares
from balsamreach.routing.limits import TeamLimits
from balsamreach.routing.rate_groups import (
    LEVEL_HOME,
    LEVEL_ROOT,
    REPORT_INTERVAL,
    DemandCollector,
    group_of,
    team_hash,
)
from balsamreach.table.rows import TeamRow
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.rates import RateDemands, RatePart, RateShares
from tests.fake_net import FakeNet, FakePeerNet
from tests.peers_rig import Rig, names
from tests.support import FakeClock

_ROUTERS = 20
_LIMIT = 6000
_PER_SECOND = _LIMIT / 60
_ROW = TeamRow(name='team', requests_per_minute=_LIMIT)
_TOKEN_ROW = TeamRow(name='team', tokens_per_minute=_LIMIT)
_TEAM = team_hash('team')


_GROUP = group_of(_TEAM)


def _demand_message(level, window, part, *, routers=1, group=_GROUP):
    parts = (RatePart(_TEAM, part),)
    return RateDemands(level, group, window, routers, parts=parts)


def _members_of_zone(net):
    members = [one.me for one in net.fabric.nets.values()]
    return tuple(one for one in members if one.zone == net.me.zone)


def _members_of_other_zones(net):
    members = [one.me for one in net.fabric.nets.values()]
    return tuple(one for one in members if one.zone != net.me.zone)


def _gets_larger_share(limits, share):
    for _ in range(2):
        limits[0].enter(_ROW, 1)
    for one in limits:
        one.tick()
    return limits[0].share('team') > share


class HomeRoutersTest(unittest.IsolatedAsyncioTestCase):
    """Twenty routers in two zones, too many for reports to all others."""

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet()
        self.metrics = Metrics()
        self.limits = {
            f'router-{number}': TeamLimits(
                self.clock,
                self.net.join(f'router-{number}', f'zone-{number % 2}'),
                self.metrics,
            )
            for number in range(_ROUTERS)
        }

    async def run_for(self, seconds, demand, row=_ROW):
        """Run the fleet and return the requests admitted in each second.

        ``demand`` is requests per second by the router's name.
        """
        admitted = []
        for _ in range(seconds):
            counts = [
                self.admitted_of(name, wanted, row)
                for name, wanted in demand.items()
            ]
            admitted.append(sum(counts))
            self.clock.advance(1)
            for one in self.limits.values():
                one.tick()
            await self.net.settle()
        return admitted

    def admitted_of(self, name, wanted, row):
        """Return how many requests a router admits, none if it is dead."""
        one = self.limits.get(name)
        asked = [one.enter(row, 1) for _ in range(wanted)] if one else []
        return asked.count(None)

    def home(self, zone='zone-0'):
        """Return the home of the team's group."""
        net = next(n for n in self.net.nets.values() if n.me.zone == zone)
        return net.home(f'rates {group_of(_TEAM)}').incarnation

    def kill(self, name):
        """Remove a router from the fleet without notice."""
        self.net.kill(name)
        del self.limits[name]

    def other_router(self, *names):
        """Return a router of zone-0 that is none of these."""
        zone = [f'router-{number}' for number in range(0, _ROUTERS, 2)]
        return next(name for name in zone if name not in names)

    @parameterized.expand((('requests', _ROW), ('tokens', _TOKEN_ROW)))
    async def test_rate_follows_demand_with_few_messages(self, _name, row):
        """A team gets its whole rate at any router, with few messages.

        All requests come through one router of a fleet too large for reports
        to all. Even shares would limit the team to a twentieth of its rate;
        forwarding every report would take 64 KB per second.
        """
        await self.run_for(20, {'router-0': 80}, row)
        sent = len(self.net.sent)
        admitted = await self.run_for(60, {'router-0': 80}, row)
        self.assertGreater(sum(admitted), 60 * 80 * 0.99)
        messages = (len(self.net.sent) - sent) / 60 / _ROUTERS
        self.assertLess(messages, 3.5)
        admitted = await self.run_for(
            60, {'router-0': 150, 'router-1': 50}, row
        )
        self.assertLess(sum(admitted), 60 * _PER_SECOND * 1.1)
        self.assertGreater(sum(admitted), 60 * _PER_SECOND * 0.9)

    async def test_death_of_home_refuses_no_request_within_the_rate(self):
        """Shares stay in force until the next home knows all demand.

        The home of a team's group dies. If its shares ended at once, or the
        next home answered before all had reported, a team at 0.7 of its rate
        would be refused for seconds.
        """
        sending_router = self.other_router(self.home())
        await self.run_for(30, {sending_router: 70})
        self.kill(self.home())
        admitted = await self.run_for(60, {sending_router: 70})
        self.assertEqual(min(admitted), 70)

    async def test_death_of_home_does_not_exceed_the_rate(self):
        """A new home grants only the budget of the routers it has heard.

        The home dies, and only some routers have reported to the next one. If
        it granted them the whole rate, a team would get twice its rate for
        half a minute.
        """
        demand = dict.fromkeys(self.limits, 10)
        await self.run_for(40, demand)
        self.kill(self.home())
        admitted = await self.run_for(60, demand)
        worst = max(sum(admitted[at : at + 10]) for at in range(50))
        self.assertLess(worst, 10 * _PER_SECOND * 1.1)

    async def test_two_sides_of_a_partition_keep_to_one_rate(self):
        """Both sides of a partition stay within the rate together.

        The zones lose each other, and later each presumes the other dead. If
        the other side's demand were dropped, a team would get twice its rate.
        """
        demand = dict.fromkeys(self.limits, 10)
        await self.run_for(30, demand)
        halves = [
            {name for name in self.limits if int(name[7:]) % 2 == side}
            for side in (0, 1)
        ]
        self.net.cut(*halves)
        admitted = await self.run_for(60, demand)
        self.assertLess(sum(admitted), 60 * _PER_SECOND * 1.05)

        with (
            mock.patch.object(FakePeerNet, 'members', _members_of_zone),
            mock.patch.object(FakePeerNet, 'departed', _members_of_other_zones),
        ):
            await self.run_for(30, demand)
            admitted = await self.run_for(60, demand)
        self.assertLess(sum(admitted), 60 * _PER_SECOND * 1.05)
        self.assertGreater(sum(admitted), 60 * _PER_SECOND * 0.9)

    async def test_lost_and_duplicated_messages_do_not_change_the_rate(self):
        """Lost and duplicated messages do not change the admitted rate.

        If a duplicate counted as a second router's report, or a lost one as
        the end of a router, a team's rate would halve or double on a bad
        network.
        """
        demand = {'router-0': 60, 'router-1': 90}
        await self.run_for(30, demand)
        self.net.doubled.update({RateDemands: 2000, RateShares: 200})
        self.net.lost.update({RateDemands: 30, RateShares: 10})
        admitted = await self.run_for(60, demand)
        self.assertLess(sum(admitted), 60 * _PER_SECOND * 1.05)
        self.assertGreater(sum(admitted), 60 * _PER_SECOND * 0.9)
        old = self.metrics.counted(
            'balsamreach_rate_words_total', outcome='old'
        )
        self.assertGreater(old, 0)

    async def test_suspended_router_keeps_no_expired_share(self):
        """A share does not outlive a pause of its router.

        A router that has nearly the whole rate is suspended for a minute, and
        the clock jumps. Meanwhile its share went to others: a share that did
        not expire would exceed the rate.
        """
        await self.run_for(30, {'router-0': 90})
        self.assertGreater(self.limits['router-0'].share('team'), 0.8)
        self.clock.advance(60)
        even = 1 / _ROUTERS
        self.assertAlmostEqual(self.limits['router-0'].share('team'), even)

    async def test_report_of_next_home_replaces_that_of_dead_home(self):
        """A zone counts once while its home changes.

        The old home's report is still valid when the next home's arrives. If
        the root kept reports by sender instead of by zone, a team would be
        limited to half of its rate after a home's death.
        """
        root = self.net.nets['router-0']
        messages = (('router-1', 900), ('router-3', 1), ('router-3', 2))
        for home, window in messages:
            message = _demand_message(LEVEL_ROOT, window, 900_000, routers=10)
            await root.take(self.net.nets[home].me, message)
            self.clock.advance(REPORT_INTERVAL)
        answer = self.net.sent[-1]
        self.assertEqual(answer.routers, 10)
        self.assertGreater(answer.parts[0].part, 400_000)

    async def test_out_of_range_messages_are_tolerated(self):
        """Out-of-range messages, as from a newer release, do no harm."""
        await self.run_for(20, {'router-0': 80})
        receiver = self.net.nets['router-1']
        sender = self.net.nets['router-2'].me
        for level in (0, 1, 2, 77):
            message = _demand_message(
                level, 2**40, 2**32 - 1, routers=0, group=65535
            )
            await receiver.take(sender, message)
        await receiver.take(sender, RateShares(9, 999, 2**63, 2**31))
        admitted = await self.run_for(30, {'router-0': 80})
        self.assertGreater(sum(admitted), 30 * 80 * 0.9)


class RealLinksTest(unittest.IsolatedAsyncioTestCase):
    """Routers that communicate over real links."""

    async def test_homes_are_reached_without_permanent_links(self):
        """Shares are granted although no permanent link leads to a home.

        The first report only opens the link and is lost. If no other followed,
        each router of a large fleet would stay at the even share.
        """
        rig = Rig()
        self.addAsyncCleanup(rig.stop)
        first = await rig.start('router-0', 'peers.max_peers=2')
        seeds = f'peers.seeds={first.me.address}'
        for number in range(1, 5):
            await rig.start(
                f'router-{number}',
                seeds,
                'peers.max_peers=2',
                zone=f'zone-{number % 2}',
            )
        await rig.until(lambda: {len(names(net)) for net in rig.nets} == {5})
        with mock.patch.object(fleet_rates, 'MAX_BROADCAST_ROUTERS', 0):
            limits = [TeamLimits(rig.clock, net) for net in rig.nets]
            await rig.until(partial(_gets_larger_share, limits, 0.3))


class RateRolesTest(unittest.TestCase):
    """Homes, roots and granted shares on their own."""

    def test_home_waits_until_every_router_could_report(self):
        home = DemandCollector(LEVEL_HOME, 0)
        self.assertFalse(home.is_ready(100))
        home.put('router', DemandReport('router', 1, 150, 1, {}), 100)
        self.assertFalse(home.is_ready(100 + REPORT_INTERVAL - 1))
        self.assertTrue(home.is_ready(100 + REPORT_INTERVAL))

    @parameterized.expand(
        (
            ('new', 0, 0.9),
            ('held', 4 * REPORT_INTERVAL, 0.9),
            ('shrinking', 6 * REPORT_INTERVAL, 0.5),
            ('given up', 8 * REPORT_INTERVAL, 0.1),
            ('after a jump of the clock', 10_000, 0.1),
        ),
    )
    def test_share_decays_with_its_age(self, _name, age, share):
        granted = GrantedShares(HOME_DEFAULT)
        granted.record_request(2, {_TEAM: 800_000})
        late = RateShares(LEVEL_HOME, 0, 1, 1, (RatePart(_TEAM, 100),))
        self.assertFalse(granted.apply_answer(late, 0))
        answer = RateShares(LEVEL_HOME, 0, 2, 1, (RatePart(_TEAM, 900_000),))
        self.assertTrue(granted.apply_answer(answer, 0))
        found = granted.share(_TEAM, 0.1, age, REPORT_INTERVAL)
        self.assertAlmostEqual(found, share)

    @seed(5)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 5),
                st.integers(0, 9),
                st.integers(0, 20),
                st.dictionaries(
                    st.integers(0, 3),
                    st.integers(1, 4_000_000),
                ),
            ),
            max_size=30,
        ),
        st.floats(0.01, 1),
    )
    def test_shares_add_up_to_the_budget(self, messages, budget):
        demands = Demands(0)
        for number, (reporter, window, at, parts) in enumerate(messages):
            demands.expire(number)
            report = DemandReport(
                f'{reporter}', window, number + at, 1 + reporter, parts
            )
            demands.put(f'{reporter}', report)
        found = [demands.find(f'{name}') for name in range(6)]
        known = [report for report in found if report is not None]
        self.assertEqual(
            sum(report.routers for report in known), demands.routers
        )
        for team in range(4):
            wanted = sum(report.parts.get(team, 0) for report in known)
            self.assertAlmostEqual(
                demands.total_demand(team), wanted / 1_000_000
            )
            shares = [demands.share(report, team, budget) for report in known]
            if shares:
                self.assertAlmostEqual(sum(shares), budget)
