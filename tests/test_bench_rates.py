"""Small runs of the rate limit benchmark in virtual time."""

import unittest

from parameterized import parameterized

from bench import rates_cost, rates_scenarios

_ROUTERS = 8


class RatesBenchTest(unittest.TestCase):
    """Small fleets, whose figures are equal in every run."""

    @parameterized.expand((('homes', 0.9, 1.1), ('all to all', 1.5, 3)))
    def test_sides_of_a_cut(self, way, least, most):
        name = 'cut, everywhere, 2x'
        found = rates_scenarios.measure(name, way, _ROUTERS, 1)
        self.assertGreater(found['most in 60 s'], least)
        self.assertLess(found['most in 60 s'], most)
        again = rates_scenarios.measure(name, way, _ROUTERS, 1)
        self.assertEqual(found, again)

    @parameterized.expand((('12 teams at 2x', 50), ('400 teams at 0.1x', 100)))
    def test_words_of_a_small_fleet(self, load, admitted):
        found = rates_cost.measure(load, 'homes', _ROUTERS, 1)
        former = rates_cost.measure(load, 'all to all', _ROUTERS, 1)
        self.assertEqual(found['messages a second'], _ROUTERS - 1)
        self.assertLess(found['bytes a second'], former['bytes a second'])
        self.assertAlmostEqual(found['admitted %'], admitted, delta=1)
