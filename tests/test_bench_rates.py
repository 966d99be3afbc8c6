"""Small runs of the rate limit benchmark in virtual time."""

import unittest

from parameterized import parameterized

from bench import rates_cost, rates_scenarios

_ROUTERS = 8


class RatesBenchTest(unittest.TestCase):
    """Small fleets, whose figures are equal in every run."""

    @parameterized.expand((('homes', 0.9, 1.1), ('all to all', 1.5, 3)))
    def test_partition(self, way, minimum, maximum):
        name = 'cut, everywhere, 2x'
        figures = rates_scenarios.measure(name, way, _ROUTERS, 1)
        self.assertGreater(figures['most in 60 s'], minimum)
        self.assertLess(figures['most in 60 s'], maximum)
        repeated = rates_scenarios.measure(name, way, _ROUTERS, 1)
        self.assertEqual(figures, repeated)

    @parameterized.expand((('12 teams at 2x', 50), ('400 teams at 0.1x', 100)))
    def test_messages_of_a_small_fleet(self, load, admitted):
        figures = rates_cost.measure(load, 'homes', _ROUTERS, 1)
        baseline = rates_cost.measure(load, 'all to all', _ROUTERS, 1)
        self.assertEqual(figures['messages a second'], _ROUTERS - 1)
        self.assertLess(figures['bytes a second'], baseline['bytes a second'])
        self.assertAlmostEqual(figures['admitted %'], admitted, delta=1)
