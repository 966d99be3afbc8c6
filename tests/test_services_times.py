"""Tests of the bounds on a service's clock."""

import unittest

from parameterized import parameterized

from balsamreach.services.times import ServiceClock
from tests.support import FakeClock


class ServiceClockTest(unittest.TestCase):
    """Both bounds hold for any delay of the answers."""

    def test_unknown_before_the_first_answer(self):
        times = ServiceClock(FakeClock())
        self.assertIsNone(times.at_least())
        self.assertIsNone(times.at_most(0))

    @parameterized.expand(
        [
            ('quick', [(500.0, 100.0, 100.0)], 500.0, 490.0),
            ('slow', [(500.0, 100.0, 104.0)], 496.0, 490.0),
            (
                'the tighter of two',
                [(500.0, 100.0, 104.0), (501.0, 101.0, 101.5)],
                499.5,
                490.0,
            ),
            # The host was suspended for 20 s between the two answers.
            (
                'after a pause of the host',
                [(500.0, 100.0, 100.0), (521.0, 101.0, 101.0)],
                520.0,
                490.0,
            ),
        ]
    )
    def test_bounds(self, _name, answers, least, most):
        clock = FakeClock()
        clock.seconds = 100.0
        times = ServiceClock(clock)
        for service_seconds, sent, received in answers:
            times.note(service_seconds, sent, received)
        self.assertEqual(times.at_least(), least)
        self.assertEqual(times.at_most(90.0), most)
