"""Gets tokens for a request that this router's allotment does not cover."""

import asyncio
from functools import partial

import attrs

from balsamreach.budget.book import Book
from balsamreach.budget.faults import (
    EXHAUSTED,
    NO_ALLOTMENT,
    BudgetFault,
)
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.loans import Loans
from balsamreach.budget.moves import Move
from balsamreach.budget.sizing import Sizing
from balsamreach.config.settings import BudgetSettings

#: A refusal answers the team's next requests of that size for so long.
REFUSAL_S = 1
#: After a failure the table service is not asked for a request's sake.
AWAY_S = 2
_TRIES = 3


@attrs.frozen
class _Refusal:
    tokens: int
    until: float
    fault: BudgetFault


@attrs.define
class Obtainer:
    """Draws, and borrows where that fails, for requests that wait.

    Parameters
    ----------
    book, sizing
        The parts that drawing takes.
    loans : Loans or None
        None for a router without peers.
    cfg : BudgetSettings
        Longest wait.
    """

    book: Book
    sizing: Sizing
    loans: Loans | None
    cfg: BudgetSettings
    _away_until: float = 0
    _refusals: dict[str, _Refusal] = attrs.field(factory=dict)
    _locks: dict[str, asyncio.Lock] = attrs.field(factory=dict)

    async def obtain(self, ledger: Ledger, tokens: int) -> BudgetFault | None:
        """Try to get a team's ledger to cover a request.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        tokens : int
            What the request needs.

        Returns
        -------
        BudgetFault or None
            Why the ledger does not cover it; None if it did when the wait
            ended, which is to be looked at again.
        """
        known = self._known(ledger, tokens)
        if known is not None:
            return known
        work = asyncio.ensure_future(self._obtain(ledger, tokens))
        # The draw goes on if the wait or the caller ends: what it brings is
        # of use to the next request.
        await asyncio.wait({work}, timeout=self.cfg.draw_wait)
        if work.done():
            return work.result()
        return NO_ALLOTMENT.because('the draw takes too long')

    def _known(self, ledger: Ledger, tokens: int) -> BudgetFault | None:
        # Without this every request of a team that has spent its budget
        # would cost the table service a read and each peer a message.
        refusal = self._refusals.get(ledger.team)
        if refusal is None or self.book.clock.now() >= refusal.until:
            return None
        return refusal.fault if tokens >= refusal.tokens else None

    async def _obtain(self, ledger: Ledger, tokens: int) -> BudgetFault | None:
        async with self._locks.setdefault(ledger.team, asyncio.Lock()):
            # Others waited for the same lock and may have been refused.
            known = self._known(ledger, tokens)
            if known is not None or ledger.available >= tokens:
                return known
            fault = await self._draw(ledger, tokens)
            if fault in {EXHAUSTED, NO_ALLOTMENT}:
                await self._borrow(ledger, tokens)
            if ledger.available >= tokens:
                return None
            fault = fault or NO_ALLOTMENT.because('the draw brought too little')
            self._refusals[ledger.team] = _Refusal(
                tokens,
                self.book.clock.now() + REFUSAL_S,
                fault,
            )
            return fault

    async def _draw(self, ledger: Ledger, tokens: int) -> BudgetFault | None:
        if self.book.clock.now() < self._away_until:
            return NO_ALLOTMENT.because('the table service is away')
        for _ in range(_TRIES):
            outcome = await self.book.move(
                partial(self._wanted, ledger, tokens),
            )
            if isinstance(outcome, BudgetFault):
                self._note(outcome)
                return outcome
            if isinstance(outcome.get(ledger.team), BudgetFault):
                return outcome[ledger.team]
            if ledger.available >= tokens:
                return None
        return None

    def _wanted(self, ledger: Ledger, tokens: int) -> tuple[Move, ...]:
        if ledger.available >= tokens:
            return ()
        return (self.sizing.for_request(ledger, tokens),)

    async def _borrow(self, ledger: Ledger, tokens: int) -> None:
        if self.loans is None:
            return
        await self.loans.borrow(ledger, tokens)
        # A strict router spends a loan only once it is recorded.
        if ledger.borrowed and ledger.available < tokens:
            await self.book.move(lambda: (self.sizing.for_loans(ledger),))

    def _note(self, fault: BudgetFault) -> None:
        if fault == NO_ALLOTMENT:
            self._away_until = self.book.clock.now() + AWAY_S
