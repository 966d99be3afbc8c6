"""Tests of predicted first events and of the cost to running requests."""

import math
import unittest

from parameterized import parameterized

from balsamreach.placement.first_event import (
    first_event_ms,
    late_after_ms,
    lateness_cost_ms,
    running_cost_ms,
)


class FirstEventTest(unittest.TestCase):
    """The predictions follow the formulas of docs/design/uneven-load.md."""

    @parameterized.expand(
        (
            ('idle', 0, 0, 100, 0, 30),
            ('own tokens', 0, 8000, 40, 0, 230),
            ('queue of other zone', 4000, 4000, 100, 4, 114),
        )
    )
    def test_time(self, _, queued, uncached, speed, distance, expected):
        found = first_event_ms(queued, uncached, speed, distance)
        self.assertEqual(found, expected)

    @parameterized.expand((('on time', 400, 0), ('close', 450, 200)))
    def test_lateness(self, _, first_ms, expected):
        found = lateness_cost_ms(first_ms, late_after_ms(0.5))
        self.assertEqual(found, expected)

    @parameterized.expand(
        (
            ('nobody runs', 0, 1000, 0),
            ('short prompt', 4, 100, 32),
            ('long prompt', 4, 1000, 320),
        )
    )
    def test_running(self, _, running, read_ms, expected):
        found = running_cost_ms(read_ms, running)
        self.assertTrue(math.isclose(found, expected), found)
