"""Tests of admission to a host's link, and of timeouts on a slow link."""

import asyncio
import heapq
import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget.home_client import HomeClient
from balsamreach.budget.waiters import TokensNeed
from balsamreach.dispatch.upstream import NOT_SENT, ConnectFailure
from balsamreach.relay.faults import HOST_OVERLOADED
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.link_admission import check_link, max_wait
from balsamreach.relay.link_delay import LinkDelay
from balsamreach.relay.request_log import LINK_REJECTIONS
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.tokens import TokensAsk, TokensGrant
from tests import relay_samples
from tests.fake_net import FakeNet
from tests.relay_harness import RelayHarness
from tests.relay_samples import DESK, PLAIN, STREAM
from tests.relay_scripts import answer, unreachable
from tests.support import FakeClock

_MBIT = 10
_BYTES_PER_MS = 1062.5
_TIMED_OUT = unreachable(
    NOT_SENT.because_of(ConnectFailure.TIMED_OUT, 'timed out')
)
_REFUSED = unreachable(NOT_SENT)


def _call(route, priority, size):
    sample = relay_samples.call(route)
    return attrs.evolve(sample, priority=priority, body=b'a' * size)


class CheckLinkTest(unittest.TestCase):
    """Requests are rejected if they would wait too long for the link."""

    @parameterized.expand(
        (
            ('idle', STREAM, 9, 3300, 0, False),
            ('urgent_in_time', STREAM, 0, 3300, 990, False),
            ('urgent_late', STREAM, 0, 3300, 1000, True),
            ('negative_priority', STREAM, -1, 3300, 990, False),
            ('second_in_time', STREAM, 1, 3300, 790, False),
            ('second_late', STREAM, 1, 3300, 800, True),
            ('low_in_time', STREAM, 2, 3300, 590, False),
            ('low_late', STREAM, 2, 3300, 600, True),
            ('lowest_late', STREAM, 9, 3300, 600, True),
            ('short_plain_call', PLAIN, 9, 2000, 990, False),
            ('short_plain_call_late', PLAIN, 9, 2000, 1000, True),
            ('longer_plain_call', PLAIN, 9, 2001, 600, True),
            ('short_prompt', STREAM, 9, 2000, 600, True),
            ('large_body_on_idle_link', STREAM, 9, 600_000, 299, False),
            ('large_body_on_busy_link', STREAM, 9, 600_000, 301, True),
        )
    )
    def test_limit(self, _, route, priority, size, ahead_ms, rejected):
        link = HostLink(_MBIT, FakeClock())
        call = _call(route, priority, size)
        link.add(round(ahead_ms * _BYTES_PER_MS))
        link.add(call.size)
        fault = check_link(call, link)
        self.assertEqual(fault, HOST_OVERLOADED if rejected else None)

    def test_unknown_link(self):
        link = HostLink(0, FakeClock())
        link.add(10**9)
        self.assertIsNone(check_link(_call(STREAM, 9, 3300), link))


async def _grant(_member, ask):
    # More passes of the event loop than a wait of 0 s takes.
    for _ in range(20):
        await asyncio.sleep(0)
    return TokensGrant(granted=True)


@attrs.define(eq=False)
class _Replay:
    """A team's requests through one host, in virtual time.

    A response crosses the link 50 ms after its request was admitted.
    """

    admits: bool
    clock: FakeClock = attrs.field(factory=FakeClock)
    link: HostLink = attrs.field(init=False)
    waits: dict[int, list[float]] = attrs.field(factory=dict)
    rejected: int = 0
    _due: list[float] = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.link = HostLink(_MBIT, self.clock)

    def run(self, seed, seconds):
        """Send 60 to 200 requests a second; return the final backlog."""
        rng = random.Random(seed)
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(rng.expovariate(rng.uniform(60, 200)))
            while self._due and self._due[0] <= self.clock.now():
                heapq.heappop(self._due)
                self.link.add(2 * 3300)
            self._receive(_call(STREAM, rng.choice((0, 1, 2, 2, 5)), 3300))
        return self.link.backlog_seconds()

    def _receive(self, call):
        self.link.add(call.size)
        if self.admits and check_link(call, self.link):
            self.rejected += 1
            return
        waits = self.waits.setdefault(call.priority, [])
        waits.append(self.link.backlog_seconds())
        self.link.add(call.size)
        heapq.heappush(self._due, self.clock.now() + 0.05)


class ReplayTest(unittest.TestCase):
    """A large team's requests through a small host are bounded."""

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_urgent_requests_meet_their_limit(self, seed):
        """Guards against a link on which no request is answered in time.

        All requests of a team arrive through a host with 10 Mbit/s, which
        carries about half of them. Without admission control the backlog
        grows until all calls time out.
        """
        without, short = _Replay(admits=False), _Replay(admits=False)
        self.assertGreater(without.run(seed, 20), 1.8 * short.run(seed, 10))
        self.assertGreater(without.link.backlog_seconds(), 5)
        replay = _Replay(admits=True)
        self.assertLess(replay.run(seed, 20), 1.1)
        for priority, waits in replay.waits.items():
            limit = max_wait(_call(STREAM, priority, 3300))
            self.assertLessEqual(max(waits), limit)
        urgent, low = len(replay.waits[0]), len(replay.waits[5])
        self.assertGreater(urgent, 20 * 100 / 5)
        self.assertGreater(urgent, low)


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
        harness.parts = attrs.evolve(
            harness.parts, attempt_parts=attempts, link_control=enabled
        )

    @parameterized.expand((('on', True, 503, 0), ('off', False, 200, 1)))
    def test_rejection(self, _, enabled, status, sent):
        self.control(enabled=enabled)
        self.harness.link.add(round(1100 * _BYTES_PER_MS))
        response = self.harness.run(
            relay_samples.call(PLAIN), answer(200, b'done')
        )
        self.assertEqual(response.status, status)
        self.assertEqual(len(self.harness.exchange.sent), sent)
        counted = self.harness.metrics.counted(LINK_REJECTIONS, priority=1)
        self.assertEqual(counted, 1 - sent)
        if not sent:
            self.assertIn(b'1101 ms behind', response.body)
            self.assertGreaterEqual(float(response.headers['retry-after']), 2)

    @parameterized.expand(
        (
            ('delayed', True, 150, _TIMED_OUT, 0.5, False),
            ('long_delay', True, 240, _TIMED_OUT, 0.68, False),
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
        (('short', 90, 0), ('medium', 200, 0.4), ('long', 3000, 1))
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
