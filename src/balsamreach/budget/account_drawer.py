"""Draws on a team's account for waiting requests, within a time limit."""

import asyncio
from functools import partial

import attrs

from balsamreach.budget.book import LedgerBook
from balsamreach.budget.faults import (
    NO_ALLOTMENT,
    BudgetFault,
    insufficient_tokens,
)
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.budget.reporting import UsageReporter
from balsamreach.budget.sizing import Sizing

#: Seconds after a failure during which no request causes a draw.
FAILURE_BACKOFF_S = 2
#: Longest wait for a draw; even a busy table service answers within it.
DRAW_TIMEOUT_S = 2.0
_MAX_TRIES = 3


@attrs.define
class AccountDrawer:
    """Draws for waiting requests and reports the resulting use.

    Parameters
    ----------
    book, sizing
        The ledgers, and the sizes of draws.
    backoff : float
        Seconds after a failure during which the table service isn't asked.
    timeout : float
        Seconds after which a draw is no longer waited for and peers are
        asked; a service that stopped answering would delay callers for far
        longer.
    reporter : UsageReporter or None
        Reports what requests will use; None where routers don't report.
    """

    book: LedgerBook
    sizing: Sizing
    backoff: float = FAILURE_BACKOFF_S
    timeout: float = DRAW_TIMEOUT_S
    reporter: UsageReporter | None = None
    _backoff_until: float = 0

    async def draw(self, ledger: Ledger) -> BudgetFault | None:
        """Draw for the waiting requests, and report what they need.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.

        Returns
        -------
        BudgetFault or None
            Why too few tokens were drawn, as far as that is known when the
            time is over.
        """
        # The report need not wait for the draw: it covers what the waiting
        # requests need, whether the account or a peer grants it.
        tasks = [asyncio.ensure_future(self._draw(ledger))]
        if self.reporter is not None and not self.is_backing_off():
            tasks.append(asyncio.ensure_future(self._report()))
        _done, pending = await asyncio.wait(tasks, timeout=self.timeout)
        if pending:
            return NO_ALLOTMENT.because('the draw takes too long')
        faults = [task.result() for task in tasks]
        return next(filter(None, faults), None)

    def is_backing_off(self) -> bool:
        """Return whether the table service isn't asked after a failure."""
        return self.book.clock.now() < self._backoff_until

    async def _report(self) -> BudgetFault | None:
        if await self.reporter.report():
            return None
        fault = NO_ALLOTMENT.because('what requests need is not reported')
        self._note_fault(fault)
        return fault

    async def _draw(self, ledger: Ledger) -> BudgetFault | None:
        if ledger.shortfall <= 0:
            return None
        if self.is_backing_off():
            return NO_ALLOTMENT.because('the table service is away')
        if self.sizing.is_account_empty(ledger):
            return insufficient_tokens(ledger.team)
        for _ in range(_MAX_TRIES):
            outcome = await self.book.apply_moves(
                partial(self._moves, ledger), ledger.team
            )
            if isinstance(outcome, BudgetFault):
                self._note_fault(outcome)
                return outcome
            moved = outcome.get(ledger.team)
            if isinstance(moved, BudgetFault):
                return moved
            if not ledger.queue or ledger.shortfall <= 0:
                return None
        return None

    def _moves(self, ledger: Ledger) -> tuple[Move, ...]:
        if not ledger.queue or ledger.shortfall <= 0:
            return ()
        return (self.sizing.draw_for_queue(ledger),)

    def _note_fault(self, fault: BudgetFault) -> None:
        if fault == NO_ALLOTMENT:
            self._backoff_until = self.book.clock.now() + self.backoff
