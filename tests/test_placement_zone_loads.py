"""Tests of loads that hubs add up."""

import random
import unittest

from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.sharing import LoadSharing
from balsamreach.wire.loads import LoadWords
from tests.fake_net import FakeNet
from tests.relay_samples import ENGINES, entry
from tests.support import FakeClock

_ZONES = ('zone-a', 'zone-b')
_ROUTERS = 6


class ZoneLoadsTest(unittest.IsolatedAsyncioTestCase):
    """Every router knows the load of all, with few messages of each."""

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet(hubs_per_zone=2)
        self.fleet = {
            f'{zone}-{number}': self.join(f'{zone}-{number}', zone)
            for zone in _ZONES
            for number in range(_ROUTERS)
        }

    def join(self, name, zone):
        places = RelayTargets(random.Random(1))
        places.put(entry('engine', ENGINES))
        places.put(entry('other', ENGINES))
        net = self.net.join(name, zone)
        sharing = LoadSharing(net, places, self.clock)
        sharing.start()
        return sharing

    def place(self, name, engine='engine'):
        return self.fleet[name].places.find(engine)

    def non_hubs(self):
        """Return the names of the routers that are not hubs."""
        hubs = {
            hub.incarnation
            for zone in _ZONES
            for hub in next(iter(self.fleet.values())).net.hubs.of(zone)
        }
        return [name for name in self.fleet if name not in hubs]

    def first_hub(self, name):
        """Return the first hub of a router's zone."""
        net = self.fleet[name].net
        return net.hubs.of(net.me.zone)[0].incarnation

    async def run_rounds(self, count=3):
        for _ in range(count):
            for sharing in self.fleet.values():
                sharing.run_round()
            await self.net.settle()
            self.clock.advance(0.15)

    async def test_each_router_counts_load_of_all(self):
        for name in self.fleet:
            self.place(name).running = 1
            self.place(name).unread = 3000
        await self.run_rounds()
        for name in self.fleet:
            self.assertEqual(self.place(name).busy, len(self.fleet), name)
            self.assertEqual(self.place(name).queued, 3000 * len(self.fleet))
            self.assertEqual(self.place(name, 'other').busy, 0)

    async def test_ended_requests_are_not_counted(self):
        name = self.non_hubs()[0]
        self.place(name).running = 4
        await self.run_rounds()
        self.place(name).running = 0
        await self.run_rounds()
        for other in self.fleet:
            self.assertEqual(self.place(other).busy, 0)

    async def test_messages_grow_linearly(self):
        for name in self.fleet:
            self.place(name).running = 1
        self.net.sent.clear()
        await self.run_rounds(1)
        messages = [one for one in self.net.sent if isinstance(one, LoadWords)]
        # One from each router to its hub, one from each hub to its zone's
        # routers, one between the hubs of two zones; loads that arrive after
        # the hub's own turn in the first round are sent in the next.
        self.assertLessEqual(len(messages), 3 * len(self.fleet))

    async def test_long_prompt_is_reported_at_once(self):
        """The hub reports a long prompt before its next round.

        Long prompts arrive through two routers of a zone within milliseconds.
        If the hub reported the first one in its next round, both routers
        would choose the same engine: its first events would be late while
        others are idle.
        """
        one, two = [
            name for name in self.non_hubs() if name.startswith('zone-a')
        ][:2]
        self.clock.advance(1)
        self.place(one).running = 1
        self.place(one).unread = 20_000
        self.fleet[one].on_request_sent(20_000)
        await self.net.settle()
        self.assertEqual(self.place(two).queued, 20_000)

    async def test_loads_of_dead_hub_expire(self):
        """The loads that a dead hub reported expire.

        The hub of a zone reports a burst and dies. If its last report counted
        for ever, an idle engine would get no requests.
        """
        name = self.non_hubs()[0]
        self.place(name).running = 4
        await self.run_rounds()
        hub = self.first_hub(name)
        self.place(name).running = 0
        self.net.kill(hub)
        self.fleet.pop(hub)
        self.clock.advance(3)
        await self.run_rounds()
        for other in self.fleet:
            self.assertEqual(self.place(other).busy, 0)

    async def test_next_hub_takes_over(self):
        hub = self.first_hub('zone-a-0')
        self.net.kill(hub)
        self.fleet.pop(hub)
        name = next(iter(self.fleet))
        self.place(name).running = 4
        await self.run_rounds(8)
        for other in self.fleet:
            self.assertEqual(self.place(other).busy, 4, other)
