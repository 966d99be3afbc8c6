"""Passes on what a router holds that leaves while the store is away.

It can't hand its tokens back then. Where dead routers' tokens count as spent
they would be lost with it; it shows as teams that are out of budget after a
rolling restart.
"""

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.loans import BORROWED, LENT, Loans, new_loan_id
from balsamreach.peers.faults import NOT_CONNECTED
from balsamreach.wire.loans import LoanGrant
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done


@attrs.define
class Gifts:
    """Loans that nobody asked for.

    Parameters
    ----------
    loans : Loans
        The loans of this router.
    """

    loans: Loans

    def __attrs_post_init__(self) -> None:
        """Take the gifts of peers."""
        self.loans.net.on(LoanGrant, self._take)

    async def give_away(self, ledger: Ledger) -> int:
        """Lend all that is idle to a peer that goes on.

        Returns
        -------
        int
            Tokens that a peer has taken.
        """
        for member in self.loans.lenders(ledger.team):
            gift_id = new_loan_id(self.loans.rng)
            tokens = ledger.lend(gift_id, ledger.own)
            if tokens <= 0:
                return 0
            gift = LoanGrant(gift_id, ledger.team, tokens)
            answer = await self.loans.net.ask(member.incarnation, gift)
            if isinstance(answer, Done):
                self.loans.book.metrics.count(LENT, tokens)
                return tokens
            if answer != NOT_CONNECTED:
                # It may have been taken. Given to another peer as well, the
                # tokens would be there twice.
                return 0
            ledger.cancel_loan(gift_id)
        return 0

    async def _take(self, member: Member, gift: LoanGrant) -> Done:
        ledger = self.loans.book.ledger(gift.team)
        loan = Loan(gift.loan_id, member.incarnation, gift.tokens)
        ledger.borrowed[gift.loan_id] = loan
        ledger.hand_out()
        self.loans.book.metrics.count(BORROWED, loan.tokens)
        return Done()
