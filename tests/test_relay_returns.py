"""Tests of when refused callers come back."""

import random
import unittest

import attrs

from balsamreach.relay import faults
from balsamreach.relay.returns import Returns


class ReturnsTest(unittest.TestCase):
    """Refused together, callers come back one by one."""

    def setUp(self):
        self.returns = Returns(random.Random(7))

    def test_a_clump_that_was_refused(self):
        """Symptom: a second wave of refusals after the first.

        Sequence: a burst is refused; all its callers come back at once.
        Cause: all were told the same time.
        """
        fault = faults.TARGETS_FULL.because('no room')
        waits = [self.returns.spread(fault).retry_after for _ in range(300)]
        slots = dict.fromkeys(range(10), 0)
        for wait in waits:
            least = fault.retry_after
            self.assertTrue(least <= wait <= 2 * least)
            slots[min(9, int((wait / least - 1) * 10))] += 1
        self.assertLess(max(slots.values()), 60)

    def test_the_rest_of_the_fault_stays(self):
        fault = faults.BUDGET_UNREACHABLE.because('away')
        spread = self.returns.spread(fault)
        same = attrs.evolve(spread, retry_after=fault.retry_after)
        self.assertEqual(same.reason, 'away')
        self.assertEqual(spread, fault)
        self.assertTrue(spread.not_run)

    def test_long_waits_grow_by_little(self):
        fault = faults.TARGETS_BACK_OFF.after(20, 'all')
        waits = [self.returns.spread(fault).retry_after for _ in range(300)]
        self.assertGreaterEqual(min(waits), 20)
        self.assertLessEqual(max(waits), 21)
        self.assertGreater(max(waits) - min(waits), 0.9)

    def test_none_where_nobody_should_come_back(self):
        fault = faults.NO_ROUTE.because('none')
        self.assertEqual(self.returns.spread(fault).retry_after, 0)
