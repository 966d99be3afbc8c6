"""Hands a leaving router's tokens over to a peer during an outage.

A router that leaves while the table service is away can't return its tokens.
Where the tokens of dead routers count as spent, these would be lost, and
teams would be out of budget after a rolling restart. So they are lent to a
peer that stays.
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
class TokenHandover:
    """Makes loans that no peer asked for, and takes those of peers.

    Parameters
    ----------
    loans : Loans
        The loans of this router.
    """

    loans: Loans

    def __attrs_post_init__(self) -> None:
        """Register the message handler."""
        self.loans.net.on(LoanGrant, self._handle_grant)

    async def hand_over(self, ledger: Ledger) -> int:
        """Lend all idle tokens to a peer that stays.

        Returns
        -------
        int
            Tokens that a peer has taken.
        """
        for member in self.loans.peers_to_ask(ledger.team):
            loan_id = new_loan_id(self.loans.rng)
            tokens = ledger.lend(loan_id, ledger.unspent_granted)
            if tokens <= 0:
                return 0
            grant = LoanGrant(loan_id, ledger.team, tokens)
            answer = await self.loans.net.ask(member.incarnation, grant)
            if isinstance(answer, Done):
                self.loans.book.metrics.count(LENT, tokens)
                return tokens
            if answer != NOT_CONNECTED:
                # The peer may have taken the loan. Lent to another peer as
                # well, the tokens could be spent twice.
                return 0
            ledger.cancel_loan(loan_id)
        return 0

    async def _handle_grant(self, member: Member, grant: LoanGrant) -> Done:
        ledger = self.loans.book.ledger(grant.team)
        loan = Loan(grant.loan_id, member.incarnation, grant.tokens)
        ledger.borrowed[grant.loan_id] = loan
        ledger.serve_queue()
        self.loans.book.metrics.count(BORROWED, loan.tokens)
        return Done()
