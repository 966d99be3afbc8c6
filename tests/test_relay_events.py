"""Tests of cutting streams into events."""

import unittest

from parameterized import parameterized

from balsamreach.relay.events import EventCutter
from tests.relay_samples import event

_TWO = event(1) + event(2)


def _numbers(events):
    return [one.number for one in events]


def _octets(raw):
    return [bytes([octet]) for octet in raw]


class EventCutterTest(unittest.TestCase):
    """Whole events, each once, in their order."""

    @parameterized.expand(
        (
            ('at_once', [_TWO], [1, 2]),
            ('in_pieces', [_TWO[:4], _TWO[4:]], [1, 2]),
            ('byte_by_byte', _octets(event(3)), [3]),
            ('crlf', [b'id: 4\r\ndata: x\r\n\r\n'], [4]),
            ('without_id', [b'data: x\n\n'], [None]),
            ('version_first', [b'weight-versions: 2\nid: 7\n\n'], [7]),
        )
    )
    def test_cuts(self, _, chunks, numbers):
        cutter = EventCutter()
        events = [one for chunk in chunks for one in cutter.feed(chunk)]
        self.assertEqual(_numbers(events), numbers)
        self.assertFalse(cutter.partial)

    def test_half_an_event_does_not_join_the_next_targets(self):
        """Symptom: a caller gets a piece that no target made.

        Sequence: a target dies in the middle of event 3; the stream goes on
        at another one, which sends event 3 from its beginning.
        Cause: the half event was kept and the whole one appended to it.
        """
        cutter = EventCutter()
        cutter.feed(event(1) + event(2) + event(3)[:8])
        self.assertTrue(cutter.partial)
        cutter.restart()
        events = cutter.feed(event(3) + event(4))
        self.assertEqual([one.raw for one in events], [event(3), event(4)])

    def test_events_that_were_passed_on_are_left_out(self):
        cutter = EventCutter(last=2)
        self.assertEqual(_numbers(cutter.feed(event(2) + event(3))), [3])

    def test_a_gap_ends_the_stream(self):
        """Symptom: a piece is missing in an answer that looks whole.

        Sequence: a target goes on two events after the last one.
        Cause: nobody compared the numbers.
        """
        cutter = EventCutter(last=2)
        self.assertEqual(cutter.feed(event(4)), [])
        self.assertIn('4 came after 2', cutter.broken)
        self.assertEqual(cutter.feed(event(5)), [])
