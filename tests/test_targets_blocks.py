"""Tests of the block set that cache events feed."""

import unittest

from balsamreach.targets.blocks import BlockSet
from balsamreach.targets.client import CacheEvent, CacheEvents


def _stored(*blocks, start=1):
    return tuple(
        CacheEvent(start + index, block, stored=True)
        for index, block in enumerate(blocks)
    )


class BlockSetTest(unittest.TestCase):
    """Events late, doubled and with gaps."""

    def test_stored_evicted_and_doubled(self):
        blocks = BlockSet()
        blocks.take(CacheEvents(3, _stored('a', 'b')))
        evicted = (CacheEvent(3, 'a', stored=False),)
        again = CacheEvents(4, _stored('a', 'b') + evicted)
        self.assertFalse(blocks.take(again))
        self.assertFalse(blocks.take(again))
        self.assertNotIn('a', blocks)
        self.assertIn('b', blocks)

    def test_gap_drops_as_many_of_the_oldest(self):
        """Requests follow a prefix to an engine that evicted it.

        Symptom: the hit rate falls after a burst of events.
        Sequence: the engine's log overflows between two questions.
        Cause: evictions are among the events that were lost.
        """
        blocks = BlockSet()
        blocks.take(CacheEvents(4, _stored('a', 'b', 'c')))
        self.assertTrue(blocks.take(CacheEvents(7, _stored('d', start=6))))
        held = [block in blocks for block in ('a', 'b', 'c', 'd')]
        self.assertEqual(held, [False, False, True, True])
        self.assertEqual(blocks.gaps, 1)

    def test_restart_begins_anew_and_size_is_bounded(self):
        blocks = BlockSet(most=2)
        blocks.take(CacheEvents(9, _stored('a', 'b', 'c')))
        self.assertEqual(len(blocks), 2)
        blocks.take(CacheEvents(2, _stored('z')))
        self.assertNotIn('c', blocks)
        self.assertIn('z', blocks)
