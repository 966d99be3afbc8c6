"""Tests of when the events of a stream came."""

import unittest

from parameterized import parameterized

from balsamreach.relay.rhythm import Rhythm


class RhythmTest(unittest.TestCase):
    """The first event and the longest pause are told."""

    @parameterized.expand(
        [
            ('none', [], None, 0),
            ('one', [10.25], 250, 0),
            ('the longest is kept', [10.1, 10.2, 10.7, 10.8], 100, 500),
        ]
    )
    def test_times(self, _name, times, first, longest):
        rhythm = Rhythm(10.0)
        for now in times:
            rhythm.note(now)
        self.assertEqual(rhythm.first_event_ms, first)
        self.assertEqual(rhythm.longest_gap_ms, longest)
