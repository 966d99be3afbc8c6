"""Sizes of draws and returns."""

import unittest

from parameterized import parameterized

from balsamreach.budget.account import (
    Account,
    Allotment,
    Loan,
    account_key,
    allotment_key,
    encode,
)
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move, Records, plan_move
from balsamreach.budget.rate import Rate
from balsamreach.budget.sizing import Sizing
from balsamreach.services.base import Row
from tests.budget_world import SETTINGS, VirtualClock


class SpentLoanTest(unittest.TestCase):
    """Symptom: more is taken from a budget than was prepaid.

    Sequence: a cut-off router spends a part of a loan, its requests cease,
    and it reaches the service again before the loan is recorded. Cause: what
    it has of its own, less than nothing until then, goes back as idle tokens:
    a draw that nobody compares with what is free.
    """

    def test_nothing_goes_back(self):
        clock = VirtualClock()
        ledger = Ledger('team', Rate(clock.now()), granted=100, billed=598)
        ledger.borrowed['loan'] = Loan('loan', 'lender', 865)
        move = Sizing(SETTINGS, clock).in_background(ledger)
        self.assertEqual(move.back, 0)
        self.assertEqual(ledger.returning, 0)
        self.assertEqual(len(move.loans), 1)

    @parameterized.expand([(-498, 0), (50, 50), (5000, 100)])
    def test_return_is_bounded(self, back, expected):
        account = encode(Account(prepaid=1000, taken=1000))
        own = encode(Allotment(granted=100, seq=1))
        records = Records(
            number=2,
            at=0,
            account=Row(account_key('team'), 1, account),
            own=Row(allotment_key('a', 'team'), 1, own),
        )
        move = Move(team='team', back=back, confirm=True)
        plan = plan_move(move, records)
        self.assertEqual(plan.moved.allotment.granted, 100 - expected)
        # What a move leaves as it is need not be written.
        written = {write.key: write.value for write in plan.writes}
        after = written.get(account_key('team'), account)
        self.assertEqual(after['taken'], 1000 - expected)
