"""Gets tokens for a request that this router's allotment does not cover."""

import asyncio

import attrs

from balsamreach.budget.book import Book
from balsamreach.budget.drawing import Drawing
from balsamreach.budget.faults import (
    CONTENDED,
    EXHAUSTED,
    NO_ALLOTMENT,
    BudgetFault,
)
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.loans import Loans
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.waiters import Waiter
from balsamreach.config.settings import BudgetSettings

#: A refusal answers the team's next requests of that size for so long.
REFUSAL_S = 1
#: The same while requests in progress may give tokens back.
BRIEF_REFUSAL_S = 0.05
#: Time for tokens that are on their way between routers to arrive.
PAUSE_S = 0.01
#: The same where they open with this router's silence alone.
_OPENING_PAUSE_S = 0.05
#: Faults of a draw after which peers are asked.
_BORROWS = frozenset((EXHAUSTED, NO_ALLOTMENT, CONTENDED))


@attrs.frozen
class _Refusal:
    tokens: int
    until: float
    fault: BudgetFault


@attrs.frozen
class _Brought:
    """What a try to bring tokens came to.

    Parameters
    ----------
    fault : BudgetFault
        Why requests that wait still are refused.
    reach : int
        Tokens that are left here and at peers; a request that needs no more
        may get them yet.
    reserved : int
        Tokens set aside for requests in progress, here and at peers.
    """

    fault: BudgetFault
    reach: int = 0
    reserved: int = 0


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
    drawing : Drawing
        Draws on the account.
    """

    book: Book
    sizing: Sizing
    loans: Loans | None
    cfg: BudgetSettings
    drawing: Drawing
    _refusals: dict[str, _Refusal] = attrs.field(factory=dict)
    _workers: dict[str, asyncio.Task] = attrs.field(factory=dict)

    async def obtain(
        self,
        ledger: Ledger,
        tokens: int,
    ) -> Reservation | BudgetFault:
        """Wait until a request's tokens are reserved, or can't be had.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        tokens : int
            What the request needs.

        Returns
        -------
        Reservation or BudgetFault
            A fault comes within ``draw_wait``.
        """
        known = self._known(ledger, tokens)
        if known is not None:
            return known
        waiter = ledger.queue.add(tokens)
        self._work(ledger)
        try:
            await asyncio.wait({waiter.outcome}, timeout=self.cfg.draw_wait)
        except asyncio.CancelledError:
            # The draw goes on: what it brings is of use to the next request.
            reservation = self._leave(ledger, waiter)
            if isinstance(reservation, Reservation):
                ledger.release(reservation)
            raise
        obtained = self._leave(ledger, waiter)
        if isinstance(obtained, Reservation):
            ledger.rate.add(tokens, self.book.clock.now())
        return obtained

    def _leave(
        self,
        ledger: Ledger,
        waiter: Waiter,
    ) -> Reservation | BudgetFault:
        if waiter in ledger.queue:
            fault = NO_ALLOTMENT.because('the draw takes too long')
            ledger.queue.resolve(waiter, fault)
        return waiter.outcome.result()

    def _known(self, ledger: Ledger, tokens: int) -> BudgetFault | None:
        # Without this every request of a team that has spent its budget
        # would cost the table service a read and each peer a message.
        refusal = self._refusals.get(ledger.team)
        if refusal is None or self.book.clock.now() >= refusal.until:
            return None
        return refusal.fault if tokens >= refusal.tokens else None

    def _work(self, ledger: Ledger) -> None:
        # One task brings tokens for all requests of a team that wait. Were
        # each to draw for itself, they would queue up behind each other's
        # commits until ``draw_wait`` is over.
        work = self._workers.get(ledger.team)
        if work is None or work.done():
            self._workers[ledger.team] = asyncio.ensure_future(
                self._bring_all(ledger),
            )

    async def _bring_all(self, ledger: Ledger) -> None:
        doubted: list[Waiter] = []
        while ledger.queue:
            ledger.hand_out()
            self._refuse_known(ledger)
            asking = ledger.queue.waiters.copy()
            if not asking:
                return
            brought = await self._bring(ledger)
            # Who came while this was under way gets a try of its own.
            left = [waiter for waiter in asking if waiter in ledger.queue]
            beyond = [one for one in left if one.tokens > brought.reach]
            lost = [
                one for one in beyond if one in doubted or not brought.reserved
            ]
            doubted = beyond
            self._refuse(ledger, lost, brought)
            if len(left) > len(lost):
                await self.book.clock.sleep(self._pause())

    def _refuse_known(self, ledger: Ledger) -> None:
        for waiter in tuple(ledger.queue.waiters):
            known = self._known(ledger, waiter.tokens)
            if known is not None:
                ledger.queue.resolve(waiter, known)

    def _refuse(
        self,
        ledger: Ledger,
        waiters: list[Waiter],
        brought: _Brought,
    ) -> None:
        if not waiters:
            return
        smallest = min(waiter.tokens for waiter in waiters)
        # Requests in progress give back what they don't use. While that may
        # be enough, an answer holds hardly for a moment.
        hopeless = brought.reach + brought.reserved < smallest
        span = REFUSAL_S if hopeless else BRIEF_REFUSAL_S
        self._refusals[ledger.team] = _Refusal(
            smallest,
            self.book.clock.now() + span,
            brought.fault,
        )
        for waiter in waiters:
            ledger.queue.resolve(waiter, brought.fault)

    async def _bring(self, ledger: Ledger) -> _Brought:
        fault = await self.drawing.draw(ledger)
        fault = fault or NO_ALLOTMENT.because('too few tokens came')
        if not ledger.queue or self.loans is None or fault not in _BORROWS:
            return _Brought(fault)
        found = await self.loans.borrow(ledger)
        # A strict router spends a loan only once it is recorded, and the
        # tokens of a loan can be lent on only then.
        if ledger.borrowed and not self.drawing.is_backing_off():
            await self.book.move(lambda: (self.sizing.for_loans(ledger),))
        if fault != EXHAUSTED:
            return _Brought(fault, self._opens(ledger))
        reach = found.left + ledger.own + ledger.unrecorded
        if found.more:
            reach = ledger.queue.tokens
        return _Brought(fault, reach, found.reserved + ledger.reserved)

    def _pause(self) -> float:
        return _OPENING_PAUSE_S if self.drawing.is_backing_off() else PAUSE_S

    def _opens(self, ledger: Ledger) -> int:
        # What opens while a request may wait is worth waiting for.
        if ledger.limiter is None:
            return 0
        room = ledger.limiter.room(ledger, self.cfg.draw_wait)
        return min(ledger.available, room)
