"""Tests of orders to load weights, in the weight store's turn."""

import asyncio
import unittest

import attrs

from balsamreach.config.reader import read_settings
from balsamreach.power.orders import Orders
from balsamreach.power.scene import HostView
from balsamreach.services.base import WeightStore
from balsamreach.services.faults import UNREACHABLE
from balsamreach.targets.registry import Target
from balsamreach.telemetry.metrics import Metrics
from tests.fake_targets import FakeHost, FakeTargets, VirtualClock, settle
from tests.routing_node import make_rows

_WAIT = 20
_ORDERS = 'balsamreach_power_orders_total'


@attrs.define
class _Store(WeightStore):
    """Gives load slots one after the other."""

    clock: VirtualClock
    away: bool = False
    free_at: float = 0
    asked: list[str] = attrs.field(factory=list)

    async def reserve(self, model):
        """Return the wait until the next free slot."""
        self.asked.append(model)
        if self.away:
            return UNREACHABLE
        begin = max(self.free_at, self.clock.now())
        self.free_at = begin + _WAIT
        return begin - self.clock.now()


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts that were started at once, each with nothing loaded."""

    async def asyncSetUp(self):
        self.clock = VirtualClock()
        rows = make_rows(2)
        self.hosts = [FakeHost(row.address, models=()) for row in rows]
        client = FakeTargets(
            self.clock,
            {host.address: host for host in self.hosts},
        )
        self.store = _Store(self.clock)
        self.metrics = Metrics()
        self.orders = Orders(
            read_settings(None, ('host.zone=zone-a',)).power,
            client,
            None,
            self.store,
            self.clock,
            self.metrics,
        )
        self.views = [
            HostView(Target(row), report=await client.load(row.address))
            for row in rows
        ]

    def loaded(self):
        """Return how many hosts have loaded their model."""
        return sum(bool(host.models) for host in self.hosts)

    async def test_loads_are_spaced_to_the_rate_of_the_store(self):
        """Hosts that start together do not read weights all at once.

        Symptom: each of many new hosts takes many times as long to load.
        Sequence: demand steps up, hosts start, all read from one store.
        Cause: an order to load without a turn, or before it has come.
        """
        loads = [
            asyncio.create_task(self.orders.load(view, fence=1))
            for view in self.views
        ]
        await self.clock.advance(0)
        self.assertEqual(self.loaded(), 1)
        await self.clock.advance(_WAIT - 1)
        self.assertEqual(self.loaded(), 1)
        await self.clock.advance(2)
        await asyncio.gather(*loads)
        self.assertEqual(self.loaded(), 2)

    async def test_steps_meanwhile_take_no_second_turn(self):
        """A host that waits for its turn does not take others' as well.

        Symptom: loads come ever later, the later the more steps pass.
        Sequence: a decider's next step sees the host without its model.
        Cause: each step asks the store for another slot.
        """
        self.store.free_at = self.clock.now() + _WAIT
        first = asyncio.create_task(self.orders.load(self.views[0], fence=1))
        await settle()
        again = asyncio.create_task(self.orders.load(self.views[0], fence=2))
        await settle()
        self.assertEqual(self.store.asked, ['model-a'])
        await self.clock.advance(_WAIT + 1)
        await asyncio.gather(first, again)

    async def test_store_that_is_away_gets_no_load_past_it(self):
        self.store.away = True
        await self.orders.load(self.views[0], fence=1)
        self.assertEqual(self.loaded(), 0)
        counted = self.metrics.counted(
            _ORDERS,
            kind='reserve',
            outcome=UNREACHABLE.code,
        )
        self.assertEqual(counted, 1)
        self.store.away = False
        load = asyncio.create_task(self.orders.load(self.views[0], fence=2))
        await self.clock.advance(0)
        await load
        self.assertEqual(self.loaded(), 1)
