"""Tests of the reports that limit a router's use of tokens."""

import unittest

from parameterized import parameterized

from balsamreach.budget.usage_reports import (
    Allowance,
    OpeningSchedule,
    UsageReport,
    decode_report,
    encode_report,
)

_SCHEDULE = OpeningSchedule(patience=1, opening=4)
_REPORT = UsageReport(3, 1234.5, _SCHEDULE, {'team': Allowance(100, 500)})


class ReportTest(unittest.TestCase):
    """Usable tokens grow with the age of a report, up to the maximum."""

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
    def test_allowed(self, _name, age, expected):
        self.assertEqual(_REPORT.allowed('team', age), expected)

    def test_unreported_team_may_use_nothing(self):
        self.assertEqual(_REPORT.allowed('other', 3600), 0)

    def test_more_in_use_than_granted(self):
        # Borrowed tokens are in use before they are granted here.
        self.assertEqual(Allowance(900, 500).allowed(1), 900)

    def test_row(self):
        self.assertEqual(decode_report(encode_report(_REPORT)), _REPORT)
