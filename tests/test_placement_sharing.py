"""Tests of sharing loads at engines between routers."""

import random
import unittest

from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.sharing import LoadSharing
from balsamreach.wire.loads import TargetLoads
from tests.fake_net import FakeNet
from tests.relay_samples import ENGINES, entry
from tests.support import FakeClock


class LoadSharingTest(unittest.IsolatedAsyncioTestCase):
    """A burst at one router is seen by all routers."""

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet()
        self.one = self.join('one')
        self.two = self.join('two')

    def join(self, name):
        places = RelayTargets(random.Random(1))
        places.put(entry('engine', ENGINES))
        sharing = LoadSharing(self.net.join(name), places, self.clock)
        sharing.start()
        return sharing

    def place(self, sharing):
        return sharing.places.find('engine')

    async def exchange(self):
        self.one.report_changes()
        await self.net.settle()
        self.two.add_up()

    async def test_load_of_peer_is_counted(self):
        self.place(self.one).running = 4
        self.place(self.one).unread = 30_000
        await self.exchange()
        self.assertEqual(self.place(self.two).queued, 30_000)
        self.assertEqual(self.place(self.two).busy, 4)

    async def test_idle_engine_is_reported(self):
        self.place(self.one).running = 4
        await self.exchange()
        self.place(self.one).running = 0
        await self.exchange()
        self.assertEqual(self.place(self.two).busy, 0)

    async def test_small_changes_are_not_reported(self):
        self.place(self.one).unread = 1000
        self.place(self.one).running = 1
        await self.exchange()
        self.assertEqual(self.reports(), [])

    async def test_burst_of_long_prompts(self):
        """Long prompts are reported at once.

        Long prompts arrive through two routers within milliseconds. If each
        router reported its own only in the next round, 0.15 s later, both
        would choose the same engine: its first events would be late while
        others are idle.
        """
        self.place(self.one).running = 1
        self.place(self.one).unread = 20_000
        self.one.on_request_sent(20_000)
        await self.net.settle()
        self.assertEqual(self.place(self.two).queued, 20_000)
        # More of them at once cause no more messages than a round would.
        for number in range(2, 40):
            self.place(self.one).unread = 20_000 * number
            self.one.on_request_sent(20_000)
        self.assertEqual(len(self.reports()), 1)
        self.clock.advance(0.02)
        self.one.on_request_sent(20_000)
        self.assertEqual(len(self.reports()), 2)

    async def test_short_prompt_is_reported_in_next_round(self):
        self.place(self.one).running = 1
        self.place(self.one).unread = 3000
        self.one.on_request_sent(3000)
        self.assertEqual(self.reports(), [])

    def reports(self):
        return [one for one in self.net.sent if isinstance(one, TargetLoads)]

    async def test_load_of_cut_off_router(self):
        """The load of a router that was cut off expires.

        A router with a burst is cut off and serves it. If its last report
        counted for ever, an idle engine would get no requests.
        """
        self.place(self.one).running = 4
        self.place(self.one).unread = 30_000
        await self.exchange()
        self.clock.advance(2)
        self.two.add_up()
        self.assertEqual(self.place(self.two).queued, 0)
