"""Tests of the hints that cache events and own requests give."""

import json
import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.gateway.prompts import measure_prompt
from balsamreach.routing.hints import Hints, hash_blocks, read_name
from balsamreach.standins.engine_cache import blocks_of
from balsamreach.standins.engine_text import cached_text_of
from balsamreach.targets.cache_feed import CacheFeed, CacheNews
from balsamreach.targets.cache_follower import CacheFollower
from balsamreach.targets.client import CacheEvent, CacheEvents
from balsamreach.targets.registry import LoadReport
from tests.fake_targets import FakeTargets
from tests.routing_node import Node, make_rows

_BODY = {
    'model': 'model-a',
    'user': 'guest-7',
    'messages': [
        {'role': 'system', 'content': 'Wetsuit sizes. ' * 20},
        {'role': 'user', 'content': 'Größe für ein Kind? ' * 20},
    ],
}


def _events(names, start=1, *, stored=True):
    return tuple(
        CacheEvent(start + place, name, stored=stored)
        for place, name in enumerate(names)
    )


class NamesTest(unittest.TestCase):
    """Blocks have the same name at the engine and at the router."""

    def test_engine_and_router_name_blocks_alike(self):
        """Cache events are taken in and never lead a request anywhere.

        Symptom: events arrive, the prefix hit rate is that of the ring.
        Sequence: an engine names blocks; a router hashes the same prompt.
        Cause: they hash other text, or in another way.
        """
        prefix = measure_prompt(json.loads(json.dumps(_BODY)), 0).prefix
        names = [read_name(one) for one in blocks_of(cached_text_of(_BODY))]
        self.assertGreater(len(names), 9)
        self.assertEqual(names, hash_blocks(prefix))

    @parameterized.expand(['', 'token-17', '-1', f'1{0:016}'])
    def test_other_names_say_nothing(self, name):
        self.assertIsNone(read_name(name))
        hints = Hints()
        hints.take('engine-0', CacheNews(_events([name])))
        self.assertEqual(hints.deepest([0, 1, 17]), ())


class HintsTest(unittest.TestCase):
    """What is known of targets' caches, and what is doubted."""

    def test_stored_evicted_and_bounded(self):
        hints = Hints(most=2)
        hints.take('a', CacheNews(_events('123')))
        hints.take('b', CacheNews(_events('3')))
        self.assertEqual(hints.holders(1), ())
        self.assertEqual(hints.deepest([2, 3, 4]), ('b', 'a'))
        hints.take('b', CacheNews(_events('3', stored=False)))
        self.assertEqual(hints.holders(3), ('a',))
        hints.take('b', CacheNews(_events('2', stored=False)))
        self.assertEqual(hints.holders(2), ('a',))

    def test_gap_drops_as_many_of_the_oldest(self):
        """Requests follow a prefix to an engine that evicted it.

        Symptom: the hit rate falls after a burst of events.
        Sequence: the engine's log overflows between two questions.
        Cause: evictions are among the events that were lost.
        """
        hints, feed = Hints(), CacheFeed()
        told = CacheEvents(4, _events('123'))
        hints.take('a', feed.take(told))
        gap = feed.take(CacheEvents(7, _events('4', start=6)))
        hints.take('a', gap)
        held = [bool(hints.holders(block)) for block in (1, 2, 3, 4)]
        self.assertEqual(held, [False, False, True, True])
        self.assertEqual((gap.missing, feed.gaps), (2, 1))

    @parameterized.expand([('restart seen',), ('numbers begin anew',)])
    def test_restart_forgets_the_old_cache(self, how):
        """Prompts go to an engine whose cache was lost with its restart.

        Symptom: misses at one engine for as long as it is not full anew.
        Sequence: blocks are stored, the engine restarts and tells others.
        Cause: blocks of the earlier start are still believed to be there.
        """
        hints, feed = Hints(), CacheFeed()
        hints.take('a', feed.take(CacheEvents(9, _events('123'))))
        hints.stored(1, 'b')
        if how == 'restart seen':
            feed.restart()
        hints.take('a', feed.take(CacheEvents(2, _events('5'))))
        held = [hints.holders(block) for block in (1, 2, 5)]
        self.assertEqual(held, [('b',), (), ('a',)])

    def test_doubled_events_are_taken_once(self):
        feed = CacheFeed()
        told = CacheEvents(3, _events('12'))
        feed.take(told)
        self.assertEqual(feed.take(told), CacheNews())


class FollowTest(unittest.IsolatedAsyncioTestCase):
    """From an engine's events to the choice of a target."""

    @parameterized.expand([(60, 1), (61, 0)])
    async def test_engines_too_many_to_follow_are_not_asked(self, count, asks):
        """Requests follow hints that have long gone out of date.

        Symptom: in a large zone the hit rate is below that without hints.
        Sequence: two engines a second are asked, so each of hundreds
        once in minutes; prompts go where their blocks were then.
        Cause: old hints count as much as new ones.
        """
        node = Node(make_rows(count))
        client = mock.AsyncMock()
        follower = CacheFollower(
            node.cfg,
            node.targets,
            client,
            node.clock,
            node.metrics,
        )
        await follower.ask_next()
        self.assertEqual(client.cache_events.await_count, asks)

    async def test_conversation_follows_events_of_another_router(self):
        """Each turn of a conversation computes the whole prompt anew.

        Symptom: slow first tokens although an idle engine holds the prompt.
        Sequence: the first turn ran at an engine off the ring, through
        another router; the second turn is longer and comes to this one.
        Cause: this router does not know of that engine's cache.
        """
        rows = make_rows(8)
        node = Node(rows)
        prefix = b'a lesson plan in Naxos ' * 20
        first = await Node(rows).send(prefix=prefix)
        other = next(row for row in rows if row.name != first.target.name)
        client = FakeTargets(node.clock)
        names = [f'{name:016x}' for name in hash_blocks(prefix)]
        client.events[other.address] = CacheEvents(9, _events(names))
        follower = CacheFollower(
            node.cfg,
            node.targets,
            client,
            node.clock,
            node.metrics,
        )
        follower.watchers.append(node.routing.learn_cache)
        for target in node.targets.by_name.values():
            target.report = LoadReport(taken_at=node.clock.now())
        for _ in rows:
            await follower.ask_next()
        longer = prefix + b'and what the wind does to it ' * 20
        slot = await node.send(prefix=longer, fingerprint='b')
        self.assertEqual(slot.target.name, other.name)
