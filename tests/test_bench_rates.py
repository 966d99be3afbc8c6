"""Tests of the rate-limit benchmark; counts in virtual time are checked."""

import unittest

from parameterized import parameterized

from bench import rates_cost, rates_scenarios

_ROUTERS = 8


class RatesBenchTest(unittest.TestCase):
    """Small fleets, whose figures are the same in every run."""

    @parameterized.expand((('homes', 0.9, 1.1), ('all to all', 1.5, 3)))
    def test_rate_during_partition(self, scheme, lower_limit, upper_limit):
        name = 'cut, everywhere, 2x'
        figures = rates_scenarios.measure(name, scheme, _ROUTERS, 1)
        self.assertGreater(figures['most in 60 s'], lower_limit)
        self.assertLess(figures['most in 60 s'], upper_limit)
        repeated = rates_scenarios.measure(name, scheme, _ROUTERS, 1)
        self.assertEqual(figures, repeated)

    @parameterized.expand((('12 teams at 2x', 50), ('400 teams at 0.1x', 100)))
    def test_message_rate_of_small_fleet(self, load, admitted):
        figures = rates_cost.measure(load, 'homes', _ROUTERS, 1)
        baseline = rates_cost.measure(load, 'all to all', _ROUTERS, 1)
        self.assertEqual(figures['messages a second'], _ROUTERS - 1)
        self.assertLess(figures['bytes a second'], baseline['bytes a second'])
        self.assertAlmostEqual(figures['admitted %'], admitted, delta=1)
