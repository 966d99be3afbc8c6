"""Tests of loads that hubs sum up."""

import random
import unittest

from balsamreach.placement.places import Places
from balsamreach.placement.sharing import LoadSharing
from balsamreach.wire.loads import LoadWords
from tests.fake_net import FakeNet
from tests.relay_samples import ENGINES, entry
from tests.support import FakeClock

_ZONES = ('zone-a', 'zone-b')
_ROUTERS = 6


class ZoneLoadsTest(unittest.IsolatedAsyncioTestCase):
    """Every router sees what all have, for a few words of each."""

    def setUp(self):
        self.clock = FakeClock()
        self.fabric = FakeNet(hubs_per_zone=2)
        self.fleet = {
            f'{zone}-{number}': self.join(f'{zone}-{number}', zone)
            for zone in _ZONES
            for number in range(_ROUTERS)
        }

    def join(self, name, zone):
        places = Places(random.Random(1))
        places.put(entry('engine', ENGINES))
        places.put(entry('other', ENGINES))
        net = self.fabric.join(name, zone)
        sharing = LoadSharing(net, places, self.clock)
        sharing.start()
        return sharing

    def place(self, name, engine='engine'):
        return self.fleet[name].places.find(engine)

    def others(self):
        """Return the names of routers that are no hubs."""
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

    async def rounds(self, count=3):
        for _ in range(count):
            for sharing in self.fleet.values():
                sharing.round()
            await self.fabric.settle()
            self.clock.advance(0.15)

    async def test_each_router_counts_what_all_others_have(self):
        for name in self.fleet:
            self.place(name).running = 1
            self.place(name).unread = 3000
        await self.rounds()
        for name in self.fleet:
            self.assertEqual(self.place(name).busy, len(self.fleet), name)
            self.assertEqual(self.place(name).queued, 3000 * len(self.fleet))
            self.assertEqual(self.place(name, 'other').busy, 0)

    async def test_what_has_ended_counts_no_more(self):
        name = self.others()[0]
        self.place(name).running = 4
        await self.rounds()
        self.place(name).running = 0
        await self.rounds()
        for other in self.fleet:
            self.assertEqual(self.place(other).busy, 0)

    async def test_words_do_not_grow_with_the_square_of_the_fleet(self):
        for name in self.fleet:
            self.place(name).running = 1
        self.fabric.sent.clear()
        await self.rounds(1)
        words = [one for one in self.fabric.sent if isinstance(one, LoadWords)]
        # One from each router to its hub, one from each hub to its zone's
        # routers, one between the hubs of two zones; those of the first
        # round that came after a hub's own turn are told with the next.
        self.assertLessEqual(len(words), 3 * len(self.fleet))

    async def test_a_long_prompt_is_told_before_the_next_round(self):
        """Symptom: first events are late at one engine while others idle.

        Sequence: long prompts come through two routers of a zone within
        milliseconds; both choose the same engine.
        Cause: the hub told of the first one with its next round.
        """
        one, two = [
            name for name in self.others() if name.startswith('zone-a')
        ][:2]
        self.clock.advance(1)
        self.place(one).running = 1
        self.place(one).unread = 20_000
        self.fleet[one].sent(20_000)
        await self.fabric.settle()
        self.assertEqual(self.place(two).queued, 20_000)

    async def test_words_of_a_hub_that_died_go_stale(self):
        """Symptom: an idle engine gets no requests.

        Sequence: the hub of a zone tells of a clump and dies.
        Cause: its last word counted for ever.
        """
        name = self.others()[0]
        self.place(name).running = 4
        await self.rounds()
        hub = self.first_hub(name)
        self.place(name).running = 0
        self.fabric.kill(hub)
        self.fleet.pop(hub)
        self.clock.advance(3)
        await self.rounds()
        for other in self.fleet:
            self.assertEqual(self.place(other).busy, 0)

    async def test_the_next_hub_takes_over(self):
        hub = self.first_hub('zone-a-0')
        self.fabric.kill(hub)
        self.fleet.pop(hub)
        name = next(iter(self.fleet))
        self.place(name).running = 4
        await self.rounds(8)
        for other in self.fleet:
            self.assertEqual(self.place(other).busy, 4, other)
