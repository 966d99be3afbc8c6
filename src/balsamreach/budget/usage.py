"""What a router may use of a team's tokens by what it has reported."""

from typing import TYPE_CHECKING, Protocol

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.promises import Promise

if TYPE_CHECKING:
    from balsamreach.budget.ledger import Ledger


class Limit(Protocol):
    """Tells how many of a team's tokens a router may have in use."""

    def __call__(self, team: str, ahead: float = 0) -> int:
        """Return it for so many seconds from now."""


@attrs.define(eq=False)
class Usage:
    """Bounds one ledger by the router's reports.

    Parameters
    ----------
    limit : callable
        Tells how much may be in use.
    """

    limit: Limit
    _recording: set[str] = attrs.field(factory=set)

    def own_room(self, ledger: 'Ledger') -> int:
        """Return what may be used of the tokens granted here."""
        return self.limit(ledger.team) - in_use(ledger)

    def room(self, ledger: 'Ledger', ahead: float = 0) -> int:
        """Return what may be used, loans included.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        ahead : float
            Seconds from now.
        """
        # What was borrowed is part of the lender's report until it is
        # recorded here.
        borrowed = sum(
            loan.tokens
            for loan in ledger.borrowed.values()
            if loan.loan_id not in self._recording
        )
        return self.limit(ledger.team, ahead) + borrowed - in_use(ledger)

    def recordable(self, ledger: 'Ledger') -> tuple[Loan, ...]:
        """Return the loans that may be recorded now.

        A recorded loan is granted here, and a successor gives back what is
        granted beyond the last report. Were a loan recorded whose spending
        isn't reported yet, it would be given back and spent twice.
        """
        self._recording.intersection_update(ledger.borrowed)
        if self.own_room(ledger) >= 0:
            self._recording.update(ledger.borrowed)
        return tuple(
            loan
            for loan in ledger.borrowed.values()
            if loan.loan_id in self._recording
        )


def in_use(ledger: 'Ledger') -> int:
    """Return tokens billed, set aside or lent, over all time."""
    return ledger.billed + ledger.reserved + ledger.lent


def promise(ledger: 'Ledger', ahead: int) -> Promise:
    """Return what a router is to report of a team.

    Parameters
    ----------
    ledger : Ledger
        The team's ledger.
    ahead : int
        Tokens that requests will need before the next report.
    """
    used = in_use(ledger) + ledger.queue.tokens + ledger.asked + ahead
    return Promise(used, max(used, ledger.granted))
