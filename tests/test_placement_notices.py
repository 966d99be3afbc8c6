"""Tests of what targets say of themselves in answers."""

import random
import unittest

from balsamreach.placement.notices import Notices, TargetNotice
from balsamreach.placement.places import Places
from balsamreach.telemetry.metrics import Metrics
from tests.relay_samples import entry
from tests.support import FakeClock


class NoticesTest(unittest.TestCase):
    """Notices of one target whose entry lapses, or that starts again."""

    def setUp(self):
        self.clock = FakeClock()
        self.places = Places(random.Random(1))
        self.told = []
        self.notices = Notices(
            self.places,
            self.clock,
            Metrics(),
            self.told.append,
        )
        self.put(version=5)
        self.before = self.places.find('one')

    def put(self, **fields):
        return self.places.put(entry('one', 'desk', **fields))

    def back_off(self, seconds):
        notice = TargetNotice(retry_after=seconds)
        self.notices.take(self.before, notice)

    def waits(self):
        """Return the seconds for which the target is left alone."""
        place = self.places.find('one')
        standing = self.places.standings.find(place.incarnation)
        return max(0, standing.retry_at - self.clock.now())

    def test_back_off_outlives_the_entry(self):
        """A back-off was forgotten as the target's entry lapsed and was back.

        The answer that asks for it is read before, or by a request that was
        sent before.
        """
        self.back_off(3)
        self.places.remove('one', 6)
        self.put(version=7)
        self.assertEqual(self.waits(), 3)
        self.back_off(9)
        self.assertEqual(self.waits(), 9)

    def test_back_off_of_the_start_before(self):
        """A target that had just started was left alone by an old answer."""
        self.put(version=6, born=1)
        self.back_off(3)
        self.assertEqual(self.waits(), 0)

    def test_longest_back_off_holds(self):
        self.back_off(3)
        self.back_off(1)
        self.assertEqual(self.waits(), 3)

    def test_leaving_is_told_once(self):
        leaving = TargetNotice(leaving=True)
        for _ in range(3):
            self.notices.take(self.before, leaving)
        self.assertTrue(self.places.find('one').entry.leaving)
        told = self.told.pop()
        self.assertTrue(told.leaving)
        self.assertEqual(self.told, [])

    def test_leaving_of_the_start_before(self):
        """A target that had just started was taken for one that leaves."""
        self.put(version=6, born=1)
        self.notices.take(self.before, TargetNotice(leaving=True))
        self.assertFalse(self.places.find('one').entry.leaving)
        self.assertEqual(self.told, [])

    def test_many_starts_that_back_off(self):
        """Standings of targets that are long gone piled up."""
        for number in range(3000):
            self.places.remove('one')
            self.put(version=10 * number + 10, born=number + 1)
            self.before = self.places.find('one')
            self.back_off(3)
        self.assertLessEqual(len(self.places.standings), 2000)
