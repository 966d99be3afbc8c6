"""Tests of the estimates of engines' speeds."""

import random
import statistics
import unittest

from parameterized import parameterized

from balsamreach.placement.engine_speeds import (
    MAX_FACTOR,
    PRIOR_SPEED,
    EngineSpeeds,
    SpeedSample,
)
from tests.support import FakeClock

_TOKENS = 12_000


class EngineSpeedsTest(unittest.TestCase):
    """Estimates follow the samples and resist wrong ones."""

    def setUp(self):
        self.clock = FakeClock()
        self.speeds = EngineSpeeds(self.clock)

    def sample(self, engine, speed, count=1, interval=1.0):
        for _ in range(count):
            self.clock.advance(interval)
            self.speeds.record(engine, _TOKENS, _TOKENS / speed / 1000)

    def make_fleet(self, speed=40, engines=12):
        """Sample a fleet whose median is a speed."""
        for number in range(engines):
            self.sample(f'fleet-{number}', speed, 10, 0.01)
        self.clock.advance(1)

    def test_prior(self):
        self.assertAlmostEqual(self.speeds.speed('new'), PRIOR_SPEED)

    @parameterized.expand(((1, 9, 100), (2, 12, 40)))
    def test_median_replaces_prior(self, _, engines, expected):
        """Nine known engines don't replace the prior, twelve do."""
        self.make_fleet(40, engines)
        self.assertAlmostEqual(self.speeds.speed('new'), expected, delta=0.5)

    @parameterized.expand((('slow', 40), ('usual', 97), ('fast', 250)))
    def test_noise(self, _, true):
        """15% of responses are slower by 2.5, seeds 0 to 19.

        A mean of times would follow the slow ones. The mean of logarithms is
        an eighth low; no estimate is more than a third off.
        """
        found = []
        for seed in range(20):
            rng = random.Random(seed)
            for noise in rng.choices((1, 2.5), (0.85, 0.15), k=60):
                self.sample(f'engine-{seed}', true / noise)
            found.append(self.speeds.speed(f'engine-{seed}') / true)
        self.assertAlmostEqual(statistics.mean(found), 0.87, delta=0.07)
        self.assertGreater(min(found), 0.67)
        self.assertLess(max(found), 1.05)

    def test_absurd_sample_is_clamped(self):
        """A pause of the router makes one sample 1,000 times too slow."""
        self.sample('one', 100, 20)
        self.sample('one', 0.1)
        self.assertGreater(self.speeds.speed('one'), 80)

    def test_change_of_speed(self):
        """An engine that gets slower is known to be slow a minute later."""
        self.sample('one', 100, 60)
        self.sample('one', 40, 60)
        self.assertLess(self.speeds.speed('one'), 60)

    @parameterized.expand((('slow', 1, 1), ('fast', 90_000, -1)))
    def test_bounds(self, _, speed, direction):
        """A wrong estimate stays within a factor of 4 of the median.

        Below that an engine would get no prompt that corrects the estimate;
        above it the engine would get all prompts.
        """
        self.make_fleet(40)
        self.speeds.replace(SpeedSample('one', speed, 1e9))
        expected = 40 / MAX_FACTOR**direction
        self.assertAlmostEqual(self.speeds.speed('one'), expected, delta=0.5)

    def test_idle_engine_approaches_median(self):
        """An engine that is wrongly held to be slow gets long prompts again."""
        self.make_fleet(40)
        self.speeds.replace(SpeedSample('one', 0.1, 1e9))
        found = []
        for seconds in (9, 31, 60, 120):
            self.clock.advance(seconds)
            found.append(round(self.speeds.speed('one')))
        self.assertEqual(found, [10, 20, 34, 40])

    def test_invalid_samples_are_ignored(self):
        """Guards against estimates that an impossible sample spoils."""
        self.speeds.record('one', 5000, 0)
        self.speeds.record('one', 5000, -0.01)
        self.assertEqual(list(self.speeds.known()), [])

    def test_class_resists_small_changes(self):
        """Engines of one speed share a class whatever their estimates are.

        With each change of class, cached parts would move to other engines.
        """
        for number, speed in enumerate((34, 40, 42, 43, 45, 45, 46, 48, 60)):
            self.speeds.replace(SpeedSample(f'e{number}', speed, 1e9))
        for speed in (45, 66, 31, 70):
            self.speeds.replace(SpeedSample('one', speed, 1e9))
            self.clock.advance(1)
            self.assertEqual(self.speeds.speed_class('one'), 0)
        for speed, expected in ((97, 1), (60, 1), (46, 0)):
            self.speeds.replace(SpeedSample('one', speed, 1e9))
            self.clock.advance(1)
            self.assertEqual(self.speeds.speed_class('one'), expected)

    def test_gathered_samples_are_taken_once(self):
        self.sample('one', 50, 2)
        self.sample('two', 80, 1)
        first = self.speeds.take_gathered(1)
        self.assertEqual(
            [(one.engine, one.tokens) for one in first], [('one', 2 * _TOKENS)]
        )
        self.assertEqual(
            [one.engine for one in self.speeds.take_gathered(9)], ['two']
        )
        self.assertEqual(self.speeds.take_gathered(9), [])

    def test_gone_engines_are_dropped(self):
        """Guards against memory that grows with each restart of an engine."""
        self.sample('one', 50, 20)
        self.speeds.retain(())
        self.assertAlmostEqual(self.speeds.speed('one'), PRIOR_SPEED)
        self.assertEqual(self.speeds.take_gathered(9), [])
