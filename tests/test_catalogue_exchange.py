"""Tests of what routers tell each other of configuration and targets."""

import asyncio
import random
import unittest
from functools import partial

import attrs

from balsamreach.catalogue import serialization
from balsamreach.catalogue.exchange import CatalogueExchange
from balsamreach.catalogue.known import Known
from balsamreach.catalogue.view import CatalogueView
from balsamreach.placement.evacuations import Evacuation, Evacuations
from balsamreach.placement.places import Places
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.tables import TableAsk, TableRows
from tests.budget_world import VirtualClock
from tests.fake_net import FakeNet
from tests.peers_rig import Rig
from tests.relay_samples import CATALOGUE, entry

#: Gap timeouts that a late answer takes.
_LATE_GAPS = 3


@attrs.define(eq=False)
class Router:
    """One router's part of the exchange."""

    net: object
    clock: VirtualClock
    view: CatalogueView = attrs.field(factory=CatalogueView)
    places: Places = attrs.field(factory=lambda: Places(random.Random(1)))
    evacuations: Evacuations = attrs.field(init=False)
    exchange: CatalogueExchange = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin to take messages."""
        self.evacuations = Evacuations(self.clock)
        known = Known(
            self.view,
            self.places,
            self.evacuations,
            _decode,
            Metrics(),
        )
        self.exchange = CatalogueExchange(self.net, known, self.clock)
        self.exchange.start()


def _version(number):
    write = partial(str, number)
    return attrs.evolve(CATALOGUE, version=number, write=write)


def _note_and_write(written):
    written.append(6)
    return '6'


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
        beat = Heartbeat(source.view.version, source.evacuations.digest())
        source.net.tell(target.net.me.incarnation, beat)
        await self.fabric.settle()
        await self.catch_up(target)

    async def catch_up(self, router):
        """Let a router ask for what it lacks, if it does."""
        if router.exchange._asking is not None:
            await self.clock.drive(router.exchange._asking)

    async def test_a_router_that_the_store_turns_away(self):
        """Symptom: a removed key is let in for seconds at one router.

        Sequence: the store refuses that router only; a version comes.
        Cause: it had no other way to learn of it.
        """
        self.two.view.offer(_version(5), 'store')
        self.one.view.offer(_version(6), 'store')
        await self.beat(self.one, self.two)
        self.assertEqual(self.two.view.version, 6)

    async def test_many_that_ask_are_told_by_one_packing(self):
        """A router's requests stood still while its peers caught up."""
        written = []
        write = partial(_note_and_write, written)
        self.one.view.offer(attrs.evolve(_version(6), write=write), 'store')
        for name in ('three', 'four'):
            late = Router(self.fabric.join(name), self.clock)
            await self.beat(self.one, late)
            self.assertEqual(late.view.version, 6)
        self.assertEqual(len(written), 1)

    async def test_the_store_comes_first(self):
        """A version that the store brings meanwhile is not fetched."""
        self.two.view.offer(_version(5), 'store')
        self.one.view.offer(_version(6), 'store')
        self.one.net.tell('two', Heartbeat(6))
        await self.fabric.settle()
        self.two.view.offer(_version(6), 'store')
        await self.catch_up(self.two)
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

    def leave(self, router, **fields):
        """Let a router hear a target say that it leaves."""
        told_leaving = entry('leaves', 'desk', leaving=True, **fields)
        router.places.put(told_leaving)
        router.exchange.tell_target(told_leaving)

    def leaves(self, router):
        return router.places.find('leaves').entry.leaving

    async def test_target_that_leaves_by_its_own_word(self):
        """A leaving target got requests from routers two steps away.

        The word came in an answer to one of them: the list has no change.
        """
        three = Router(self.fabric.join('three'), self.clock)
        self.fabric.cut(['one'], ['three'])
        for router in (self.one, self.two, three):
            router.places.put(entry('leaves', 'desk', version=3))
        self.leave(self.one, version=3)
        await self.fabric.settle()
        self.assertTrue(self.leaves(three))
        sent = len(self.fabric.sent)
        self.leave(self.one, version=3)
        await self.fabric.settle()
        self.assertEqual(len(self.fabric.sent), sent + 1)

    async def test_target_that_leaves_in_a_cut(self):
        """A leaving target got requests from routers that had been cut off."""
        for router in (self.one, self.two):
            router.places.put(entry('leaves', 'desk', version=3))
            router.exchange.catch_up()
        self.fabric.cut(['one'], ['two'])
        self.leave(self.one, version=3)
        self.one.exchange.catch_up()
        await self.fabric.settle()
        self.assertFalse(self.leaves(self.two))
        self.fabric.heal()
        self.one.exchange.catch_up()
        await self.fabric.settle()
        self.assertTrue(self.leaves(self.two))
        sent = len(self.fabric.sent)
        self.one.exchange.catch_up()
        await self.fabric.settle()
        self.assertEqual(len(self.fabric.sent), sent)

    def evacuate(self, router, version, *, in_force=True):
        order = Evacuation(zone='zone-a', version=version, in_force=in_force)
        router.evacuations.put(order, 'store')
        router.exchange.tell_evacuation(order)

    async def test_an_evacuation_reaches_those_without_the_store(self):
        """Symptom: an evacuated zone gets work from a router in a cut.

        Sequence: the store turns that router away; a zone is evacuated, and
        restored.
        Cause: it had no other way to learn of it.
        """
        self.evacuate(self.one, 7)
        await self.fabric.settle()
        self.assertTrue(self.two.evacuations.covers('zone-a'))
        self.evacuate(self.one, 9, in_force=False)
        await self.fabric.settle()
        self.assertFalse(self.two.evacuations.covers('zone-a'))

    async def test_an_evacuation_goes_on_beyond_neighbours(self):
        """Symptom: a router two steps away from the store never hears it.

        Sequence: it has no connection to the router that heard it there.
        Cause: who heard it from a peer told nobody.
        """
        three = Router(self.fabric.join('three'), self.clock)
        self.fabric.cut(['one'], ['three'])
        self.evacuate(self.one, 7)
        await self.fabric.settle()
        self.assertTrue(three.evacuations.covers('zone-a'))

    async def test_an_evacuation_that_was_not_heard(self):
        """Symptom: a router goes on sending to an evacuated zone.

        Sequence: it stands still while the order is told; its store is away.
        Cause: the order was told once, and no later word showed it.
        """
        for router in (self.one, self.two):
            router.view.offer(_version(5), 'store')
        self.fabric.cut(['one'], ['two'])
        self.evacuate(self.one, 7)
        await self.fabric.settle()
        self.fabric.heal()
        await self.beat(self.one, self.two)
        self.assertTrue(self.two.evacuations.covers('zone-a'))
        asked = len(self.fabric.sent)
        await self.beat(self.one, self.two)
        self.assertEqual(len(self.fabric.sent), asked + 1)

    async def test_one_ask_at_a_time(self):
        """Symptom: a small host is seconds behind, and loses its peers.

        Sequence: a large configuration changes; all neighbours have it, and
        tell so in their heartbeats.
        Cause: each was asked for the whole of it.
        """
        self.two.view.offer(_version(5), 'store')
        names = ('three', 'four')
        nets = map(self.fabric.join, names)
        others = [self.one, *(Router(net, self.clock) for net in nets)]
        for other in others:
            other.view.offer(_version(6), 'store')
            other.net.tell('two', Heartbeat(6))
        await self.fabric.settle()
        await self.catch_up(self.two)
        asked = [one for one in self.fabric.sent if isinstance(one, TableAsk)]
        self.assertEqual(len(asked), 1)
        self.assertEqual(self.two.view.version, 6)

    async def test_what_is_known_is_not_sent(self):
        """Who lacks an evacuation alone doesn't get the configuration."""
        for router in (self.one, self.two):
            router.view.offer(_version(5), 'store')
        answer = await self.one.exchange._answer(None, TableAsk(5))
        self.assertEqual(answer.rows, ())
        answer = await self.one.exchange._answer(None, TableAsk(4))
        self.assertEqual(len(answer.rows), 1)

    async def test_a_version_that_is_known_to_be_missing(self):
        """Symptom: callers of a new route are told that there is none.

        Sequence: the version that has it is in force at others already.
        Cause: a router that knew so took its own for the last word.
        """
        self.two.view.offer(_version(5), 'store')
        self.assertFalse(self.two.view.is_behind)
        self.one.net.tell('two', Heartbeat(6))
        await self.fabric.settle()
        self.assertTrue(self.two.view.is_behind)
        self.two.view.offer(_version(6), 'store')
        self.assertFalse(self.two.view.is_behind)
        await self.catch_up(self.two)

    async def test_a_document_that_can_not_be_read(self):
        broken = attrs.evolve(CATALOGUE, version=9, write=lambda: 'rubbish')
        self.one.view.offer(broken, 'store')
        await self.beat(self.one, self.two)
        await asyncio.sleep(0)
        self.assertEqual(self.two.view.version, 0)


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Two routers over a real socket, their clock moved by hand."""

    async def asyncSetUp(self):
        self.rig = Rig()
        self.addAsyncCleanup(self.rig.stop)
        self.asked = []

    async def answer_late(self, _member, message):
        self.asked.append(message)
        await self.rig.clock.sleep(_LATE_GAPS * self.two.cfg.peers.gap_timeout)
        return TableRows(0, 6, (serialization.configuration_row(_version(6)),))

    async def test_a_configuration_that_is_long_on_its_way(self):
        """Guards against asking anew for what is on its way already."""
        one = await self.rig.start('one')
        seed = f'peers.seeds={one.me.address}'
        self.two = await self.rig.start('two', seed)
        router = Router(self.two, self.rig.clock)
        one.on(TableAsk, self.answer_late)
        one.greeter.table_version = lambda: 6
        await self.rig.until(lambda: router.view.version == 6)
        self.assertEqual(len(self.asked), 1)
