"""Tests of what routers tell each other of the load at engines."""

import random
import unittest

from balsamreach.placement.places import Places
from balsamreach.placement.sharing import LoadSharing
from balsamreach.wire.loads import TargetLoads
from tests.fake_net import FakeNet
from tests.relay_samples import ENGINES, entry
from tests.support import FakeClock


class LoadSharingTest(unittest.IsolatedAsyncioTestCase):
    """A clump at one router is seen by all."""

    def setUp(self):
        self.clock = FakeClock()
        self.fabric = FakeNet()
        self.one = self.join('one')
        self.two = self.join('two')

    def join(self, name):
        places = Places(random.Random(1))
        places.put(entry('engine', ENGINES))
        sharing = LoadSharing(self.fabric.join(name), places, self.clock)
        sharing.start()
        return sharing

    def place(self, sharing):
        return sharing.places.find('engine')

    async def exchange(self):
        self.one.tell()
        await self.fabric.settle()
        self.two.sum_up()

    async def test_what_waits_at_one_counts_at_the_other(self):
        self.place(self.one).running = 4
        self.place(self.one).unread = 30_000
        await self.exchange()
        self.assertEqual(self.place(self.two).queued, 30_000)
        self.assertEqual(self.place(self.two).busy, 4)

    async def test_an_engine_that_became_idle_is_told(self):
        self.place(self.one).running = 4
        await self.exchange()
        self.place(self.one).running = 0
        await self.exchange()
        self.assertEqual(self.place(self.two).busy, 0)

    async def test_small_changes_cost_no_message(self):
        self.place(self.one).unread = 1000
        self.place(self.one).running = 1
        await self.exchange()
        self.assertEqual(self.told(), [])

    async def test_a_clump_of_long_prompts(self):
        """Symptom: first events are late at one engine while others idle.

        Sequence: long prompts come through two routers within milliseconds;
        both choose the same engine.
        Cause: each told of its own with the next round, 0.15 s later.
        """
        self.place(self.one).running = 1
        self.place(self.one).unread = 20_000
        self.one.sent(20_000)
        await self.fabric.settle()
        self.assertEqual(self.place(self.two).queued, 20_000)
        # More of them at once cost no more messages than a round would.
        for number in range(2, 40):
            self.place(self.one).unread = 20_000 * number
            self.one.sent(20_000)
        self.assertEqual(len(self.told()), 1)
        self.clock.advance(0.02)
        self.one.sent(20_000)
        self.assertEqual(len(self.told()), 2)

    async def test_a_short_prompt_waits_for_the_round(self):
        self.place(self.one).running = 1
        self.place(self.one).unread = 3000
        self.one.sent(3000)
        self.assertEqual(self.told(), [])

    def told(self):
        return [one for one in self.fabric.sent if isinstance(one, TargetLoads)]

    async def test_a_word_of_a_router_that_was_cut_off(self):
        """Symptom: an idle engine gets no requests.

        Sequence: a router with a clump is cut off and serves it.
        Cause: its last word counted for ever.
        """
        self.place(self.one).running = 4
        self.place(self.one).unread = 30_000
        await self.exchange()
        self.clock.advance(2)
        self.two.sum_up()
        self.assertEqual(self.place(self.two).queued, 0)
