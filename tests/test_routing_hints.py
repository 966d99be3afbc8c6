"""Tests of cache hints from cache events and own requests."""

import json
import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.gateway.prompts import measure_prompt
from balsamreach.routing.hints import CacheHints, hash_blocks, parse_block_hash
from balsamreach.standins.engine_cache import blocks_of
from balsamreach.standins.engine_text import cached_text_of
from balsamreach.targets.cache_feed import CacheChanges, CacheFeed
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


def _events(block_names, start=1, *, stored=True):
    return tuple(
        CacheEvent(start + place, name, stored=stored)
        for place, name in enumerate(block_names)
    )


class BlockNamesTest(unittest.TestCase):
    """Engines and routers give a block the same name."""

    def test_engine_and_router_hash_blocks_alike(self):
        """An engine and a router hash the same prompt to the same names.

        If they hashed different text, or in a different way, cache events
        would be applied but never match a prompt, and the prefix hit rate
        would be that of the hash ring.
        """
        prefix = measure_prompt(json.loads(json.dumps(_BODY)), 0).prefix
        block_names = [
            parse_block_hash(one) for one in blocks_of(cached_text_of(_BODY))
        ]
        self.assertGreater(len(block_names), 9)
        self.assertEqual(block_names, hash_blocks(prefix))

    @parameterized.expand(['', 'token-17', '-1', f'1{0:016}'])
    def test_unknown_name_formats_are_ignored(self, name):
        self.assertIsNone(parse_block_hash(name))
        hints = CacheHints()
        hints.apply('engine-0', CacheChanges(_events([name])))
        self.assertEqual(hints.deepest_holders([0, 1, 17]), ())


class CacheHintsTest(unittest.TestCase):
    """Hints after stores, evictions, gaps and restarts."""

    def test_store_evict_and_bound(self):
        hints = CacheHints(max_blocks=2)
        hints.apply('a', CacheChanges(_events('123')))
        hints.apply('b', CacheChanges(_events('3')))
        self.assertEqual(hints.holders(1), ())
        self.assertEqual(hints.deepest_holders([2, 3, 4]), ('b', 'a'))
        hints.apply('b', CacheChanges(_events('3', stored=False)))
        self.assertEqual(hints.holders(3), ('a',))
        hints.apply('b', CacheChanges(_events('2', stored=False)))
        self.assertEqual(hints.holders(2), ('a',))

    def test_gap_drops_as_many_of_the_oldest_hints(self):
        """A gap in the events drops as many of the target's oldest hints.

        An engine's event log overflows between two polls and evictions are
        lost. Stale hints would send requests to an engine that evicted their
        prefix, and the hit rate would fall after each burst.
        """
        hints, feed = CacheHints(), CacheFeed()
        reported = CacheEvents(4, _events('123'))
        hints.apply('a', feed.advance(reported))
        gap = feed.advance(CacheEvents(7, _events('4', start=6)))
        hints.apply('a', gap)
        held = [bool(hints.holders(block)) for block in (1, 2, 3, 4)]
        self.assertEqual(held, [False, False, True, True])
        self.assertEqual((gap.missing, feed.gaps), (2, 1))

    @parameterized.expand([('restart seen',), ('numbers begin anew',)])
    def test_restart_drops_earlier_hints(self, cause):
        """A restart of an engine drops the hints from before it.

        Otherwise prompts would go to an engine that lost its cache, and miss
        until it has filled again.
        """
        hints, feed = CacheHints(), CacheFeed()
        hints.apply('a', feed.advance(CacheEvents(9, _events('123'))))
        hints.add(1, 'b')
        if cause == 'restart seen':
            feed.restart()
        hints.apply('a', feed.advance(CacheEvents(2, _events('5'))))
        held = [hints.holders(block) for block in (1, 2, 5)]
        self.assertEqual(held, [('b',), (), ('a',)])

    def test_duplicate_events_are_ignored(self):
        feed = CacheFeed()
        reported = CacheEvents(3, _events('12'))
        feed.advance(reported)
        self.assertEqual(feed.advance(reported), CacheChanges())


class CacheFollowerTest(unittest.IsolatedAsyncioTestCase):
    """From an engine's cache events to the choice of a target."""

    @parameterized.expand([(60, 1), (61, 0)])
    async def test_too_many_engines_are_not_polled(self, count, polls):
        """Cache events are not polled if there are too many engines.

        Two engines are polled per second, so with hundreds each is polled once
        in minutes. Hints that old lead to a lower hit rate than none.
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
        self.assertEqual(client.cache_events.await_count, polls)

    async def test_request_follows_cache_filled_by_another_router(self):
        """A request goes to an engine whose cache another router has filled.

        The first turn of a conversation ran through another router, at an
        engine that is not first on the ring. Without its cache events, each
        turn would compute the whole prompt again although an idle engine has
        it cached.
        """
        rows = make_rows(8)
        node = Node(rows)
        prefix = b'a lesson plan in Naxos ' * 20
        first = await Node(rows).send(prefix=prefix)
        other = next(row for row in rows if row.name != first.target.name)
        client = FakeTargets(node.clock)
        block_names = [f'{name:016x}' for name in hash_blocks(prefix)]
        client.events[other.address] = CacheEvents(9, _events(block_names))
        follower = CacheFollower(
            node.cfg,
            node.targets,
            client,
            node.clock,
            node.metrics,
        )
        follower.watchers.append(node.routing.apply_cache_events)
        for target in node.targets.by_name.values():
            target.report = LoadReport(valid_at=node.clock.now())
        for _ in rows:
            await follower.ask_next()
        longer = prefix + b'and what the wind does to it ' * 20
        slot = await node.send(prefix=longer, fingerprint='b')
        self.assertEqual(slot.target.name, other.name)
