"""Draws on a team's account for requests that wait."""

import asyncio
from functools import partial

import attrs

from balsamreach.budget.book import Book
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault, too_little
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.budget.reporting import Reporter
from balsamreach.budget.sizing import Sizing

#: After a failure the table service is not asked for a request's sake.
AWAY_S = 2
#: Longest wait for a draw alone; a busy table service answers within it.
PATIENCE_S = 2.0
_TRIES = 3


@attrs.define
class Drawing:
    """Draws, and reports what is drawn for, within a bound of time.

    Parameters
    ----------
    book, sizing
        The parts that drawing takes.
    away : float
        Seconds for which the table service isn't asked after a failure.
    patience : float
        Seconds after which a draw is left to itself and peers are asked; a
        service that went away silently answers nothing for far longer.
    reporter : Reporter or None
        Reports what requests will use; None where nobody reports.
    """

    book: Book
    sizing: Sizing
    away: float = AWAY_S
    patience: float = PATIENCE_S
    reporter: Reporter | None = None
    _away_until: float = 0

    async def draw(self, ledger: Ledger) -> BudgetFault | None:
        """Draw for the requests that wait, and report what they need.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.

        Returns
        -------
        BudgetFault or None
            Why too little came, as far as it is known by then.
        """
        # A report is of use before the draw has come: it promises what the
        # requests that wait need, whoever grants it.
        works = [asyncio.ensure_future(self._draw(ledger))]
        if self.reporter is not None and not self.is_away():
            works.append(asyncio.ensure_future(self._report()))
        _done, late = await asyncio.wait(works, timeout=self.patience)
        if late:
            return NO_ALLOTMENT.because('the draw takes too long')
        faults = [work.result() for work in works]
        return next(filter(None, faults), None)

    def is_away(self) -> bool:
        """Return whether the table service is left alone after a failure."""
        return self.book.clock.now() < self._away_until

    async def _report(self) -> BudgetFault | None:
        if await self.reporter.report():
            return None
        fault = NO_ALLOTMENT.because('what requests need is not reported')
        self._note(fault)
        return fault

    async def _draw(self, ledger: Ledger) -> BudgetFault | None:
        if ledger.missing <= 0:
            return None
        if self.is_away():
            return NO_ALLOTMENT.because('the table service is away')
        if self.sizing.is_empty(ledger):
            return too_little(ledger.team)
        for _ in range(_TRIES):
            outcome = await self.book.move(partial(self._wanted, ledger))
            if isinstance(outcome, BudgetFault):
                self._note(outcome)
                return outcome
            moved = outcome.get(ledger.team)
            if isinstance(moved, BudgetFault):
                return moved
            if not ledger.queue or ledger.missing <= 0:
                return None
        return None

    def _wanted(self, ledger: Ledger) -> tuple[Move, ...]:
        if not ledger.queue or ledger.missing <= 0:
            return ()
        return (self.sizing.for_queue(ledger),)

    def _note(self, fault: BudgetFault) -> None:
        if fault == NO_ALLOTMENT:
            self._away_until = self.book.clock.now() + self.away
