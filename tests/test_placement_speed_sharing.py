"""Tests of engines' speeds that routers share through hubs."""

import logging
import random
import unittest

from parameterized import parameterized

from balsamreach.placement.engine_speeds import EngineSpeeds
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.speed_sharing import SpeedSharing
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.loads import TargetRates
from tests.fake_net import FakeNet
from tests.relay_samples import ENGINES, entry
from tests.support import FakeClock

_ZONES = ('zone-a', 'zone-b')
_ROUTERS = 5
_TOKENS = 40_000
_HUGE = (1 << 32) - 1
_LOGGER = 'balsamreach.placement.speed_sharing'


class SpeedSharingTest(unittest.IsolatedAsyncioTestCase):
    """Every router knows the speeds that others have measured."""

    def setUp(self):
        logging.getLogger(_LOGGER).setLevel(logging.CRITICAL)
        self.make_fleet(hubs=2)

    def make_fleet(self, hubs):
        self.clock = FakeClock()
        self.net = FakeNet(hubs_per_zone=hubs)
        self.metrics = Metrics()
        self.fleet = {
            f'{zone}-{number}': self.join(f'{zone}-{number}', zone)
            for zone in _ZONES
            for number in range(_ROUTERS)
        }

    def join(self, name, zone):
        places = RelayTargets(random.Random(1))
        places.put(entry('engine', ENGINES, born=1))
        sharing = SpeedSharing(
            self.net.join(name, zone),
            places,
            EngineSpeeds(self.clock),
            self.clock,
            self.metrics,
        )
        sharing.start()
        return sharing

    def sample(self, name, speed=40, engine='engine@1'):
        seconds = _TOKENS / speed / 1000
        self.fleet[name].speeds.record(engine, _TOKENS, seconds)

    def speeds(self, engine='engine@1'):
        return {
            name: sharing.speeds.speed(engine)
            for name, sharing in self.fleet.items()
        }

    def first_hub(self, zone='zone-a'):
        net = next(iter(self.fleet.values())).net
        return net.hubs.hubs_of(zone)[0].incarnation

    def non_hub(self):
        hubs = next(iter(self.fleet.values())).net.hubs.hubs_of('zone-a')
        names = {hub.incarnation for hub in hubs}
        return next(name for name in self.fleet if name not in names)

    def kill(self, name):
        self.net.kill(name)
        self.fleet.pop(name)

    async def run_rounds(self, count=3, **order):
        for _ in range(count):
            for sharing in self.fleet.values():
                sharing.run_round()
            await self.net.settle(**order)
            self.clock.advance(1)

    def assert_all_know(self, low=38, high=52):
        for name, speed in self.speeds().items():
            self.assertTrue(low < speed < high, (name, speed))

    async def test_all_routers_learn(self):
        self.sample(self.non_hub())
        await self.run_rounds()
        self.assert_all_know()

    @parameterized.expand((('lost',), ('doubled',)))
    async def test_message_faults(self, fault):
        """The next samples make up for lost messages; twice is like once."""
        getattr(self.net, fault)[TargetRates] = 4
        for _ in range(8):
            self.sample(self.non_hub())
            await self.run_rounds(1)
        await self.run_rounds()
        self.assert_all_know()

    async def test_late_and_reordered_messages(self):
        """Guards against estimates that depend on the order of messages."""
        self.net.held.add(TargetRates)
        for _ in range(4):
            self.sample(self.non_hub())
            await self.run_rounds(1)
        self.net.release()
        await self.run_rounds(newest_first=True)
        self.assert_all_know()

    async def test_next_hub_starts_from_received_estimates(self):
        """The hub dies; a router that joins then still learns the speed."""
        self.sample(self.non_hub())
        await self.run_rounds()
        self.kill(self.first_hub())
        self.fleet['new'] = self.join('new', 'zone-a')
        await self.run_rounds(1)
        self.assert_all_know()

    async def test_samples_after_death_of_hub(self):
        """Guards against speeds that nobody learns once a hub is dead."""
        self.kill(self.first_hub())
        self.sample(self.non_hub())
        await self.run_rounds()
        self.assert_all_know()

    async def test_restarted_engine_starts_anew(self):
        """A late message about the previous incarnation is dropped.

        Its successor may run on other hardware.
        """
        self.sample(self.non_hub())
        self.net.held.add(TargetRates)
        await self.run_rounds(1)
        for sharing in self.fleet.values():
            sharing.places.put(entry('engine', ENGINES, born=2, version=2))
        self.net.release()
        await self.run_rounds()
        for engine in ('engine@1', 'engine@2'):
            for speed in self.speeds(engine).values():
                self.assertAlmostEqual(speed, 100)

    async def test_constant_speed_is_not_forgotten(self):
        """An engine whose speed stays the same isn't taken for an idle one.

        Only changes are sent at once, so without a repetition its speed would
        approach the median after 10 s at all routers but the one with samples.
        """
        for _ in range(40):
            self.sample(self.non_hub())
            await self.run_rounds(1)
        self.assert_all_know()

    async def test_nothing_is_sent_without_change_or_hubs(self):
        self.sample(self.non_hub())
        await self.run_rounds(5)
        self.net.sent.clear()
        await self.run_rounds(5)
        self.assertEqual(self.net.sent, [])
        self.make_fleet(hubs=0)
        self.sample('zone-a-0')
        await self.run_rounds()
        self.assertEqual(self.net.sent, [])

    async def test_invalid_rows_are_ignored(self):
        """Guards against estimates that a malformed message spoils."""
        hub = self.fleet[self.first_hub()]
        message = TargetRates('router', ('engine@1', 'x'), (0, 9), (5, 5))
        self.fleet[self.non_hub()].net.tell(self.first_hub(), message)
        await self.net.settle()
        self.assertEqual(list(hub.speeds.known()), [])

    @parameterized.expand(
        (
            ('slow_to_hub', 'router', 1, True),
            ('fast_to_hub', 'router', _HUGE, True),
            ('slow_from_hub', 'fleet', 1, False),
            ('fast_from_hub', 'fleet', _HUGE, False),
        )
    )
    async def test_absurd_message_is_corrected(self, _, scope, rate, to_hub):
        """One wrong number must not starve or flood an engine for minutes.

        Two minutes of samples correct the estimate to within a quarter.
        """
        names = (self.non_hub(), self.first_hub())
        sender, receiver = names if to_hub else reversed(names)
        message = TargetRates(scope, ('engine@1',), (rate,), (_HUGE,))
        self.fleet[sender].net.tell(receiver, message)
        await self.net.settle()
        speeds = self.fleet[receiver].speeds
        for _ in range(120):
            self.clock.advance(1)
            speeds.record('engine@1', 9000, 0.09)
        self.assertLess(80, speeds.speed('engine@1'))
        self.assertLess(speeds.speed('engine@1'), 125)

    async def test_log_at_most_every_ten_seconds(self):
        name = self.non_hub()
        for other in tuple(self.fleet):
            if other not in {name, self.first_hub()}:
                self.kill(other)
        self.sample(name)
        with self.assertLogs(_LOGGER, logging.INFO) as logs:
            await self.run_rounds(12)
            self.assertEqual(len(logs.records), 2 * len(self.fleet))
        self.assertIn(
            'balsamreach_engine_speeds_known 1', self.metrics.render()
        )
