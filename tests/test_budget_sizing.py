"""Sizes of draws and returns."""

import unittest

from parameterized import parameterized

from balsamreach.budget.account import (
    Account,
    Allotment,
    Loan,
    account_key,
    allotment_key,
    encode_record,
)
from balsamreach.budget.homes import count_holders
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move, MoveRows, plan_move
from balsamreach.budget.rate import Rate
from balsamreach.budget.sizing import Sizing
from balsamreach.services.base import Row
from tests.budget_world import SETTINGS, VirtualClock
from tests.fake_net import FakeNet


class SpentLoanTest(unittest.TestCase):
    """Guards against taking more from a budget than was prepaid.

    A router that is cut off spends part of a loan, has no more requests and
    reaches the table service again before the loan is recorded. Until then
    its own tokens are negative. If these were returned as idle tokens, the
    return would be a draw that is not compared with what is free.
    """

    def test_negative_own_tokens_are_not_returned(self):
        clock = VirtualClock()
        ledger = Ledger('team', Rate(clock.now()), granted=100, billed=598)
        ledger.borrowed['loan'] = Loan('loan', 'lender', 865)
        move = Sizing(SETTINGS, clock).due_move(ledger)
        self.assertEqual(move.give_back, 0)
        self.assertEqual(ledger.returning, 0)
        self.assertEqual(len(move.loans), 1)

    @parameterized.expand([(-498, 0), (50, 50), (5000, 100)])
    def test_return_is_limited(self, give_back, expected):
        account = encode_record(Account(prepaid=1000, taken=1000))
        own = encode_record(Allotment(granted=100, seq=1))
        rows = MoveRows(
            attempt_number=2,
            wall_time=0,
            account=Row(account_key('team'), 1, account),
            own=Row(allotment_key('a', 'team'), 1, own),
        )
        move = Move(team='team', give_back=give_back, force_write=True)
        plan = plan_move(move, rows)
        self.assertEqual(plan.result.allotment.granted, 100 - expected)
        # A move need not write an account that it does not change.
        written = {write.key: write.value for write in plan.writes}
        after = written.get(account_key('team'), account)
        self.assertEqual(after['taken'], 1000 - expected)


class CountHoldersTest(unittest.TestCase):
    """Guards against a router that draws a third of a budget when cut off."""

    @parameterized.expand(
        [
            ('fleet starts', 2, 1, 0, 1),
            ('large fleet', 2, 9, 0, 1),
            ('large fleet, some dead', 2, 5, 4, 1),
            ('cut off', 2, 1, 8, 9),
            ('small fleet', 2, 1, 1, 1),
            ('no hubs', 0, 1, 8, 1),
            ('no hubs, several', 0, 4, 0, 4),
        ]
    )
    def test_count(self, _name, hubs, alive, dead, expected):
        network = FakeNet(hubs_per_zone=hubs)
        nets = [network.join(f'router-{one}') for one in range(alive + dead)]
        gone = tuple(net.me for net in nets[alive:])
        for member in gone:
            network.kill(member.incarnation)
        nets[0].dead = gone
        self.assertEqual(count_holders(nets[0]), expected)
