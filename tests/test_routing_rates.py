"""Tests of rates over a fleet in which words go through homes."""

import unittest
from functools import partial
from unittest import mock

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from parameterized import parameterized

from balsamreach.routing import fleet_rates
from balsamreach.routing.demands import Demands, Told
from balsamreach.routing.granted import HOME_DEFAULT, GrantedShares
from balsamreach.routing.limits import TeamLimits
from balsamreach.routing.rate_groups import (
    INTERVAL,
    TO_HOME,
    TO_ROOT,
    Collector,
    group_of,
    number_of,
)
from balsamreach.table.rows import TeamRow
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.rates import RateDemands, RatePart, RateShares
from tests.fake_net import FakeNet, FakePeerNet
from tests.peers_rig import Rig, names
from tests.support import FakeClock

_ROUTERS = 20
_LIMIT = 6000
_SECOND = _LIMIT / 60
_ROW = TeamRow(name='team', requests_per_minute=_LIMIT)
_TOKENS = TeamRow(name='team', tokens_per_minute=_LIMIT)
_TEAM = number_of('team')


_GROUP = group_of(_TEAM)


def _word(level, window, part, *, routers=1, group=_GROUP):
    parts = (RatePart(_TEAM, part),)
    return RateDemands(level, group, window, routers, parts=parts)


def _near(net):
    every = [one.me for one in net.fabric.nets.values()]
    return tuple(one for one in every if one.zone == net.me.zone)


def _lost(net):
    every = [one.me for one in net.fabric.nets.values()]
    return tuple(one for one in every if one.zone != net.me.zone)


def _asks_and_has_more(limits, share):
    for _ in range(2):
        limits[0].enter(_ROW, 1)
    for one in limits:
        one.tick()
    return limits[0].share('team') > share


class HomesTest(unittest.IsolatedAsyncioTestCase):
    """Twenty routers in two zones, too many to tell all others."""

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
        """Return the requests admitted each second by all routers.

        ``demand`` is requests a second by the router's name.
        """
        admitted = []
        for _ in range(seconds):
            counts = [
                self.ask(name, wanted, row) for name, wanted in demand.items()
            ]
            admitted.append(sum(counts))
            self.clock.advance(1)
            for one in self.limits.values():
                one.tick()
            await self.net.settle()
        return admitted

    def ask(self, name, wanted, row):
        """Return how many requests one router admits, none if it is dead."""
        one = self.limits.get(name)
        asked = [one.enter(row, 1) for _ in range(wanted)] if one else []
        return asked.count(None)

    def home(self, zone='zone-0'):
        """Return the home of the team's group."""
        net = next(n for n in self.net.nets.values() if n.me.zone == zone)
        return net.home(f'rates {group_of(_TEAM)}').incarnation

    def kill(self, name):
        """Let a router vanish."""
        self.net.kill(name)
        del self.limits[name]

    def others(self, *names):
        """Return a router of zone-0 that is none of these."""
        zone = [f'router-{number}' for number in range(0, _ROUTERS, 2)]
        return next(name for name in zone if name not in names)

    @parameterized.expand((('requests', _ROW), ('tokens', _TOKENS)))
    async def test_rate_follows_demand_for_few_words(self, _name, row):
        """A team has its whole rate wherever its requests come.

        Symptom: a team is refused at a twentieth of its rate, or control
        takes 64 KB a second. Events: all requests come through one router
        of a fleet too large for words to all. Cause: even shares, and words
        that each router passes on.
        """
        await self.run_for(20, {'router-0': 80}, row)
        sent = len(self.net.sent)
        admitted = await self.run_for(60, {'router-0': 80}, row)
        self.assertGreater(sum(admitted), 60 * 80 * 0.99)
        words = (len(self.net.sent) - sent) / 60 / _ROUTERS
        self.assertLess(words, 3.5)
        admitted = await self.run_for(
            60, {'router-0': 150, 'router-1': 50}, row
        )
        self.assertLess(sum(admitted), 60 * _SECOND * 1.1)
        self.assertGreater(sum(admitted), 60 * _SECOND * 0.9)

    async def test_home_that_dies_refuses_nobody(self):
        """Shares hold until the next home knows everyone's demand.

        Symptom: a team at 0.7 of its rate is refused for seconds. Events:
        the home of its group dies. Cause: the share is given up with its
        home, or the next home answers before all have told it.
        """
        asking = self.others(self.home())
        await self.run_for(30, {asking: 70})
        self.kill(self.home())
        admitted = await self.run_for(60, {asking: 70})
        self.assertEqual(min(admitted), 70)

    async def test_home_that_dies_lets_nobody_past_the_rate(self):
        """The next home shares out only what is of those it has heard.

        Symptom: a team gets twice its rate for half a minute. Events: the
        home dies, and some routers have told the next one. Cause: it shares
        out the whole rate among those.
        """
        demand = dict.fromkeys(self.limits, 10)
        await self.run_for(40, demand)
        self.kill(self.home())
        admitted = await self.run_for(60, demand)
        worst = max(sum(admitted[at : at + 10]) for at in range(50))
        self.assertLess(worst, 10 * _SECOND * 1.1)

    async def test_two_sides_of_a_cut_keep_to_one_rate(self):
        """Both sides together stay within the rate, also when called dead.

        Symptom: a team's requests reach twice its rate during a cut.
        Events: the zones lose each other; a while later each holds the
        other for dead. Cause: each side takes the other's demand for gone.
        """
        demand = dict.fromkeys(self.limits, 10)
        await self.run_for(30, demand)
        halves = [
            {name for name in self.limits if int(name[7:]) % 2 == side}
            for side in (0, 1)
        ]
        self.net.cut(*halves)
        admitted = await self.run_for(60, demand)
        self.assertLess(sum(admitted), 60 * _SECOND * 1.05)

        with (
            mock.patch.object(FakePeerNet, 'members', _near),
            mock.patch.object(FakePeerNet, 'departed', _lost),
        ):
            await self.run_for(30, demand)
            admitted = await self.run_for(60, demand)
        self.assertLess(sum(admitted), 60 * _SECOND * 1.05)
        self.assertGreater(sum(admitted), 60 * _SECOND * 0.9)

    async def test_lost_and_doubled_words_change_nothing(self):
        """Words that are lost, doubled or turned around do no harm.

        Symptom: a team's rate halves or doubles on a bad network. Events:
        words are lost and delivered twice. Cause: a doubled word is counted
        as two routers', or a lost one as the end of a router.
        """
        demand = {'router-0': 60, 'router-1': 90}
        await self.run_for(30, demand)
        self.net.doubled.update({RateDemands: 2000, RateShares: 200})
        self.net.lost.update({RateDemands: 30, RateShares: 10})
        admitted = await self.run_for(60, demand)
        self.assertLess(sum(admitted), 60 * _SECOND * 1.05)
        self.assertGreater(sum(admitted), 60 * _SECOND * 0.9)
        old = self.metrics.counted(
            'balsamreach_rate_words_total', outcome='old'
        )
        self.assertGreater(old, 0)

    async def test_process_that_stood_still_keeps_no_old_share(self):
        """A share does not outlive a pause in which it went to others.

        Symptom: a team passes its rate after a router was paused. Events: a
        router with the whole rate stands still for a minute; the clock
        jumps when it goes on. Cause: a share without an age.
        """
        await self.run_for(30, {'router-0': 90})
        self.assertGreater(self.limits['router-0'].share('team'), 0.8)
        self.clock.advance(60)
        even = 1 / _ROUTERS
        self.assertAlmostEqual(self.limits['router-0'].share('team'), even)

    async def test_next_home_takes_the_place_of_the_dead_one(self):
        """A zone is counted once while its home changes.

        Symptom: a team is held to half of its rate after a home's death.
        Events: the old home's word still counts as the next one's comes.
        Cause: the root keeps words by sender, not by zone.
        """
        root = self.net.nets['router-0']
        words = (('router-1', 900), ('router-3', 1), ('router-3', 2))
        for home, window in words:
            word = _word(TO_ROOT, window, 900_000, routers=10)
            await root.take(self.net.nets[home].me, word)
            self.clock.advance(INTERVAL)
        answer = self.net.sent[-1]
        self.assertEqual(answer.routers, 10)
        self.assertGreater(answer.parts[0].part, 400_000)

    async def test_strange_words_are_borne(self):
        """Words beyond all bounds, from a newer release, break nothing."""
        await self.run_for(20, {'router-0': 80})
        taker = self.net.nets['router-1']
        source = self.net.nets['router-2'].me
        for level in (0, 1, 2, 77):
            strange = _word(level, 2**40, 2**32 - 1, routers=0, group=65535)
            await taker.take(source, strange)
        await taker.take(source, RateShares(9, 999, 2**63, 2**31))
        admitted = await self.run_for(30, {'router-0': 80})
        self.assertGreater(sum(admitted), 30 * 80 * 0.9)


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Routers that tell each other over real links."""

    async def test_homes_are_reached_over_links_opened_for_it(self):
        """Shares come although no lasting link leads to a home.

        Symptom: each router of a large fleet stays at the even share.
        Events: words are told where no link stands. Cause: a first word
        that only opens the link is not followed by another.
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
        with mock.patch.object(fleet_rates, 'SMALL', 0):
            limits = [TeamLimits(rig.clock, net) for net in rig.nets]
            await rig.until(partial(_asks_and_has_more, limits, 0.3))


class RolesTest(unittest.TestCase):
    """Homes, roots and shares by themselves."""

    def test_home_waits_until_everyone_could_tell(self):
        home = Collector(TO_HOME, 0)
        self.assertFalse(home.ready(100))
        home.put('router', Told('router', 1, 150, 1, {}), 100)
        self.assertFalse(home.ready(100 + INTERVAL - 1))
        self.assertTrue(home.ready(100 + INTERVAL))

    @parameterized.expand(
        (
            ('new', 0, 0.9),
            ('held', 4 * INTERVAL, 0.9),
            ('shrinking', 6 * INTERVAL, 0.5),
            ('given up', 8 * INTERVAL, 0.1),
            ('after a jump of the clock', 10_000, 0.1),
        ),
    )
    def test_share_shrinks_with_its_age(self, _name, age, share):
        granted = GrantedShares(HOME_DEFAULT)
        granted.record_request(2, {_TEAM: 800_000})
        late = RateShares(TO_HOME, 0, 1, 1, (RatePart(_TEAM, 100),))
        self.assertFalse(granted.apply_answer(late, 0))
        answer = RateShares(TO_HOME, 0, 2, 1, (RatePart(_TEAM, 900_000),))
        self.assertTrue(granted.apply_answer(answer, 0))
        found = granted.share(_TEAM, 0.1, age, INTERVAL)
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
    def test_shares_sum_up_to_the_budget(self, words, budget):
        demands = Demands(0)
        for number, (holder, window, at, parts) in enumerate(words):
            demands.expire(number)
            told = Told(f'{holder}', window, number + at, 1 + holder, parts)
            demands.put(f'{holder}', told)
        found = [demands.find(f'{name}') for name in range(6)]
        known = [told for told in found if told is not None]
        self.assertEqual(sum(told.routers for told in known), demands.routers)
        for team in range(4):
            wanted = sum(told.parts.get(team, 0) for told in known)
            self.assertAlmostEqual(demands.total(team), wanted / 1_000_000)
            shares = [demands.share(told, team, budget) for told in known]
            if shares:
                self.assertAlmostEqual(sum(shares), budget)
