"""Tests of what routers say beforehand of their tokens."""

import unittest

from parameterized import parameterized

from balsamreach.budget.promises import (
    Pace,
    Promise,
    Report,
    decode_report,
    encode_report,
)

_PACE = Pace(patience=1, opening=4)
_REPORT = Report(3, 1234.5, _PACE, {'team': Promise(100, 500)})


class ReportTest(unittest.TestCase):
    """What is usable grows with the silence, and never beyond all."""

    @parameterized.expand(
        [
            ('fresh', 0, 100),
            ('within the patience', 1, 100),
            ('a quarter is open', 2, 200),
            ('rounded up', 2.001, 201),
            ('all is open', 5, 500),
            ('long silent', 3600, 500),
            ('a clock that seems to run back', -5, 100),
        ]
    )
    def test_allowed(self, _name, silence, expected):
        self.assertEqual(_REPORT.allowed('team', silence), expected)

    def test_nothing_of_a_team_that_was_not_reported(self):
        self.assertEqual(_REPORT.allowed('other', 3600), 0)

    def test_more_in_use_than_granted(self):
        # Tokens on loan are in use before they are granted here.
        self.assertEqual(Promise(900, 500).allowed(1), 900)

    def test_row(self):
        self.assertEqual(decode_report(encode_report(_REPORT)), _REPORT)
