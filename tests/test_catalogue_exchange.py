"""Tests of what routers tell each other of configuration and targets."""

import asyncio
import random
import unittest

import attrs

from balsamreach.catalogue.exchange import CatalogueExchange
from balsamreach.catalogue.view import CatalogueView
from balsamreach.placement.places import Places
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.messages import Heartbeat, TableAsk
from tests.budget_world import VirtualClock
from tests.fake_net import FakeNet
from tests.relay_samples import CATALOGUE, entry


@attrs.define(eq=False)
class Router:
    """One router's part of the exchange."""

    net: object
    clock: VirtualClock
    view: CatalogueView = attrs.field(factory=CatalogueView)
    places: Places = attrs.field(factory=lambda: Places(random.Random(1)))
    exchange: CatalogueExchange = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin to take messages."""
        self.exchange = CatalogueExchange(
            self.net,
            self.view,
            self.places,
            _decode,
            self.clock,
            Metrics(),
        )
        self.exchange.start()


def _version(number):
    return attrs.evolve(CATALOGUE, version=number, document=str(number))


def _decode(document):
    return _version(int(document)) if document.isdecimal() else None


class CatalogueExchangeTest(unittest.IsolatedAsyncioTestCase):
    """What one router learnt, the others learn from it."""

    def setUp(self):
        self.fabric = FakeNet()
        self.clock = VirtualClock()
        self.one = Router(self.fabric.join('one'), self.clock)
        self.two = Router(self.fabric.join('two'), self.clock)

    async def beat(self, source, target):
        """Let one router's heartbeat reach another, and what follows."""
        version = source.view.version
        source.net.tell(target.net.me.incarnation, Heartbeat(version))
        await self.fabric.settle()
        for task in tuple(target.exchange._tasks):
            await self.clock.drive(task)

    async def test_a_router_that_the_store_turns_away(self):
        """Symptom: a removed key is let in for seconds at one router.

        Sequence: the store refuses that router only; a version comes.
        Cause: it had no other way to learn of it.
        """
        self.two.view.offer(_version(5), 'store')
        self.one.view.offer(_version(6), 'store')
        await self.beat(self.one, self.two)
        self.assertEqual(self.two.view.version, 6)

    async def test_the_store_comes_first(self):
        """A version that the store brings meanwhile is not fetched."""
        self.two.view.offer(_version(5), 'store')
        self.one.view.offer(_version(6), 'store')
        self.one.net.tell('two', Heartbeat(6))
        await self.fabric.settle()
        self.two.view.offer(_version(6), 'store')
        for task in tuple(self.two.exchange._tasks):
            await self.clock.drive(task)
        asked = [one for one in self.fabric.sent if isinstance(one, TableAsk)]
        self.assertEqual(asked, [])

    async def test_an_older_version_never_comes_into_force(self):
        self.one.view.offer(_version(6), 'store')
        self.two.view.offer(_version(7), 'store')
        await self.beat(self.one, self.two)
        self.assertEqual(self.two.view.version, 7)

    async def test_a_router_that_starts_without_the_store(self):
        self.one.view.offer(_version(6), 'store')
        self.one.places.put(entry('target', 'desk', version=3))
        await self.beat(self.one, self.two)
        self.assertEqual(self.two.view.version, 6)
        self.assertIsNotNone(self.two.places.find('target'))

    async def test_leaving_and_gone_targets(self):
        """Symptom: a leaving target gets work from a router in a cut.

        Sequence: the store is cut off from that router; a target leaves.
        Cause: it had no other way to learn of it.
        """
        for router in (self.one, self.two):
            router.places.put(entry('leaves', 'desk', version=3))
            router.places.put(entry('goes', 'desk', version=4))
        self.one.exchange.tell_target(
            entry('leaves', 'desk', version=8, leaving=True),
        )
        self.one.exchange.tell_gone('goes', 9)
        await self.fabric.settle()
        self.assertTrue(self.two.places.find('leaves').entry.leaving)
        self.assertIsNone(self.two.places.find('goes'))

    async def test_a_document_that_can_not_be_read(self):
        broken = attrs.evolve(CATALOGUE, version=9, document='rubbish')
        self.one.view.offer(broken, 'store')
        await self.beat(self.one, self.two)
        await asyncio.sleep(0)
        self.assertEqual(self.two.view.version, 0)
