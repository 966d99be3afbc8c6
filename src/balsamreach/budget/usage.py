"""Limits a router's use of a team's tokens to what it has reported."""

from typing import TYPE_CHECKING, Protocol

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.usage_reports import Allowance

if TYPE_CHECKING:
    from balsamreach.budget.ledger import Ledger


class UsageLimit(Protocol):
    """Returns how many of a team's tokens this router may have in use."""

    def __call__(self, team: str, seconds_ahead: float = 0) -> int:
        """Return the limit that holds in ``seconds_ahead`` seconds."""


@attrs.define(eq=False)
class UsageLimiter:
    """Applies the limit of the router's reports to one ledger.

    Parameters
    ----------
    limit : callable
        Returns how many tokens may be in use.
    """

    limit: UsageLimit
    _recording: set[str] = attrs.field(factory=set)

    def room_without_loans(self, ledger: 'Ledger') -> int:
        """Return how many more tokens may be used, loans taken left out."""
        return self.limit(ledger.team) - tokens_in_use(ledger)

    def room(self, ledger: 'Ledger', seconds_ahead: float = 0) -> int:
        """Return how many more tokens may be used, loans taken included.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        seconds_ahead : float
            Seconds from now at which the result holds.
        """
        # Borrowed tokens are covered by the lender's report until the loan
        # is recorded here.
        borrowed = sum(
            loan.tokens
            for loan in ledger.borrowed.values()
            if loan.loan_id not in self._recording
        )
        return (
            self.limit(ledger.team, seconds_ahead)
            + borrowed
            - tokens_in_use(ledger)
        )

    def recordable_loans(self, ledger: 'Ledger') -> tuple[Loan, ...]:
        """Return the loans that may be recorded now.

        The tokens of a recorded loan count as granted here, and a successor
        returns whatever is granted beyond the last report. If a loan were
        recorded before its spending is reported, its tokens would be
        returned and spent twice.
        """
        self._recording.intersection_update(ledger.borrowed)
        if self.room_without_loans(ledger) >= 0:
            self._recording.update(ledger.borrowed)
        return tuple(
            loan
            for loan in ledger.borrowed.values()
            if loan.loan_id in self._recording
        )


def tokens_in_use(ledger: 'Ledger') -> int:
    """Return the tokens billed, reserved or lent, over all time."""
    return ledger.billed + ledger.reserved + ledger.lent


def make_allowance(ledger: 'Ledger', expected: int) -> Allowance:
    """Return the allowance to report for a team.

    Parameters
    ----------
    ledger : Ledger
        The team's ledger.
    expected : int
        Tokens that new requests are expected to need before the next report.
    """
    used = (
        tokens_in_use(ledger)
        + ledger.queue.tokens
        + ledger.requested_by_peers
        + expected
    )
    return Allowance(used, max(used, ledger.granted))
