"""Tests of the notices that targets send in response headers."""

import random
import unittest

from balsamreach.placement.brittle_services import BrittleServices
from balsamreach.placement.notices import Notices, TargetNotice
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.telemetry.metrics import Metrics
from tests.relay_samples import entry
from tests.support import FakeClock


class NoticesTest(unittest.TestCase):
    """Notices of one target whose entry expires, or that restarts."""

    def setUp(self):
        self.clock = FakeClock()
        self.places = RelayTargets(random.Random(1))
        self.announced = []
        self.notices = Notices(
            self.places,
            self.clock,
            Metrics(),
            BrittleServices(self.clock),
            self.announced.append,
        )
        self.put(version=5)
        self.place = self.places.find('one')

    def put(self, **fields):
        return self.places.put(entry('one', 'desk', **fields))

    def back_off(self, seconds):
        notice = TargetNotice(retry_after=seconds)
        self.notices.apply(self.place, notice)

    def wait(self):
        """Return the seconds for which the target gets no requests."""
        place = self.places.find('one')
        restriction = self.places.restrictions.find(place.incarnation)
        return max(0, restriction.retry_at - self.clock.now())

    def test_back_off_outlives_the_entry(self):
        """A back-off holds while the target's entry expires and returns.

        The response that asks for it is read before that, or belongs to a
        request that was sent before that.
        """
        self.back_off(3)
        self.places.remove('one', 6)
        self.put(version=7)
        self.assertEqual(self.wait(), 3)
        self.back_off(9)
        self.assertEqual(self.wait(), 9)

    def test_back_off_of_earlier_incarnation(self):
        """A late response doesn't make a restarted target back off."""
        self.put(version=6, born=1)
        self.back_off(3)
        self.assertEqual(self.wait(), 0)

    def test_longest_back_off_holds(self):
        self.back_off(3)
        self.back_off(1)
        self.assertEqual(self.wait(), 3)

    def test_leaving_is_announced_once(self):
        leaving = TargetNotice(leaving=True)
        for _ in range(3):
            self.notices.apply(self.place, leaving)
        self.assertTrue(self.places.find('one').entry.leaving)
        announced = self.announced.pop()
        self.assertTrue(announced.leaving)
        self.assertEqual(self.announced, [])

    def test_leaving_of_earlier_incarnation(self):
        """A late response doesn't mark a restarted target as leaving."""
        self.put(version=6, born=1)
        self.notices.apply(self.place, TargetNotice(leaving=True))
        self.assertFalse(self.places.find('one').entry.leaving)
        self.assertEqual(self.announced, [])

    def test_restrictions_are_bounded(self):
        """Restrictions of targets that are gone don't accumulate."""
        for number in range(3000):
            self.places.remove('one')
            self.put(version=10 * number + 10, born=number + 1)
            self.place = self.places.find('one')
            self.back_off(3)
        self.assertLessEqual(len(self.places.restrictions), 2000)
