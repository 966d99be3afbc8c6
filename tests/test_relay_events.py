"""Tests of splitting streams into events."""

import unittest

from parameterized import parameterized

from balsamreach.relay.events import EventSplitter
from tests.relay_samples import event

_TWO = event(1) + event(2)


def _ids(events):
    return [one.event_id for one in events]


def _single_bytes(raw):
    return [bytes([octet]) for octet in raw]


class EventCutterTest(unittest.TestCase):
    """Events are complete, in order, and each comes once."""

    @parameterized.expand(
        (
            ('at_once', [_TWO], [1, 2]),
            ('in_chunks', [_TWO[:4], _TWO[4:]], [1, 2]),
            ('byte_by_byte', _single_bytes(event(3)), [3]),
            ('crlf', [b'id: 4\r\ndata: x\r\n\r\n'], [4]),
            ('without_id', [b'data: x\n\n'], [None]),
            ('version_first', [b'weight-versions: 2\nid: 7\n\n'], [7]),
        )
    )
    def test_feed(self, _, chunks, ids):
        splitter = EventSplitter()
        events = [one for chunk in chunks for one in splitter.feed(chunk)]
        self.assertEqual(_ids(events), ids)
        self.assertFalse(splitter.has_partial)

    def test_partial_event_is_discarded(self):
        """Half of an event isn't joined to the next target's event.

        A target dies in the middle of event 3; the stream resumes at another
        target, which sends event 3 from its beginning. If the first half were
        kept, the caller would get an event that no target sent.
        """
        splitter = EventSplitter()
        splitter.feed(event(1) + event(2) + event(3)[:8])
        self.assertTrue(splitter.has_partial)
        splitter.begin_attempt()
        events = splitter.feed(event(3) + event(4))
        self.assertEqual([one.raw for one in events], [event(3), event(4)])

    def test_forwarded_events_are_skipped(self):
        splitter = EventSplitter(last_id=2)
        self.assertEqual(_ids(splitter.feed(event(2) + event(3))), [3])

    def test_gap_ends_stream(self):
        """A stream with a missing event doesn't look complete.

        A target resumes two events after the last one. If the ids were not
        compared, the event between would be missing in the response.
        """
        splitter = EventSplitter(last_id=2)
        self.assertEqual(splitter.feed(event(4)), [])
        self.assertIn('4 came after 2', splitter.error)
        self.assertEqual(splitter.feed(event(5)), [])
