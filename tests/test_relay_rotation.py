"""Tests of when a router leaves the rotation of the load balancer."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.relay.host_link import (
    CHUNK_OVERHEAD_BYTES,
    HEADER_BYTES,
    HostLink,
)
from balsamreach.relay.rotation import FULL_FOR_S, MIN_OUT_S, Rotation
from tests.support import FakeClock

_MBIT = 10
_BYTES_A_SECOND = 1_250_000
_HOSTS = 17
_SECONDS = 20
_TICK_S = 0.1
#: Bytes of the body, events of the response, and weight of each kind.
_KINDS = (
    (12_000, 35, 57),
    (830, 26, 137),
    (2400, 2, 106),
    (600, 0, 129),
)
_EVENT_BYTES = 100
_EVENTS_LAST_S = 1


@attrs.define
class Wire:
    """A real link, with its backlog and the longest wait so far."""

    backlog: float = 0
    longest_s: float = 0

    def advance(self):
        """Transfer the bytes that a tick allows."""
        self.backlog = max(0, self.backlog - _TICK_S * _BYTES_A_SECOND)
        wait_s = self.backlog / _BYTES_A_SECOND
        self.longest_s = max(self.longest_s, wait_s)


@attrs.define(eq=False)
class Host:
    """A host with a router, and the load balancer's view of it."""

    number: int
    clock: FakeClock
    wire: Wire = attrs.field(factory=Wire)
    failed_checks: int = 0
    pending: float = 0
    link: HostLink = attrs.field(init=False)
    rotation: Rotation = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the router's parts."""
        self.link = HostLink(_MBIT, self.clock)
        self.rotation = Rotation(self.link, self.clock)

    def send(self, size):
        """Send bytes over the link."""
        self.link.add(size)
        self.wire.backlog += size

    def relay(self, body, events):
        """Relay a request; its response follows within about a second."""
        self.send(2 * (body + HEADER_BYTES))
        size = 2 * events * (_EVENT_BYTES + CHUNK_OVERHEAD_BYTES)
        self.pending += size

    def tick(self):
        """Advance by a tenth of a second."""
        due = self.pending * _TICK_S / _EVENTS_LAST_S
        self.pending -= due
        self.send(due)
        self.wire.advance()


def _choose(hosts):
    """Return the host that the load balancer sends the team's callers to."""
    in_rotation = [host for host in hosts if host.failed_checks < 2] or hosts
    return max(
        in_rotation,
        key=lambda host: rendezvous_weight('team', str(host.number)),
    )


def _simulate(seed, rate, *, rotates):
    """Simulate one team's callers; return the longest wait for a link."""
    rng, clock = random.Random(seed), FakeClock()
    hosts = [Host(number, clock) for number in range(_HOSTS)]
    for tick in range(round(_SECONDS / _TICK_S)):
        clock.advance(_TICK_S)
        for host in hosts:
            host.tick()
            is_out = host.rotation.is_out() and rotates
            if tick % round(1 / _TICK_S) == 0:
                host.failed_checks = host.failed_checks + 1 if is_out else 0
        chosen = _choose(hosts)
        for _ in range(round(rng.gauss(rate, rate**0.5) * _TICK_S)):
            kinds = [kind[-1] for kind in _KINDS]
            body, events, _ = rng.choices(_KINDS, kinds)[0]
            chosen.relay(body, events)
    return max(one.wire.longest_s for one in hosts)


class RotationTest(unittest.TestCase):
    """A host with a full link is out of rotation for a while."""

    def setUp(self):
        self.clock = FakeClock()
        self.link = HostLink(_MBIT, self.clock)
        self.rotation = Rotation(self.link, self.clock)

    def check(self, seconds):
        """Check ten times a second; return the last result."""
        for _ in range(round(seconds / _TICK_S)):
            self.clock.advance(_TICK_S)
            is_out = self.rotation.is_out()
        return is_out

    def test_out_while_full_and_some_time_after(self):
        self.assertFalse(self.check(1))
        self.link.add(700_000)
        self.assertTrue(self.check(2 * FULL_FOR_S))
        self.assertTrue(self.check(MIN_OUT_S - 1))
        self.assertFalse(self.check(2))

    def test_one_long_body(self):
        """A host stays in rotation if its link is full only for a moment.

        Single requests of 72 kB arrive at small hosts. If each one took its
        host out, an eighth of the fleet would be out on a quiet day.
        """
        self.link.add(2 * 72_000)
        for _ in range(10):
            self.assertFalse(self.check(_TICK_S))

    def test_full_again_while_out(self):
        self.link.add(700_000)
        self.assertTrue(self.check(2 * FULL_FOR_S))
        self.clock.advance(MIN_OUT_S - 1)
        self.link.add(700_000)
        self.assertTrue(self.check(2 * FULL_FOR_S))
        self.assertTrue(self.check(MIN_OUT_S / 2))

    @parameterized.expand([(seed,) for seed in range(10)])
    def test_large_team_is_spread_over_hosts(self, seed):
        """A large team's requests don't all stay at one small host.

        The load balancer hashes callers, and each request crosses the host's
        link twice. Without rotation, 100 and then 180 requests a second
        arrive there; refused ones retry at the same host, which in the end
        answers 4 of 217 requests a second, while its connections to targets
        and calls to other routers time out.
        """
        without = _simulate(seed, 180, rotates=False)
        rotating = _simulate(seed, 180, rotates=True)
        self.assertGreater(without, 5)
        self.assertLess(rotating, without / 3)


if __name__ == '__main__':
    unittest.main()
