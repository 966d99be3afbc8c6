"""Tests of timeouts on a slow link."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget.home_client import HomeClient
from balsamreach.budget.waiters import TokensNeed
from balsamreach.dispatch.upstream import NOT_SENT, ConnectFailure
from balsamreach.relay.link_delay import LinkDelay
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.tokens import TokensAsk, TokensGrant
from tests import relay_samples
from tests.fake_net import FakeNet
from tests.relay_harness import RelayHarness
from tests.relay_samples import DESK, PLAIN
from tests.relay_scripts import unreachable
from tests.support import FakeClock

_MBIT = 10
_BYTES_PER_MS = 1062.5
_TIMED_OUT = unreachable(
    NOT_SENT.because_of(ConnectFailure.TIMED_OUT, 'timed out')
)
_REFUSED = unreachable(NOT_SENT)


async def _grant(_member, ask):
    # More passes of the event loop than a wait of 0 s takes.
    for _ in range(20):
        await asyncio.sleep(0)
    return TokensGrant(granted=True)


class RelayedTest(unittest.TestCase):
    """What a full link changes for requests, targets and homes."""

    def setUp(self):
        self.harness = RelayHarness()
        self.harness.link.mbit = _MBIT

    def control(self, *, enabled=True):
        """Set the link control of the router."""
        harness = self.harness
        delay = LinkDelay(harness.link, enabled=enabled)
        attempts = attrs.evolve(
            harness.parts.attempt_parts,
            connect_timeout=lambda: 0.2 + delay.extra_seconds(),
        )
        attempts.classifier.link_delayed = delay.is_high
        harness.parts = attrs.evolve(harness.parts, attempt_parts=attempts)

    @parameterized.expand(
        (
            ('delayed', True, 150, _TIMED_OUT, 0.5, False),
            ('long_delay', True, 240, _TIMED_OUT, 0.5, False),
            ('refused', True, 150, _REFUSED, 0.5, True),
            ('short_delay', True, 50, _TIMED_OUT, 0.2, True),
            ('off', False, 150, _TIMED_OUT, 0.2, True),
        )
    )
    def test_connection(self, _, enabled, ahead_ms, script, timeout, fails):
        """Guards against counting targets as failed for this host's link.

        The link is saturated, so that connections to all targets time out.
        """
        self.control(enabled=enabled)
        self.harness.link.add(round(ahead_ms * _BYTES_PER_MS))
        self.harness.run(relay_samples.call(PLAIN), script, script)
        sent = self.harness.exchange.sent[0]
        self.assertAlmostEqual(sent.connect_timeout, timeout, delta=0.02)
        now = self.harness.clock.now()
        for place in self.harness.chooser.places.of_service(DESK):
            allowed = place.breaker.allows_request(now)
            self.assertEqual(allowed, not fails)

    @parameterized.expand(
        (('short', 90, 0), ('medium', 120, 0.24), ('long', 3000, 0.3))
    )
    def test_extension(self, _, ahead_ms, expected):
        self.harness.link.add(round(ahead_ms * _BYTES_PER_MS))
        delay = LinkDelay(self.harness.link, enabled=True)
        self.assertAlmostEqual(delay.extra_seconds(), expected, places=3)

    @parameterized.expand((('extended', 5, True), ('not_extended', 0, False)))
    def test_home_answers_late(self, _, extra, used):
        """Guards against ignoring homes whose answers the link delays.

        Requests would then draw tokens themselves over the same link.
        """
        fabric = FakeNet()
        net, home = fabric.join('router'), fabric.join('home')
        home.on(TokensAsk, _grant)
        client = HomeClient(net, FakeClock(), Metrics(), 0, lambda: extra)
        reservation = asyncio.run(
            client.reserve(home.me, TokensNeed('team-a', 5), client.timeout)
        )
        self.assertEqual(reservation is not None, used)


if __name__ == '__main__':
    unittest.main()
