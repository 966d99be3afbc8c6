"""Tests of the choice of engines, without any real requests."""

import random
import unittest
from collections import Counter

from parameterized import parameterized

from balsamreach.placement.engine_costs import EngineCosts
from balsamreach.placement.engine_speeds import EngineSpeeds, SpeedSample
from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.prompts import CacheEstimate, Part, Prompt
from balsamreach.placement.relay_targets import RelayTargets
from tests.engine_replay import Replay
from tests.relay_samples import ENGINES, entry
from tests.support import FakeClock

_ENGINES = 6
_ROUTERS = 8
_CAPACITY = 600_000
_AIM = 0.5
_OWN = Prompt(
    model='m',
    tokens=9000,
    max_output_tokens=300,
    parts=(Part('own', 9000),),
)


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
                .choose(
                    _prompt(f'part-{part}'),
                    _places().of_service(ENGINES),
                    _AIM,
                )
                .incarnation
                for number in range(_ROUTERS)
            }
            for part in range(100)
        }
        self.assertEqual({len(found) for found in chosen_engines.values()}, {1})

    def test_parts_spread_over_engines(self):
        chooser, places = EngineChooser('z0'), _places()
        chosen_engines = Counter(
            chooser.choose(
                _prompt(f'part-{part}'), places.of_service(ENGINES), _AIM
            )
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
        preferred = chooser.choose(prompt, places.of_service(ENGINES), _AIM)
        preferred.unread += queued
        chosen = chooser.choose(prompt, places.of_service(ENGINES), _AIM)
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
            place = chooser.choose(prompt, places.of_service(ENGINES), _AIM)
            place.unread += prompt.tokens
            chooser.record_sent(prompt, place, _CAPACITY)
            processed.add((prompt.parts[1].part_id, place.incarnation))
        self.assertLess(len(processed), 1.5 * 60)

    def test_no_candidates(self):
        self.assertIsNone(EngineChooser('z0').choose(_prompt('a'), (), _AIM))


class PredictedCostTest(unittest.TestCase):
    """With shared speeds, the lowest predicted cost decides."""

    def setUp(self):
        self.clock = FakeClock()
        self.speeds = EngineSpeeds(self.clock)
        self.places = _places()
        self.rate('engine-0', 100)

    def chooser(self, seed=1, zone='z0'):
        costs = EngineCosts(zone, self.speeds, random.Random(seed))
        return EngineChooser(zone, costs, lambda: True)

    def rate(self, engine, speed):
        self.speeds.replace(SpeedSample(engine, speed, 1e9))

    def choose(self, prompt=_OWN, aim=_AIM, **fields):
        chooser = self.chooser(**fields)
        places = self.places.of_service(ENGINES)
        return chooser.choose(prompt, places, aim).entry.target_id

    def test_fast_engine_with_queue(self):
        """7,000 queued tokens at a fast engine are better than a slow one."""
        for number in range(1, _ENGINES):
            self.rate(f'engine-{number}', 40)
        self.places.find('engine-0').others_unread = 7000
        self.assertEqual(self.choose(), 'engine-0')

    def test_ties_are_spread(self):
        """Routers with the same data don't all choose the same engine.

        Reports are 0.15 s old, so all requests of that time would queue there.
        """
        chosen = Counter(self.choose(seed=seed) for seed in range(60))
        self.assertEqual(len(chosen), _ENGINES)
        self.assertLess(max(chosen.values()), 40)

    def test_faster_engine_keeps_more_parts(self):
        """Twice the speed, about twice the parts; all routers agree."""
        for number in range(1, _ENGINES):
            self.rate(f'engine-{number}', 50)
        kept = Counter()
        for part in range(600):
            prompt = _prompt(f'part-{part}', shared=20_000, own=100)
            found = {self.choose(prompt, zone=zone) for zone in ('z0', 'z1')}
            self.assertEqual(len(found), 1)
            kept.update(found)
        others = (600 - kept['engine-0']) / (_ENGINES - 1)
        self.assertGreater(kept['engine-0'] / others, 1.6)
        self.assertLess(kept['engine-0'] / others, 2.8)

    def test_wrong_estimate_does_not_starve(self):
        """An engine wrongly held to be slow gets long prompts within 90 s."""
        for place in self.places:
            self.rate(place.incarnation, 100)
            place.others_unread = 3000
        self.rate('engine-2', 1)
        self.places.find('engine-2').others_unread = 0
        self.assertNotEqual(self.choose(), 'engine-2')
        self.clock.advance(90)
        self.assertEqual(self.choose(), 'engine-2')

    def test_present_score_without_hubs(self):
        """Small fleets, which share no speeds, choose and count as before."""
        for number, place in enumerate(self.places):
            place.unread = 4000 * (number % 4)
            place.running = number
        self.rate('engine-5', 400)
        costs = EngineCosts('z0', self.speeds, random.Random(1))
        places = self.places.of_service(ENGINES)
        for part in range(50):
            prompt = _prompt(f'part-{part}')
            plain = EngineChooser('z0').choose(prompt, places, _AIM)
            chooser = EngineChooser('z0', costs, bool)
            self.assertIs(chooser.choose(prompt, places, _AIM), plain)
            unread = chooser.record_sent(prompt, plain, _CAPACITY)
            self.assertEqual(unread, prompt.tokens)

    def test_speeds_are_refreshed(self):
        chooser = self.chooser()
        places = self.places.of_service(ENGINES)
        chooser.choose(_OWN, places, _AIM)
        self.rate('engine-2', 300)
        self.clock.advance(2)
        chosen = chooser.choose(_OWN, places, _AIM)
        self.assertEqual(chosen.entry.target_id, 'engine-2')

    @parameterized.expand(((1,), (2,), (3,)))
    def test_replay(self, seed):
        """Engines of two speeds, 68 long prompts and 190 short ones a second.

        With one speed for all engines, the slow ones hold their streams up
        with long prompts.
        """
        present = Replay(seed, with_speeds=False).run()
        new = Replay(seed, with_speeds=True).run()
        late = 1 - present.share_of_smooth_streams()
        self.assertLess(1 - new.share_of_smooth_streams(), late / 4)
        for is_long in (False, True):
            on_time = new.share_on_time(long=is_long)
            self.assertGreater(on_time, present.share_on_time(long=is_long))


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
