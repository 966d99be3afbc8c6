"""Tests of the bound on repeats."""

import unittest

from balsamreach.relay.repeats import Repeats
from tests.support import FakeClock

_WINDOW = 10


class RepeatsTest(unittest.TestCase):
    """Repeats stay within a share of each window's requests."""

    def setUp(self):
        self.clock = FakeClock()
        self.known = 0
        self.repeats = Repeats(
            0.2,
            32,
            _WINDOW,
            self.clock,
            lambda: self.known,
        )

    def count(self, tries):
        return sum(self.repeats.again('engines') for _ in range(tries))

    def test_share_and_own_part_of_the_slack(self):
        for _ in range(100):
            self.repeats.first('engines')
        # Two of the slack of 32, as sixteen routers may share it.
        self.assertEqual(self.count(50), 22)

    def test_calm_hours_pay_for_no_burst(self):
        """Symptom: a service gets more repeats than its users allow.

        Sequence: an hour without a failure, then a third of the targets
        crash at once.
        Cause: the unused share of earlier windows was saved up.
        """
        for _ in range(3600):
            self.repeats.first('engines')
            self.clock.advance(1)
        self.assertLessEqual(self.count(500), 2 + 0.2 * (_WINDOW + 1))

    def test_repeats_come_back_after_the_window(self):
        self.assertEqual(self.count(5), 2)
        self.clock.advance(_WINDOW + 1)
        self.assertEqual(self.count(5), 2)

    def test_services_have_budgets_of_their_own(self):
        self.assertEqual(self.count(5), 2)
        self.assertTrue(self.repeats.again('desk'))

    def test_the_slack_is_shared_by_all_that_were_ever_known(self):
        """Symptom: a fleet of 64 sends twice the repeats it may.

        Sequence: a zone is cut off; each side forgets the other's routers.
        Cause: the slack was shared among those known at the moment.
        """
        self.known = 64
        self.assertEqual(self.count(1), 0)
        self.known = 2
        self.assertEqual(self.count(1), 0)
