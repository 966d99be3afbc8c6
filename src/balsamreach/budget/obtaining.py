"""Obtains tokens for requests that this router's allotment doesn't cover."""

import asyncio

import attrs

from balsamreach.budget.account_drawer import AccountDrawer
from balsamreach.budget.book import LedgerBook
from balsamreach.budget.faults import (
    CONTENDED,
    EXHAUSTED,
    NO_ALLOTMENT,
    BudgetFault,
)
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.loans import Loans
from balsamreach.budget.refusal_log import RefusalLog
from balsamreach.budget.shortages import Shortages, arrived_tokens
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.waiters import Waiter
from balsamreach.config.settings import BudgetSettings

FAST_REFUSALS = 'balsamreach_budget_fast_refusals_total'

#: Seconds for which a refusal also answers the team's next requests of at
#: least that size.
REFUSAL_TTL_S = 1
#: The same while requests in progress may free tokens.
SHORT_REFUSAL_TTL_S = 0.05
#: Seconds to wait for tokens that are in transit between routers.
TRANSIT_PAUSE_S = 0.01
#: The same where tokens become usable only with the age of the last report.
_OPENING_PAUSE_S = 0.05
#: Faults of a draw after which peers are asked.
_FAULTS_TO_BORROW_AFTER = frozenset((EXHAUSTED, NO_ALLOTMENT, CONTENDED))


@attrs.frozen
class _Refusal:
    tokens: int
    until: float
    fault: BudgetFault


@attrs.frozen
class _TryResult:
    """Outcome of one try to get tokens for the waiting requests.

    Parameters
    ----------
    fault : BudgetFault
        Reason to refuse requests that still wait.
    reachable : int
        Tokens left here and at peers; a request that needs no more may still
        get them.
    reserved : int
        Tokens reserved for requests in progress, here and at peers.
    """

    fault: BudgetFault
    reachable: int = 0
    reserved: int = 0


@attrs.define
class Obtainer:
    """Draws, and borrows where that fails, for waiting requests.

    Parameters
    ----------
    book, sizing
        The ledgers, and the sizes of moves.
    loans : Loans or None
        None for a router without peers.
    cfg : BudgetSettings
        Longest wait.
    account_drawer : AccountDrawer
        Draws on the account.
    shortages : Shortages or None
        Refuses requests at once while none get tokens; None where each waits.
    """

    book: LedgerBook
    sizing: Sizing
    loans: Loans | None
    cfg: BudgetSettings
    account_drawer: AccountDrawer
    shortages: Shortages | None = None
    _refusals: dict[str, _Refusal] = attrs.field(factory=dict)
    _workers: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _refusal_log: RefusalLog = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the log of refusals."""
        self._refusal_log = RefusalLog(self.book.clock)

    async def obtain(
        self,
        ledger: Ledger,
        tokens: int,
        urgency: int = 0,
        max_wait: float | None = None,
    ) -> Reservation | BudgetFault:
        """Wait until a request's tokens are reserved or refused.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        tokens : int
            What the request needs.
        urgency : int
            Requests with a higher number are served first.
        max_wait : float or None
            Seconds that the request may wait if less than ``draw_wait``.

        Returns
        -------
        Reservation or BudgetFault
            A fault is returned within ``draw_wait``.
        """
        decided = self._decide_at_once(ledger, tokens)
        if decided is not None:
            return decided
        wait = self.cfg.draw_wait
        if max_wait is not None:
            wait = min(wait, max_wait)
        arrived = arrived_tokens(ledger)
        waiter = ledger.queue.add(tokens, urgency)
        self._start_worker(ledger)
        try:
            await asyncio.wait({waiter.outcome}, timeout=wait)
        except asyncio.CancelledError:
            # The draw goes on: its tokens can serve the next request.
            reservation = self._leave_queue(ledger, waiter)
            if isinstance(reservation, Reservation):
                ledger.release(reservation)
            raise
        obtained = self._leave_queue(ledger, waiter, arrived)
        if isinstance(obtained, Reservation):
            ledger.rate.add(tokens, self.book.clock.now())
        return obtained

    def _leave_queue(
        self,
        ledger: Ledger,
        waiter: Waiter,
        arrived: int | None = None,
    ) -> Reservation | BudgetFault:
        if waiter in ledger.queue:
            fault = NO_ALLOTMENT.because('the draw takes too long')
            if self.shortages is not None and arrived is not None:
                tokens_wait = self.shortages.note_late(ledger, arrived)
                fault = attrs.evolve(fault, tokens_wait=tokens_wait)
            self._resolve_refused(ledger, waiter, fault)
        return waiter.outcome.result()

    def _decide_at_once(
        self,
        ledger: Ledger,
        tokens: int,
    ) -> Reservation | BudgetFault | None:
        refusal = self._current_refusal(ledger, tokens)
        if refusal is not None or self.shortages is None:
            return refusal
        refusal = self.shortages.refusal(ledger)
        if refusal is None:
            return None
        # The waiting request may be a large one, and the tokens left enough
        # for a small one.
        reservation = ledger.reserve(tokens)
        if reservation is not None:
            ledger.rate.add(tokens, self.book.clock.now())
            return reservation
        self.book.metrics.count(FAST_REFUSALS)
        self._refusal_log.record(
            ledger,
            tokens,
            refusal,
            is_backing_off=self.account_drawer.is_backing_off(),
        )
        return refusal

    def _current_refusal(
        self,
        ledger: Ledger,
        tokens: int,
    ) -> BudgetFault | None:
        # Without this every request of a team that has spent its budget
        # would cost the table service a read and each peer a message.
        refusal = self._refusals.get(ledger.team)
        if refusal is None or self.book.clock.now() >= refusal.until:
            return None
        return refusal.fault if tokens >= refusal.tokens else None

    def _start_worker(self, ledger: Ledger) -> None:
        # One task gets tokens for all waiting requests of a team. If each
        # request drew for itself, they would wait for each other's commits
        # until ``draw_wait`` is over.
        worker = self._workers.get(ledger.team)
        if worker is None or worker.done():
            self._workers[ledger.team] = asyncio.ensure_future(
                self._serve_queue(ledger),
            )

    async def _serve_queue(self, ledger: Ledger) -> None:
        unreachable_before: list[Waiter] = []
        while ledger.queue:
            ledger.serve_queue()
            self._apply_current_refusal(ledger)
            asking = ledger.queue.waiters.copy()
            if not asking:
                return
            tried = await self._try_once(ledger)
            # Requests that arrived during this try get a try of their own.
            left = [waiter for waiter in asking if waiter in ledger.queue]
            unreachable = [
                waiter for waiter in left if waiter.tokens > tried.reachable
            ]
            refused = [
                waiter
                for waiter in unreachable
                if waiter in unreachable_before or not tried.reserved
            ]
            unreachable_before = unreachable
            self._refuse(ledger, refused, tried)
            if len(left) > len(refused):
                await self.book.clock.sleep(self._pause())

    def _apply_current_refusal(self, ledger: Ledger) -> None:
        for waiter in tuple(ledger.queue.waiters):
            refusal = self._current_refusal(ledger, waiter.tokens)
            if refusal is not None:
                ledger.queue.resolve(waiter, refusal)

    def _refuse(
        self,
        ledger: Ledger,
        waiters: list[Waiter],
        tried: _TryResult,
    ) -> None:
        if not waiters:
            return
        smallest = min(waiter.tokens for waiter in waiters)
        # Requests in progress free the tokens that they don't use. While
        # these may be enough, a refusal is valid only for a short time.
        is_final = tried.reachable + tried.reserved < smallest
        ttl = REFUSAL_TTL_S if is_final else SHORT_REFUSAL_TTL_S
        self._refusals[ledger.team] = _Refusal(
            smallest,
            self.book.clock.now() + ttl,
            tried.fault,
        )
        for waiter in waiters:
            self._resolve_refused(ledger, waiter, tried.fault)

    def _resolve_refused(
        self,
        ledger: Ledger,
        waiter: Waiter,
        fault: BudgetFault,
    ) -> None:
        self._refusal_log.record(
            ledger,
            waiter.tokens,
            fault,
            is_backing_off=self.account_drawer.is_backing_off(),
        )
        ledger.queue.resolve(waiter, fault)

    async def _try_once(self, ledger: Ledger) -> _TryResult:
        fault = await self.account_drawer.draw(ledger)
        fault = fault or NO_ALLOTMENT.because('too few tokens were obtained')
        if (
            not ledger.queue
            or self.loans is None
            or fault not in _FAULTS_TO_BORROW_AFTER
        ):
            return _TryResult(fault)
        found = await self.loans.borrow(ledger)
        # A strict router can spend or lend the tokens of a loan only once
        # the loan is recorded.
        if ledger.borrowed and not self.account_drawer.is_backing_off():
            await self.book.apply_moves(
                lambda: (self.sizing.record_loans_move(ledger),),
                ledger.team,
            )
        if fault != EXHAUSTED:
            return _TryResult(fault, self._opening_tokens(ledger))
        reachable = (
            found.left + ledger.unspent_granted + ledger.unrecorded_loan_tokens
        )
        if found.ask_again:
            reachable = ledger.queue.tokens
        return _TryResult(fault, reachable, found.reserved + ledger.reserved)

    def _pause(self) -> float:
        return (
            _OPENING_PAUSE_S
            if self.account_drawer.is_backing_off()
            else TRANSIT_PAUSE_S
        )

    def _opening_tokens(self, ledger: Ledger) -> int:
        # Tokens that become usable within ``draw_wait`` are waited for.
        if ledger.limiter is None:
            return 0
        room = ledger.limiter.room(ledger, self.cfg.draw_wait)
        return min(ledger.available, room)
