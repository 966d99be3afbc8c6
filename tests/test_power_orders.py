"""Tests of orders to load models, spaced by the weight store."""

import asyncio
import unittest

import attrs

from balsamreach.config.reader import read_settings
from balsamreach.power.orders import Orders
from balsamreach.power.views import HostView
from balsamreach.services.base import WeightStore
from balsamreach.services.faults import UNREACHABLE
from balsamreach.targets.registry import Target
from balsamreach.telemetry.metrics import Metrics
from tests.fake_targets import FakeHost, FakeTargets, VirtualClock, settle
from tests.routing_node import make_rows

_WAIT = 20
_ORDERS = 'balsamreach_power_orders_total'


@attrs.define
class _FakeWeightStore(WeightStore):
    """Grants load slots one after the other."""

    clock: VirtualClock
    away: bool = False
    free_at: float = 0
    reserved: list[str] = attrs.field(factory=list)

    async def reserve(self, model):
        """Return the wait until the next free slot."""
        self.reserved.append(model)
        if self.away:
            return UNREACHABLE
        begin = max(self.free_at, self.clock.now())
        self.free_at = begin + _WAIT
        return begin - self.clock.now()


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts started at the same time, without loaded models."""

    async def asyncSetUp(self):
        self.clock = VirtualClock()
        rows = make_rows(2)
        self.hosts = [FakeHost(row.address, models=()) for row in rows]
        client = FakeTargets(
            self.clock,
            {host.address: host for host in self.hosts},
        )
        self.store = _FakeWeightStore(self.clock)
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

    async def test_loads_are_spaced_by_the_weight_store(self):
        """Guards against hosts that all read weights at once.

        After a step in demand many hosts start and read from one store, and
        each would take many times as long to load if it were ordered to without
        a slot, or before the slot has come.
        """
        loads = [
            asyncio.create_task(self.orders.load_models(view, fence=1))
            for view in self.views
        ]
        await self.clock.advance(0)
        self.assertEqual(self.loaded(), 1)
        await self.clock.advance(_WAIT - 1)
        self.assertEqual(self.loaded(), 1)
        await self.clock.advance(2)
        await asyncio.gather(*loads)
        self.assertEqual(self.loaded(), 2)

    async def test_waiting_load_reserves_only_once(self):
        """Guards against a host that reserves further slots while it waits.

        A decider's next step sees the host still without its model; if each
        step reserved another slot, loads would be delayed more and more.
        """
        self.store.free_at = self.clock.now() + _WAIT
        first = asyncio.create_task(
            self.orders.load_models(self.views[0], fence=1)
        )
        await settle()
        again = asyncio.create_task(
            self.orders.load_models(self.views[0], fence=2)
        )
        await settle()
        self.assertEqual(self.store.reserved, ['model-a'])
        await self.clock.advance(_WAIT + 1)
        await asyncio.gather(first, again)

    async def test_unavailable_weight_store_prevents_loads(self):
        self.store.away = True
        await self.orders.load_models(self.views[0], fence=1)
        self.assertEqual(self.loaded(), 0)
        counted = self.metrics.counted(
            _ORDERS,
            kind='reserve',
            outcome=UNREACHABLE.code,
        )
        self.assertEqual(counted, 1)
        self.store.away = False
        load = asyncio.create_task(
            self.orders.load_models(self.views[0], fence=2)
        )
        await self.clock.advance(0)
        await load
        self.assertEqual(self.loaded(), 1)
