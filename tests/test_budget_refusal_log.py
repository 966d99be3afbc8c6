"""Tests of the log lines for requests that got no tokens."""

import unittest

from parameterized import parameterized

from balsamreach.budget.faults import NO_ALLOTMENT
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.rate import Rate
from balsamreach.budget.refusal_log import RefusalLog
from tests.support import FakeClock

_LOGGER = 'balsamreach.budget.refusal_log'


class RefusalLogTests(unittest.TestCase):
    """Refusals of a team come in bursts of hundreds."""

    @parameterized.expand(
        (
            ('one burst', (0, 0.1, 0.9), [0]),
            ('two seconds', (0, 0.5, 1.2), [0, 1]),
            ('far apart', (0, 2, 4), [0, 0, 0]),
        ),
    )
    def test_lines_are_bounded(self, _name, times, omitted):
        """An unbounded log would use the processor time that requests need."""
        clock = FakeClock()
        log = RefusalLog(clock)
        ledger = Ledger('team', Rate(0, 1))
        with self.assertLogs(_LOGGER) as logs:
            for moment in times:
                clock.seconds = moment
                log.record(
                    ledger,
                    10,
                    NO_ALLOTMENT.because('late'),
                    is_backing_off=False,
                )
            found = [line.event_fields['omitted'] for line in logs.records]
            self.assertEqual(found, omitted)
            self.assertEqual(
                logs.records[0].event_fields['reason'], 'no_allotment: late'
            )
