"""Tests of the pauses between tries to reach a router."""

import unittest

from balsamreach.peers.backoff import Backoff
from tests.support import FakeClock


class BackoffTest(unittest.TestCase):
    """Only the way between two routers is broken, for long.

    Symptom: deaths and revisions grow by the second in the whole fleet.
    Sequence: one can't reach the other and calls it dead, the other refutes
    it, the first tries again at once. Cause: no pause between tries.
    """

    def setUp(self):
        self.clock = FakeClock()
        self.backoff = Backoff(self.clock)

    def pause(self):
        """Let a try fail and return how long the next one has to wait."""
        self.backoff.failed('two')
        waited = 0
        while self.backoff.waits('two'):
            self.clock.advance(1)
            waited += 1
        return waited

    def test_pauses_double_up_to_a_bound(self):
        pauses = [self.pause() for _ in range(8)]
        self.assertEqual(pauses, [5, 10, 20, 40, 80, 160, 300, 300])

    def test_success_ends_the_pause(self):
        self.backoff.failed('two')
        self.assertFalse(self.backoff.waits('three'))
        self.backoff.succeeded('two')
        self.assertFalse(self.backoff.waits('two'))
        self.assertEqual(self.pause(), 5)

    def test_old_failures_are_forgotten(self):
        self.pause()
        self.clock.advance(1000)
        self.backoff.forget()
        self.assertEqual(self.pause(), 5)
