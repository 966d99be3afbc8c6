"""Tests of the retry times of refused callers."""

import random
import unittest

import attrs

from balsamreach.relay import faults
from balsamreach.relay.retry_jitter import RetryJitter


class RetryJitterTest(unittest.TestCase):
    """Callers that are refused together retry at different times."""

    def setUp(self):
        self.jitter = RetryJitter(random.Random(7))

    def test_refused_burst(self):
        """A refused burst doesn't retry as one burst.

        If all its callers got the same retry time, they would return together
        and be refused again.
        """
        fault = faults.TARGETS_FULL.because('no room')
        waits = [self.jitter.add_jitter(fault).retry_after for _ in range(300)]
        bins = dict.fromkeys(range(10), 0)
        for wait in waits:
            least = fault.retry_after
            self.assertTrue(least <= wait <= 2 * least)
            bins[min(9, int((wait / least - 1) * 10))] += 1
        self.assertLess(max(bins.values()), 60)

    def test_only_retry_time_changes(self):
        fault = faults.BUDGET_UNREACHABLE.because('away')
        spread = self.jitter.add_jitter(fault)
        same = attrs.evolve(spread, retry_after=fault.retry_after)
        self.assertEqual(same.reason, 'away')
        self.assertEqual(spread, fault)
        self.assertTrue(spread.not_run)

    def test_long_waits_grow_little(self):
        fault = faults.TARGETS_BACK_OFF.with_retry_after(20, 'all')
        waits = [self.jitter.add_jitter(fault).retry_after for _ in range(300)]
        self.assertGreaterEqual(min(waits), 20)
        self.assertLessEqual(max(waits), 21)
        self.assertGreater(max(waits) - min(waits), 0.9)

    def test_no_retry_time(self):
        fault = faults.NO_ROUTE.because('none')
        self.assertEqual(self.jitter.add_jitter(fault).retry_after, 0)
