"""Tests of the arrival times of events."""

import unittest

from parameterized import parameterized

from balsamreach.relay.event_timing import EventTiming


class EventTimingTest(unittest.TestCase):
    """The time to the first event and the longest gap are measured."""

    @parameterized.expand(
        [
            ('none', [], None, 0),
            ('one', [10.25], 250, 0),
            ('longest gap is kept', [10.1, 10.2, 10.7, 10.8], 100, 500),
        ]
    )
    def test_times(self, _name, times, first, longest):
        timing = EventTiming(10.0)
        for now in times:
            timing.record(now)
        self.assertEqual(timing.first_event_ms, first)
        self.assertEqual(timing.longest_gap_ms, longest)
