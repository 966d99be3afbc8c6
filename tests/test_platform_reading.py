"""Tests of what routers of a zone know after much has changed."""

import random

import attrs
from parameterized import parameterized
from tornado.testing import gen_test

from balsamreach.catalogue.view import CatalogueView
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.places import Places
from balsamreach.platform.feed import Feed, FeedParts
from balsamreach.platform.feeds import ConfigurationFeed, TargetsFeed
from balsamreach.platform.pages import PageSharing
from balsamreach.services.faults import UNKNOWN
from balsamreach.telemetry.metrics import Metrics
from tests.fake_net import FakeNet
from tests.relay_samples import entry
from tests.support import FakeClock, ManualClock
from tests.test_platform_store import _TARGET, StoreCase

_SIZES = [('few bytes', 10), ('many bytes', 90_000)]


@attrs.define(eq=False)
class _Router:
    feed: Feed
    places: Places

    def targets(self):
        listed = [place.entry for place in self.places]
        return sorted(one.target_id for one in listed)


class GoneTargetsTest(StoreCase):
    """A target that is gone is gone everywhere, however that is told."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.fabric = FakeNet(hubs_per_zone=2)
        self.routers = {}
        for number in range(4):
            self.join(f'r{number}')
        net = self.fabric.nets['r0']
        hubs = net.hubs.of('zone-a')
        names = [hub.incarnation for hub in hubs]
        self.hub = self.routers[names[0]]
        others = [name for name in self.routers if name not in names]
        self.other = self.routers[others[0]]

    def join(self, name):
        pages = PageSharing(self.fabric.join(name), self.clock)
        pages.start()
        places = Places(random.Random(1))
        targets = TargetsFeed(places, self.clock, _ignore, _ignore)
        parts = FeedParts(
            store=self.store,
            probe=self.store,
            clock=self.clock,
            metrics=Metrics(),
            pages=pages,
        )
        self.routers[name] = _Router(targets.open(parts), places)

    async def step(self, router):
        """Let a router ask the store once, and tell of it."""
        asked_at = self.clock.now()
        router.feed._take_answer(await router.feed._next(), asked_at)
        await self.fabric.settle()

    def change_much(self, size):
        note = random.Random(1).randbytes(size).hex()
        self.state.write('servers', 'one', _TARGET | {'note': note})

    @parameterized.expand(_SIZES)
    @gen_test
    async def test_one_that_the_hub_never_saw(self, _, size):
        """Work went to a target that came and went while the hub was away."""
        self.state.write('servers', 'one', _TARGET)
        for router in (*self.routers.values(), self.hub):
            await self.step(router)
        self.hub.feed._fail(UNKNOWN)
        two = _TARGET | {'address': '10.0.0.2:1'}
        self.state.write('servers', 'two', two)
        await self.step(self.other)
        self.assertEqual(self.other.targets(), ['one', 'two'])
        self.state.write('servers', 'two', None)
        self.change_much(size)
        self.clock.seconds += 10
        await self.step(self.hub)
        await self.step(self.other)
        self.assertEqual(self.other.targets(), ['one'])

    @parameterized.expand(_SIZES)
    @gen_test
    async def test_one_that_a_peer_told_of(self, _, size):
        """Work went to a target that was gone before the store was back."""
        self.state.write('servers', 'one', _TARGET)
        await self.step(self.hub)
        version = self.state.write('servers', 'two', _TARGET)
        self.hub.places.put(entry('two', 'desk', version=version))
        self.state.write('servers', 'two', None)
        self.change_much(size)
        self.clock.seconds += 10
        await self.step(self.hub)
        self.assertEqual(self.hub.targets(), ['one'])


class OvertakenTest(StoreCase):
    """Answers of calls that were under way at the same time."""

    @gen_test
    async def test_changes_without_what_came_before(self):
        """Evacuations were lifted by a page that held only changes."""
        clock = FakeClock()
        evacuations = Evacuations(clock)
        feed = ConfigurationFeed(CatalogueView(), evacuations).open(
            FeedParts(
                store=self.store,
                probe=self.store,
                clock=clock,
                metrics=Metrics(),
                pages=PageSharing(FakeNet().join('router'), clock),
            ),
        )
        self.state.write('op', 'evacuate/zone-a', {})
        feed._take_answer(await feed._next(), clock.now())
        self.state.write('op', 'config', {'version': 3})
        changes = await feed._next()
        feed._since = None
        feed._take_answer(changes, clock.now())
        self.assertTrue(evacuations.covers('zone-a'))


def _ignore(*_told):
    """Tell nobody."""
