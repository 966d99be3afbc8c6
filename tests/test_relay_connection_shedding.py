"""Tests of refusing connections unread, on a replay of their load."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.relay.connection_shedding import TICK_S, ConnectionShedder
from balsamreach.telemetry.metrics import Metrics
from tests.support import FakeClock

#: Seconds of processor time that a request takes, and a connection that is
#: closed unread. In between the event loop does nothing else.
_REQUEST_S = 0.006
_CLOSING_S = 0.0002
_USUAL = 10
_USUAL_S = 31
_CROWD_S = 8
#: Seconds within which a request counts as served.
_SERVED_S = 0.5
#: The promise: of the requests that are read, the share that is served,
#: relative to the time before.
_MIN_SERVED = 0.75


@attrs.define(eq=False)
class _Router:
    """A router whose event loop takes all waiting connections in one go."""

    clock: FakeClock = attrs.field(factory=FakeClock)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    read: int = 0
    served: int = 0
    shed: int = 0
    shedder: ConnectionShedder = attrs.field(init=False)
    _waiting: list[float] = attrs.field(factory=list)
    _next_at: float = 0

    def __attrs_post_init__(self):
        self.shedder = ConnectionShedder(self.clock, Metrics())

    def run(self, seconds, rate, request_s=_REQUEST_S):
        """Receive connections at random times; return the last tick's end."""
        ends_at = self.clock.now() + seconds
        self.read = 0
        self.served = 0
        self.shed = 0
        self._next_at = self.clock.now()
        while self.clock.now() < ends_at:
            # Whatever comes while the loop is busy waits for its next turn.
            tick_at = self.clock.now() + TICK_S
            while self.clock.now() < tick_at:
                self._take_arrivals(rate)
                if not self._waiting:
                    self.clock.advance(0.01)
                self._serve_waiting(request_s)
            self.shedder.record_tick()

    def _take_arrivals(self, rate):
        while self._next_at <= self.clock.now():
            self._waiting.append(self._next_at)
            self._next_at += self.rng.expovariate(rate)

    def _serve_waiting(self, request_s):
        batch = tuple(self._waiting)
        self._waiting.clear()
        for arrived in batch:
            if not self.shedder.admits():
                self.shed += 1
                self.clock.advance(_CLOSING_S)
                continue
            self.clock.advance(request_s)
            self.read += 1
            self.served += self.clock.now() - arrived <= _SERVED_S


class SheddingTest(unittest.TestCase):
    """A router whose host bears some 160 requests a second."""

    def setUp(self):
        self.router = _Router()
        self.router.run(_USUAL_S, _USUAL)

    @parameterized.expand([(300,), (600,), (1200,)])
    def test_crowd(self, rate):
        """Guards against requests that wait for all that were read before."""
        self.assertEqual(self.router.shed, 0)
        self.router.run(3, rate)
        self.router.run(_CROWD_S, rate)
        self.assertGreaterEqual(
            self.router.served, _MIN_SERVED * self.router.read
        )
        # It reads at least half of what it could.
        self.assertGreater(
            self.router.read, _CROWD_S / _REQUEST_S / 2 * (1 - rate / 5000)
        )

    def test_end_of_the_crowd(self):
        """Guards against refusing connections longer than needed."""
        self.router.run(_CROWD_S, 600)
        self.router.run(1.2, _USUAL)
        self.assertFalse(self.router.shedder.is_shedding)
        self.router.run(5, _USUAL)
        self.assertEqual(self.router.shed, 0)

    @parameterized.expand(
        [
            ('usual_rate', _USUAL, _REQUEST_S),
            ('crowd_on_a_fast_host', 400, 0.0005),
            ('slow_host', _USUAL, 0.15),
        ]
    )
    def test_no_reason(self, _name, rate, request_s):
        """Guards against refusing without a crowd, or without need."""
        self.router.run(10, rate, request_s)
        self.assertEqual(self.router.shed, 0)

    @parameterized.expand([(0,), (20,)])
    def test_unknown_usual_rate(self, seconds):
        """Guards against taking the first connections for a crowd."""
        router = _Router()
        router.run(seconds, _USUAL)
        router.run(5, 300)
        self.assertEqual(router.shed, 0)

    def test_frozen_process(self):
        """Guards against taking a pause of the process for a crowd."""
        self.router.clock.advance(3)
        self.router.shedder.record_tick()
        self.router.run(5, _USUAL)
        self.assertEqual(self.router.shed, 0)

    def test_load_that_stays(self):
        """Guards against refusing forever what has become the usual load."""
        self.router.run(100, 300, 0.002)
        self.router.run(5, 300, 0.002)
        self.assertEqual(self.router.shed, 0)
