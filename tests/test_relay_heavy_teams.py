"""Tests of heavy teams: detection, reports, and leaving the rotation."""

import itertools
import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.daemon.link_parts import make_link_parts
from balsamreach.relay.heavy_teams import REPORT_EXPIRY_S
from balsamreach.relay.rotation import MAX_OUT_S, MIN_BACK_S, MIN_OUT_S
from balsamreach.wire.loads import HeavyTeams
from tests.fake_net import FakeNet
from tests.support import FakeClock

_TICK_S = 0.1
_TEAM = 'team-a'
#: Half of what requests may use of a link of 10 Mbit/s, in bytes a second.
_HALF = 531_250


@attrs.define(eq=False)
class _Zone:
    """Routers of one zone, in virtual time."""

    sizes: tuple[int, ...]
    clock: FakeClock = attrs.field(factory=FakeClock)
    fabric: FakeNet = attrs.field(factory=lambda: FakeNet(hubs_per_zone=2))
    parts: list = attrs.field(init=False)
    out: list = attrs.field(init=False)
    order: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.out = [False for _ in self.sizes]
        self.order = list(range(len(self.sizes)))
        self.parts = [
            make_link_parts(_settings(size), self.fabric.join(name), self.clock)
            for name, size in _enumerate_names(self.sizes)
        ]

    async def tick(self, *, delivers=True):
        """Advance by a tenth of a second."""
        self.clock.advance(_TICK_S)
        for index in self.order:
            self.out[index] = self.parts[index].update()
        if delivers:
            await self.fabric.settle()

    async def tick_for(self, seconds):
        """Advance without requests."""
        for _ in range(round(seconds / _TICK_S)):
            await self.tick()

    def send(self, index, size, requests=1, team=_TEAM):
        """Receive requests of the team at one router."""
        self.parts[index].link.add(size, team, requests)

    async def load(self, index, rate, seconds):
        """Load one router with bytes of the team."""
        for _ in range(round(seconds / _TICK_S)):
            self.send(index, round(rate * _TICK_S))
            await self.tick()

    def tracker(self, index):
        """Return the heavy teams of one router."""
        return self.parts[index].sharing.tracker

    def report(self, index, rate, *, out=False, sender='other'):
        """Record a report of another router."""
        self.tracker(index).reports.record(
            sender, {_TEAM: rate}, out_of_rotation=out
        )


@attrs.define(eq=False)
class _Balancer:
    """Sends a team to the first host that was not out for the last 2 s."""

    zone: _Zone
    _out_since: dict[int, int] = attrs.field(factory=dict)
    _ticks: int = 0

    def choose(self):
        """Check all hosts, and return the one for the next tenth."""
        self._ticks += 1
        for host, is_out in enumerate(self.zone.out):
            if is_out:
                self._out_since.setdefault(host, self._ticks)
            else:
                self._out_since.pop(host, None)
        for host, _ in enumerate(self.zone.out):
            if self._ticks - self._out_since.get(host, self._ticks) < 20:
                return host
        return 0


def _enumerate_names(sizes):
    """Yield the name of each router with its size."""
    for index, size in enumerate(sizes):
        yield f'router-{index:02}', size


def _settings(mbit, control='yes'):
    return read_settings(
        None,
        (
            'host.zone=zone-a',
            f'host.link={mbit}',
            f'relay.link_control={control}',
        ),
    )


class DetectionTest(unittest.IsolatedAsyncioTestCase):
    """A team is heavy above half of the link, for some time."""

    @parameterized.expand(
        (
            ('above_half', _HALF * 1.2, 2, True),
            ('below_half', _HALF * 0.9, 2, False),
            ('too_short', _HALF * 1.2, 1.1, False),
            ('far_above', _HALF * 4, 0.8, True),
            ('far_above_but_short', _HALF * 4, 0.4, False),
        )
    )
    async def test_heavy(self, _, rate, seconds, expected):
        zone = _Zone((10, 10))
        await zone.load(0, rate, seconds)
        heavy = zone.tracker(0).heavy()
        self.assertEqual(_TEAM in heavy, expected)
        if expected:
            self.assertLessEqual(heavy[_TEAM], rate)
            self.assertGreater(heavy[_TEAM], rate / 2)
        await zone.tick_for(1)
        self.assertEqual(zone.tracker(0).heavy(), {})

    async def test_messages(self):
        """Reports are sent at once, and every 2 s while the team is heavy."""
        zone = _Zone((10, 10))
        await zone.load(0, _HALF * 1.2, 8)
        sent = len(zone.fabric.sent)
        self.assertGreaterEqual(sent, 3)
        self.assertLessEqual(sent, 5)
        await zone.tick_for(10)
        self.assertEqual(len(zone.fabric.sent), sent)

    @parameterized.expand((('off', 10, 'no'), ('unknown_link', 0, 'yes')))
    def test_off(self, _, mbit, control):
        net = FakeNet().join('router')
        parts = make_link_parts(_settings(mbit, control), net, FakeClock())
        self.assertIsNone(parts.sharing)
        self.assertIsNone(parts.rotation.heavy_teams)
        self.assertEqual(net.handlers, {})


class ReportsTest(unittest.IsolatedAsyncioTestCase):
    """Lost, late and duplicated reports do little harm."""

    def rates(self, zone):
        """Return the rates that the second router knows."""
        reports = zone.tracker(1).reports.highest()
        return {team: one.bytes_per_second for team, one in reports.items()}

    @parameterized.expand((('lost', 'lost'), ('doubled', 'doubled')))
    async def test_first_report(self, _, failure):
        """Guards against a report that is lost, doubled or kept for good."""
        zone = _Zone((10, 10))
        getattr(zone.fabric, failure)[HeavyTeams] = 1
        await zone.load(0, _HALF * 1.2, 2)
        self.assertEqual(bool(self.rates(zone)), failure != 'lost')
        await zone.load(0, _HALF * 1.2, 2)
        self.assertIn(_TEAM, self.rates(zone))
        await zone.tick_for(REPORT_EXPIRY_S + 0.2)
        self.assertEqual(self.rates(zone), {})

    async def test_hub_forwards_reports(self):
        """Guards against reports that are dropped for want of a connection.

        In a large fleet routers are connected to the hubs of their zone only.
        """
        zone = _Zone((10,) * 5)
        nets = [part.sharing.net for part in zone.parts]
        hubs = nets[0].hubs.hubs_of('zone-a')
        names = {hub.incarnation for hub in hubs}
        first, second = [
            index
            for index, net in enumerate(nets)
            if net.me.incarnation not in names
        ][:2]
        await zone.load(first, _HALF * 1.2, 1.5)
        report = zone.tracker(second).reports.highest()[_TEAM]
        self.assertGreater(report.bytes_per_second, _HALF)
        senders = {
            message.reporter
            for message in zone.fabric.sent
            if isinstance(message, HeavyTeams)
        }
        self.assertEqual(senders, {'', nets[first].me.incarnation})

    async def test_late_report(self):
        """The report received last counts, also if an older one is late."""
        zone = _Zone((10, 10, 10))
        for rate in (_HALF * 3, _HALF * 2):
            zone.report(1, rate)
        self.assertEqual(self.rates(zone), {_TEAM: _HALF * 2})
        zone.report(1, _HALF * 4, sender='third')
        self.assertEqual(self.rates(zone), {_TEAM: _HALF * 4})


class RotationTest(unittest.IsolatedAsyncioTestCase):
    """Routers leave before a reported team saturates their link."""

    @parameterized.expand(
        (
            ('reported', 10, 3, 0, 0, True),
            ('few_requests', 10, 2, 0, 0, False),
            ('enough_bandwidth', 20, 3, 0, 0, False),
            ('expired', 10, 3, 5, 0, False),
            ('one_is_out', 10, 3, 0, 1, True),
            ('too_many_are_out', 10, 3, 0, 2, False),
        )
    )
    async def test_leave_now(self, _, mbit, *case):
        requests, age, out, leaves = case
        zone, rate = _Zone((mbit,) * 6), _HALF * 1.2
        for number in range(3):
            name = f'router-0{number + 1}'
            zone.report(0, rate, out=number < out, sender=name)
        zone.clock.advance(age)
        zone.send(0, 1000, requests)
        self.assertEqual(zone.parts[0].update(), leaves)
        expected = {'team': _TEAM, 'bytes_per_second': rate} if leaves else {}
        described = zone.parts[0].describe_cause()
        self.assertLessEqual(expected.items(), described.items())

    @parameterized.expand(
        (
            ('no_report', 0, MIN_OUT_S),
            ('reported_for_long', 100, MAX_OUT_S),
            ('reported_for_a_while', 10, 10 + REPORT_EXPIRY_S),
        )
    )
    async def test_stay_out(self, _, reported_s, expected):
        """A router stays out while the team is elsewhere, but not forever."""
        zone, ticks = _Zone((10,) * 6), 1
        zone.report(0, _HALF * 2)
        zone.send(0, 1000, 3)
        await zone.tick()
        while zone.out[0]:
            ticks += 1
            if ticks < reported_s / _TICK_S:
                zone.report(0, _HALF * 2)
            await zone.tick()
        self.assertAlmostEqual(ticks * _TICK_S, expected, delta=0.3)

    async def test_absences_are_separated(self):
        """Guards against a router that is back too briefly to be noticed.

        Another host reports the team all the time, and some of the team's
        requests arrive here, also over connections that were kept open.
        """
        zone, states = _Zone((10,) * 6), []
        for _ in range(1000):
            zone.report(0, _HALF * 2)
            zone.send(0, 1000, 1)
            await zone.tick()
            states.append(zone.out[0])
        lengths = [
            (is_out, len(tuple(run)) * _TICK_S)
            for is_out, run in itertools.groupby(states)
        ]
        longest_out = max(length for is_out, length in lengths if is_out)
        back = [length for is_out, length in lengths[1:-1] if not is_out]
        self.assertLessEqual(longest_out, MAX_OUT_S + _TICK_S)
        self.assertGreaterEqual(min(back), MIN_BACK_S - _TICK_S)

    @parameterized.expand(
        [(seed, loses) for seed in range(5) for loses in (False, True)]
    )
    async def test_share_of_the_zone(self, seed, loses):
        """Guards against a zone that leaves the rotation as a whole.

        A team's requests reach all routers, and a report of it arrives at all
        of them at the same moment. Messages are delayed, and some are lost.
        """
        rng, zone = random.Random(seed), _Zone((10,) * 20)
        over_ticks, longest = 0, 0
        for _ in range(300):
            for index in range(20):
                zone.report(index, _HALF * 2, sender='router-99')
                zone.send(index, 1000, 1)
            rng.shuffle(zone.order)
            if loses and rng.randrange(5) == 0:
                # All that one router reports: its message to the hub.
                zone.fabric.lost[HeavyTeams] = 1
            await zone.tick(delivers=rng.randrange(10) < 7)
            over_ticks = over_ticks + 1 if sum(zone.out) > 9 else 0
            longest = max(longest, over_ticks)
        # Routers that leave at the same moment return when they hear of each
        # other: with the first message, or with one of its next repetitions.
        # The load balancer leaves out a router after 2 s.
        self.assertLessEqual(longest, 45 if loses else 5)
        self.assertGreater(sum(zone.out), 0)

    @parameterized.expand([(seed,) for seed in range(5)])
    async def test_team_settles_at_a_host_with_enough_bandwidth(self, seed):
        """Guards against a team that is moved from one small host to the next.

        The load balancer prefers hosts in a fixed order, and leaves out one
        that has been out of rotation for 2 s. The last host is large.
        """
        zone = _Zone((10, 10, 10, 100, 10, 10, 10, 10, 10))
        balancer = _Balancer(zone)
        rng, hosts = random.Random(seed), []
        for _ in range(400):
            hosts.append(balancer.choose())
            rate = rng.gauss(_HALF * 2.4, _HALF * 0.1)
            zone.send(hosts[-1], round(rate * _TICK_S), 6)
            await zone.tick()
        self.assertEqual(hosts[0], 0)
        self.assertEqual(set(hosts[100:]), {3})


if __name__ == '__main__':
    unittest.main()
