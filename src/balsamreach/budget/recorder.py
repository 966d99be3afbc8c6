"""Takes the bills of requests and records them a batch at a time."""

from collections.abc import Container, Iterable

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.book import Book
from balsamreach.budget.closing import Closer
from balsamreach.budget.closing_plan import Closing
from balsamreach.budget.faults import BILLS_FULL, NO_ALLOTMENT, BudgetFault
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.settling import Settled, Settler
from balsamreach.budget.unsent import Unsent
from balsamreach.telemetry.metrics import Metrics

RECORDED = 'balsamreach_budget_bills_recorded_total'
REPEATED = 'balsamreach_budget_bills_repeated_total'
WAITING = 'balsamreach_budget_bills_waiting'
OLDEST = 'balsamreach_budget_bills_oldest_age_seconds'

#: Most bills of one commit.
COMMIT_BILLS = 500
_MOST_COMMITS = 20


@attrs.define
class Recorder:
    """Records one router's bills.

    Parameters
    ----------
    book : Book
        The ledgers that the bills wait in.
    settler : Settler
        Records them against this router's allotments.
    closer : Closer
        Records them if the allotments were taken over.
    metrics : Metrics
        Counts bills.
    """

    book: Book
    settler: Settler
    closer: Closer
    metrics: Metrics
    repeated: int = 0
    unsent: Unsent = attrs.field(factory=Unsent)
    _made: int = 0
    _made_at: dict[int, float] = attrs.field(factory=dict)

    @property
    def waiting(self) -> int:
        """Number of bills that are not recorded yet."""
        return len(self._made_at)

    @property
    def oldest_age(self) -> float:
        """Seconds for which the oldest bill has been waiting."""
        if not self._made_at:
            return 0
        first = next(iter(self._made_at))
        return self.book.clock.now() - self._made_at[first]

    def refusal(self, limit: int) -> BudgetFault | None:
        """Return why no request may begin now, if so.

        Parameters
        ----------
        limit : int
            Most bills that may wait.
        """
        if self.book.closed is not None:
            return self.book.closed
        # Requests that ran must be billed, so when no more bills can wait
        # nothing new is run, rather than run and not billed.
        if self.waiting >= limit:
            return BILLS_FULL.because('bills wait for the table service')
        return None

    def take(self, ledger: Ledger, tokens: int) -> Reservation | None:
        """Reserve tokens of a ledger, None where too few are available."""
        reservation = ledger.reserve(tokens)
        if reservation is not None:
            ledger.rate.add(tokens, self.book.clock.now())
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Free the tokens of a request that did not run."""
        ledger = self.book.ledgers[reservation.team]
        if reservation.open:
            ledger.rate.add(-reservation.tokens, self.book.clock.now())
        ledger.release(reservation)

    def bill(self, reservation: Reservation, bill: Bill) -> None:
        """Turn a reservation into a bill that waits to be recorded."""
        if not reservation.open:
            return
        ledger = self.book.ledgers[reservation.team]
        self._made += 1
        now = self.book.clock.now()
        self._made_at[self._made] = now
        ledger.rate.add(bill.tokens - reservation.tokens, now)
        numbered = attrs.evolve(bill, ordinal=self._made)
        ledger.bill(reservation, numbered)
        self.unsent.add(numbered)

    def bills(self) -> tuple[Bill, ...]:
        """Return all bills that are not recorded yet."""
        return tuple(
            bill
            for ledger in self.book.ledgers.values()
            for bill in ledger.waiting
        )

    async def flush(self) -> BudgetFault | None:
        """Record the bills that wait now, unless the service is away."""
        # Bills that come in while a commit is under way are left to the next
        # flush. Were they recorded at once, a busy router would end each
        # flush with many commits of one or two bills; it would show as more
        # writes of the table service than the bills need.
        latest = self._made
        for _ in range(_MOST_COMMITS):
            if next(iter(self._made_at), latest + 1) > latest:
                return None
            fault = await self._flush_part()
            if fault is not None:
                return fault
        return None

    def enter(self, settled: Settled) -> None:
        """Drop bills that need not wait any more."""
        settled = attrs.evolve(
            settled,
            recorded=_among(self._made_at, settled.recorded),
            repeated=_among(self._made_at, settled.repeated),
        )
        entered = (*settled.recorded, *settled.repeated)
        done = {bill.ordinal for bill in entered}
        teams = {bill.team for bill in entered}
        for team in teams:
            ledger = self.book.ledgers[team]
            ledger.waiting = [
                bill for bill in ledger.waiting if bill.ordinal not in done
            ]
        for ordinal in done:
            self._made_at.pop(ordinal, None)
        # A request that was billed already is not billed again; the tokens
        # it used here return to the allotment.
        for bill in settled.repeated:
            ledger = self.book.ledgers[bill.team]
            ledger.billed -= bill.tokens
            ledger.hand_out()
        self.repeated += len(settled.repeated)
        self.metrics.count(RECORDED, len(settled.recorded))
        self.metrics.count(REPEATED, len(settled.repeated))

    async def _flush_part(self) -> BudgetFault | None:
        if self.book.closed is not None:
            return await self._flush_closed()
        lent = {team: ledger.lent for team, ledger in self.book.ledgers.items()}
        outcome = await self.settler.settle(self._batch(), lent)
        if isinstance(outcome, BudgetFault):
            self.book.note(outcome)
            return outcome
        self.enter(outcome)
        if outcome.recorded or outcome.repeated:
            return None
        return NO_ALLOTMENT.because('bills wait for a loan to be recorded')

    async def _flush_closed(self) -> BudgetFault | None:
        # A successor has closed the allotments while this process was
        # paused. What it served must still be billed; the account pays.
        fault = None
        for ledger in tuple(self.book.ledgers.values()):
            if ledger.waiting:
                fault = await self._pay(ledger) or fault
        return fault

    async def _pay(self, ledger: Ledger) -> BudgetFault | None:
        bills = tuple(ledger.waiting)
        closing = Closing(self.settler.incarnation, ledger.team)
        outcome = await self.closer.close_all(closing, bills)
        if isinstance(outcome, BudgetFault):
            return outcome
        unpaid = {bill.ordinal for bill in outcome.unpaid}
        self.enter(
            Settled(
                tuple(bill for bill in bills if bill.ordinal not in unpaid),
            ),
        )
        if unpaid:
            return NO_ALLOTMENT.because('the account does not cover bills')
        return None

    def _batch(self) -> tuple[Bill, ...]:
        bills: list[Bill] = []
        for ledger in self.book.ledgers.values():
            room = COMMIT_BILLS - len(bills)
            bills.extend(ledger.waiting[:room])
        return tuple(bills)


def _among(waiting: Container[int], bills: Iterable[Bill]) -> tuple[Bill, ...]:
    # Two flushes can run at once, such as the last one of a router that
    # leaves and that of a round, and settle the same bills. Entered twice,
    # they would bring the number of waiting bills below zero: the router
    # would wait for none to be left until its tries end.
    return tuple(bill for bill in bills if bill.ordinal in waiting)
