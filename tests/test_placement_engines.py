"""Tests of the choice of engines, without any real requests."""

import random
import unittest
from collections import Counter

from parameterized import parameterized

from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.prompts import CacheEstimate, Part, Prompt
from balsamreach.placement.relay_targets import RelayTargets
from tests.relay_samples import ENGINES, entry

_ENGINES = 6
_ROUTERS = 8
_CAPACITY = 600_000


def _places():
    places = RelayTargets(random.Random(1))
    for number in range(_ENGINES):
        places.put(entry(f'engine-{number}', ENGINES, zone=f'z{number % 2}'))
    return places


def _prompt(part, shared=4800, own=6600):
    return Prompt(
        model='m',
        tokens=500 + shared + own,
        max_output_tokens=300,
        parts=(
            Part('system', 500),
            Part(part, shared),
            Part(f'{part}-own', own),
        ),
    )


def _process_all(places):
    for place in places:
        place.unread = 0


class EngineChooserTest(unittest.TestCase):
    """Prompts with the same part go to the same engine, load permitting."""

    def test_routers_choose_same_engine(self):
        """Each of 100 documents, sent through 8 routers, goes to one engine.

        If routers chose differently, each document would be processed once
        for each router.
        """
        chosen_engines = {
            part: {
                EngineChooser(f'z{number % 2}')
                .choose(_prompt(f'part-{part}'), _places().of_service(ENGINES))
                .incarnation
                for number in range(_ROUTERS)
            }
            for part in range(100)
        }
        self.assertEqual({len(found) for found in chosen_engines.values()}, {1})

    def test_parts_spread_over_engines(self):
        chooser, places = EngineChooser('z0'), _places()
        chosen_engines = Counter(
            chooser.choose(_prompt(f'part-{part}'), places.of_service(ENGINES))
            for part in range(300)
        )
        self.assertEqual(len(chosen_engines), _ENGINES)
        self.assertLess(max(chosen_engines.values()), 2 * 300 / _ENGINES)

    @parameterized.expand((('busy', 60_000, False), ('idle', 2000, True)))
    def test_busy_preferred_engine(self, _, queued, stays):
        """One document gets much of the traffic at once.

        Processing it again at a second engine costs less than the wait behind
        60,000 tokens, and more than the wait behind 2,000.
        """
        chooser, places = EngineChooser('z0'), _places()
        prompt = _prompt('hot')
        preferred = chooser.choose(prompt, places.of_service(ENGINES))
        preferred.unread += queued
        chosen = chooser.choose(prompt, places.of_service(ENGINES))
        self.assertEqual(chosen is preferred, stays)

    def test_bursts_rarely_process_a_part_twice(self):
        """400 prompts over 60 documents arrive in bursts of 10, seed 7.

        Each burst is queued before the next one arrives. A random choice
        would process each document at nearly all six engines.
        """
        chooser, places = EngineChooser('z0'), _places()
        rng = random.Random(7)
        processed = set()
        for number in range(400):
            if number % 10 == 0:
                _process_all(places)
            prompt = _prompt(f'part-{rng.randrange(60)}')
            place = chooser.choose(prompt, places.of_service(ENGINES))
            place.unread += prompt.tokens
            chooser.record_sent(prompt, place, _CAPACITY)
            processed.add((prompt.parts[1].part_id, place.incarnation))
        self.assertLess(len(processed), 1.5 * 60)

    def test_no_candidates(self):
        self.assertIsNone(EngineChooser('z0').choose(_prompt('a'), ()))


class CacheEstimateTest(unittest.TestCase):
    """The estimate drops the least recently used parts first."""

    def test_bounded_by_capacity(self):
        cache = CacheEstimate(1000)
        for name in ('a', 'b', 'c'):
            cache.add((Part(name, 300),))
        self.assertEqual(cache.cached_tokens((Part('a', 300),)), 0)
        self.assertEqual(cache.cached_tokens((Part('c', 300),)), 300)

    def test_only_leading_parts_count(self):
        cache = CacheEstimate(1000)
        cache.add((Part('b', 300),))
        self.assertEqual(
            cache.cached_tokens((Part('a', 100), Part('b', 300))), 0
        )
