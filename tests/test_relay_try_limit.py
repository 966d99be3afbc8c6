"""Tests of the limit of attempts."""

import unittest

from parameterized import parameterized

from balsamreach.dispatch.upstream import BROKEN, NOT_SENT, ConnectFailure
from balsamreach.relay.try_limit import TryLimit

_REFUSED = NOT_SENT.because_of(ConnectFailure.REFUSED, 'refused')
_TIMED_OUT = NOT_SENT.because_of(ConnectFailure.TIMED_OUT, 'timed out')


class TryLimitTest(unittest.TestCase):
    """Only refused connections allow more than four attempts.

    A fifth of the engines crashes, and requests are rejected after four
    refused connections although most engines work. Time-outs take so long
    that more of them would only make the rejection late.
    """

    @parameterized.expand(
        (
            ('refused', _REFUSED, 0.004, 8),
            ('refused_slowly', _REFUSED, 0.1, 4),
            ('timed_out', _TIMED_OUT, 0.004, 4),
            ('unknown_cause', NOT_SENT, 0.004, 4),
            ('broken', BROKEN, 0.004, 4),
            ('answered', None, 0.004, 4),
        )
    )
    def test_attempts(self, _, end, seconds, attempts):
        """Guards against early refusals and endless attempts."""
        limit = TryLimit(0, aim=1)
        made = 0
        while limit.allows(made * seconds):
            limit.record(end)
            made += 1
        self.assertEqual(made, attempts)

    def test_fleet_that_shares_no_failures(self):
        """Small fleets keep their four attempts."""
        limit = TryLimit(0, aim=1, extends_refused=False)
        for _ in range(4):
            self.assertTrue(limit.allows(0))
            limit.record(_REFUSED)
        self.assertFalse(limit.allows(0))
