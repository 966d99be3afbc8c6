"""Tests of the limits that a relay router applies to its clients."""

import random
import unittest
from types import SimpleNamespace

from balsamreach.catalogue.entries import CallerLimits
from balsamreach.config.reader import read_settings
from balsamreach.daemon.relay_guards import make_relay_guards
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.gateway.relay_server import RelayServer
from balsamreach.platform.requests import PlatformCodec
from balsamreach.telemetry.metrics import Metrics
from tests.support import FakeClock

_LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=1000, header_time=3, idle_time=10
)


class RelayLimitsTest(unittest.TestCase):
    """Limits before and after the configuration is known."""

    def setUp(self):
        self.view = SimpleNamespace(current=None)
        parts = SimpleNamespace(
            cfg=read_settings(None, ('host.zone=zone-a',)),
            clock=FakeClock(),
            metrics=Metrics(),
            run=SimpleNamespace(
                codec=PlatformCodec(random.Random(1)), retry_jitter=None
            ),
            view=self.view,
            exchange=RelayCurl(1),
            forwarding=SimpleNamespace(exchange=RelayCurl(1)),
        )
        self.parts = parts
        self.guards = make_relay_guards(parts)
        self.app = RelayServer(None, parts.clock)

    def limits(self, guard):
        """Return the limits that a guard applies."""
        return guard.parts.meter.limits()

    def test_configuration_is_in_force(self):
        """Guards against limits of the operator that nobody applies."""
        guard = self.guards.guard_callers(self.app)
        self.view.current = SimpleNamespace(limits=_LIMITS)
        limits = self.limits(guard)
        found = CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_time=limits.header_time,
            idle_time=limits.idle_time,
        )
        self.assertEqual(found, _LIMITS)

    def test_nothing_is_too_large_without_a_configuration(self):
        """Guards against a final refusal of what may be allowed."""
        guard = self.guards.guard_callers(self.app)
        self.assertGreater(self.limits(guard).body_bytes, 1 << 40)

    def test_listeners_share_the_bounds(self):
        """Guards against several bounds that exceed the memory together."""
        guards = (
            self.guards.guard_callers(self.app),
            self.guards.guard_forwarding(self.app),
            self.guards.guard_probes(self.app),
        )
        budgets = {id(guard.parts.meter.budget) for guard in guards}
        turns = {id(guard.parts.turns) for guard in guards}
        self.assertEqual((len(budgets), len(turns)), (1, 1))

    def test_answers_share_the_memory(self):
        """Guards against answers that take the memory of clients."""
        exchanges = (self.parts.exchange, self.parts.forwarding.exchange)
        memories = {id(one.handles.memory) for one in exchanges}
        memory = exchanges[0].handles.memory
        self.assertEqual(len(memories), 1)
        self.assertEqual(memory.capacity, self.guards.shares.answers)
        self.assertEqual(memory.waiting(), 0)
        self.guards.buffers.used = self.guards.shares.responses + 5
        self.assertEqual(memory.waiting(), 5)

    def test_forwarded_body_is_counted_twice(self):
        guard = self.guards.guard_forwarding(self.app)
        self.view.current = SimpleNamespace(limits=_LIMITS)
        self.assertEqual(guard.parts.meter.copies, 2)
        self.assertGreater(self.limits(guard).body_bytes, 1000)
