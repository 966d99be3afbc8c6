"""Tests of the desired number of hosts."""

import itertools
import unittest

from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.power.demand import Demand, Load

_CFG = read_settings(
    None,
    (
        'host.zone=zone-a',
        'power.utilisation=50%',
        'power.spare=1',
        'power.least=2',
        'power.idle=100s',
    ),
).power


class DemandTest(unittest.TestCase):
    """Hosts of four slots, half of which should be busy."""

    @parameterized.expand(
        (
            ('none', 0, 2),
            ('little', 2, 2),
            ('some', 5, 4),
            ('more', 20, 11),
        )
    )
    def test_need(self, _name, busy, desired):
        load = Load(busy, slots=80, hosts=20)
        self.assertEqual(Demand(_CFG).desired(load, 0), desired)

    def test_saturation_adds_half_of_the_hosts(self):
        load = Load(busy=8, slots=8, hosts=2)
        self.assertEqual(Demand(_CFG).desired(load, 0), 5)
        load = Load(busy=40, slots=40, hosts=10)
        self.assertEqual(Demand(_CFG).desired(load, 0), 21)

    def test_decreases_only_after_the_idle_time(self):
        demand = Demand(_CFG)
        full = Load(20, slots=80, hosts=20)
        empty = Load(0, slots=80, hosts=20)
        self.assertEqual(demand.desired(full, 0), 11)
        self.assertEqual(demand.desired(empty, 99), 11)
        self.assertEqual(demand.desired(empty, 100), 2)

    def test_fast_swings_change_nothing(self):
        """Guards against hosts that start and stop all day.

        Demand is high and low in turn, each for 40 seconds; without a window
        each low would release hosts.
        """
        demand = Demand(_CFG)
        numbers = {
            demand.desired(Load(busy, slots=80, hosts=20), 40 * step)
            for step, busy in enumerate(
                itertools.islice(itertools.cycle((20, 2)), 40)
            )
        }
        self.assertEqual(numbers, {11})
