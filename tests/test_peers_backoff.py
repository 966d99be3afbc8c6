"""Tests of the backoff between attempts to connect."""

import unittest

from balsamreach.peers.backoff import Backoff
from tests.support import FakeClock


class BackoffTest(unittest.TestCase):
    """Only the path between two routers is broken, for a long time.

    Guards against deaths and revisions that grow by the second in the whole
    fleet: one router can't reach the other and declares it dead, the other
    refutes it, and without a pause the first tries again at once.
    """

    def setUp(self):
        self.clock = FakeClock()
        self.backoff = Backoff(self.clock)

    def fail_and_wait(self):
        """Record a failure and return the seconds until the next attempt."""
        self.backoff.record_failure('two')
        waited = 0
        while self.backoff.must_wait('two'):
            self.clock.advance(1)
            waited += 1
        return waited

    def test_pauses_double_up_to_the_maximum(self):
        pauses = [self.fail_and_wait() for _ in range(8)]
        self.assertEqual(pauses, [5, 10, 20, 40, 80, 160, 300, 300])

    def test_success_ends_the_pause(self):
        self.backoff.record_failure('two')
        self.assertFalse(self.backoff.must_wait('three'))
        self.backoff.record_success('two')
        self.assertFalse(self.backoff.must_wait('two'))
        self.assertEqual(self.fail_and_wait(), 5)

    def test_old_failures_are_pruned(self):
        self.fail_and_wait()
        self.clock.advance(1000)
        self.backoff.prune()
        self.assertEqual(self.fail_and_wait(), 5)
