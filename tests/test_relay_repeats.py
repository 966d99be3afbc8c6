"""Tests of the bound on retries."""

import unittest

from balsamreach.relay.retry_budget import RelayRetryBudget
from tests.support import FakeClock

_WINDOW = 10


class RepeatsTest(unittest.TestCase):
    """Retries stay within a share of the requests in each window."""

    def setUp(self):
        self.clock = FakeClock()
        self.routers = 0
        self.retry_budget = RelayRetryBudget(
            0.2,
            32,
            _WINDOW,
            self.clock,
            lambda: self.routers,
        )

    def count_allowed(self, attempts):
        return sum(
            self.retry_budget.allow_retry('engines') for _ in range(attempts)
        )

    def test_share_and_own_part_of_slack(self):
        for _ in range(100):
            self.retry_budget.record_first('engines')
        # Two of the slack of 32, as at least sixteen routers share it.
        self.assertEqual(self.count_allowed(50), 22)

    def test_unused_share_does_not_accumulate(self):
        """A service gets no more retries than its users allow.

        After an hour without a failure, a third of the targets crash at once.
        If the unused share of earlier windows accumulated, it would allow a
        burst of retries.
        """
        for _ in range(3600):
            self.retry_budget.record_first('engines')
            self.clock.advance(1)
        self.assertLessEqual(self.count_allowed(500), 2 + 0.2 * (_WINDOW + 1))

    def test_retries_are_allowed_after_window(self):
        self.assertEqual(self.count_allowed(5), 2)
        self.clock.advance(_WINDOW + 1)
        self.assertEqual(self.count_allowed(5), 2)

    def test_services_are_independent(self):
        self.assertEqual(self.count_allowed(5), 2)
        self.assertTrue(self.retry_budget.allow_retry('desk'))

    def test_slack_is_shared_by_all_routers_ever_known(self):
        """A partitioned fleet of 64 doesn't send twice the allowed retries.

        A zone is cut off, and each side forgets the other side's routers. If
        the slack were divided among the currently known routers, each side
        would use all of it.
        """
        self.routers = 64
        self.assertEqual(self.count_allowed(1), 0)
        self.routers = 2
        self.assertEqual(self.count_allowed(1), 0)
