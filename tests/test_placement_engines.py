"""Tests of choosing engines, by replays of load on the decision alone."""

import random
import unittest
from collections import Counter

from parameterized import parameterized

from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.places import Places
from balsamreach.placement.prompts import CacheMemory, Part, Prompt
from tests.relay_samples import ENGINES, entry

_ENGINES = 6
_ROUTERS = 8
_CAPACITY = 600_000


def _places():
    places = Places(random.Random(1))
    for number in range(_ENGINES):
        places.put(entry(f'engine-{number}', ENGINES, zone=f'z{number % 2}'))
    return places


def _prompt(part, shared=4800, own=6600):
    return Prompt(
        model='m',
        tokens=500 + shared + own,
        most_output=300,
        parts=(
            Part('system', 500),
            Part(part, shared),
            Part(f'{part}-own', own),
        ),
    )


def _serve_all(places):
    for place in places:
        place.unread = 0


class EngineChooserTest(unittest.TestCase):
    """The same part goes to the same engine, as far as load allows."""

    def test_routers_agree_without_a_message(self):
        """Load: 100 documents, each asked for through any of 8 routers.

        Each is read by one engine, not by one for each router.
        """
        homes = {
            part: {
                EngineChooser(f'z{number % 2}')
                .choose(_prompt(f'part-{part}'), _places().of(ENGINES))
                .incarnation
                for number in range(_ROUTERS)
            }
            for part in range(100)
        }
        self.assertEqual({len(found) for found in homes.values()}, {1})

    def test_parts_spread_over_all_engines(self):
        chooser, places = EngineChooser('z0'), _places()
        homes = Counter(
            chooser.choose(_prompt(f'part-{part}'), places.of(ENGINES))
            for part in range(300)
        )
        self.assertEqual(len(homes), _ENGINES)
        self.assertLess(max(homes.values()), 2 * 300 / _ENGINES)

    @parameterized.expand((('crowded', 60_000, False), ('calm', 2000, True)))
    def test_a_crowded_home_is_left(self, _, queued, stays):
        """Load: one document gets much of the traffic at once.

        Reading it again at a second engine costs less than the wait behind
        60,000 tokens, and more than that behind 2,000.
        """
        chooser, places = EngineChooser('z0'), _places()
        prompt = _prompt('hot')
        home = chooser.choose(prompt, places.of(ENGINES))
        home.unread += queued
        chosen = chooser.choose(prompt, places.of(ENGINES))
        self.assertEqual(chosen is home, stays)

    def test_a_replayed_burst_reads_each_part_seldom_twice(self):
        """Load: 400 prompts over 60 documents in clumps of 10, seed 7.

        Each clump is queued before the next one comes. A choice at random
        would read each document at nearly all six engines.
        """
        chooser, places = EngineChooser('z0'), _places()
        rng = random.Random(7)
        read = set()
        for number in range(400):
            if number % 10 == 0:
                _serve_all(places)
            prompt = _prompt(f'part-{rng.randrange(60)}')
            place = chooser.choose(prompt, places.of(ENGINES))
            place.unread += prompt.tokens
            chooser.note(prompt, place, _CAPACITY)
            read.add((prompt.parts[1].part_id, place.incarnation))
        self.assertLess(len(read), 1.5 * 60)

    def test_no_engine(self):
        self.assertIsNone(EngineChooser('z0').choose(_prompt('a'), ()))


class CacheMemoryTest(unittest.TestCase):
    """What was used least recently is forgotten first."""

    def test_bounded_by_the_engines_memory(self):
        memory = CacheMemory(1000)
        for name in ('a', 'b', 'c'):
            memory.note((Part(name, 300),))
        self.assertEqual(memory.held((Part('a', 300),)), 0)
        self.assertEqual(memory.held((Part('c', 300),)), 300)

    def test_only_leading_parts_count(self):
        memory = CacheMemory(1000)
        memory.note((Part('b', 300),))
        self.assertEqual(memory.held((Part('a', 100), Part('b', 300))), 0)
