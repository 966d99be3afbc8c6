"""Collects the bills of requests and records them in batches."""

from collections.abc import Container, Iterable

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.book import LedgerBook
from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingSpec
from balsamreach.budget.faults import BILLS_FULL, NO_ALLOTMENT, BudgetFault
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.settling import SettlementResult, Settler
from balsamreach.budget.uncopied import UncopiedBills
from balsamreach.telemetry.metrics import Metrics

RECORDED = 'balsamreach_budget_bills_recorded_total'
REPEATED = 'balsamreach_budget_bills_repeated_total'
WAITING = 'balsamreach_budget_bills_waiting'
OLDEST = 'balsamreach_budget_bills_oldest_age_seconds'

#: Maximum number of bills in one commit.
_MAX_BATCH_BILLS = 500
_MAX_COMMITS = 20


@attrs.define
class BillRecorder:
    """Records one router's bills.

    Parameters
    ----------
    book : LedgerBook
        Ledgers, which hold the bills until they are recorded.
    settler : Settler
        Records bills against this router's allotments.
    closer : AllotmentCloser
        Records bills after a successor closed the allotments.
    metrics : Metrics
        Counts recorded and repeated bills.
    """

    book: LedgerBook
    settler: Settler
    closer: AllotmentCloser
    metrics: Metrics
    repeated: int = 0
    uncopied: UncopiedBills = attrs.field(factory=UncopiedBills)
    _last_ordinal: int = 0
    _created_at: dict[int, float] = attrs.field(factory=dict)

    @property
    def waiting(self) -> int:
        """Number of bills that are not recorded yet."""
        return len(self._created_at)

    @property
    def oldest_age(self) -> float:
        """Age of the oldest waiting bill in seconds."""
        if not self._created_at:
            return 0
        oldest = next(iter(self._created_at))
        return self.book.clock.now() - self._created_at[oldest]

    def refusal(self, limit: int) -> BudgetFault | None:
        """Return why no request may start now, None if one may.

        Parameters
        ----------
        limit : int
            Maximum number of waiting bills.
        """
        if self.book.closing_fault is not None:
            return self.book.closing_fault
        # A request that ran must be billed. When no more bills may wait, new
        # requests are refused, so that none runs without being billed.
        if self.waiting >= limit:
            return BILLS_FULL.because('bills wait for the table service')
        return None

    def reserve(self, ledger: Ledger, tokens: int) -> Reservation | None:
        """Reserve tokens of a ledger; None if too few are available."""
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
        self._last_ordinal += 1
        now = self.book.clock.now()
        self._created_at[self._last_ordinal] = now
        ledger.rate.add(bill.tokens - reservation.tokens, now)
        numbered = attrs.evolve(bill, ordinal=self._last_ordinal)
        ledger.bill(reservation, numbered)
        self.uncopied.add(numbered)

    def bills(self) -> tuple[Bill, ...]:
        """Return all bills that are not recorded yet."""
        return tuple(
            bill
            for ledger in self.book.ledgers.values()
            for bill in ledger.unrecorded_bills
        )

    async def flush(self) -> BudgetFault | None:
        """Record the bills that wait now.

        Returns
        -------
        BudgetFault or None
            Why recording failed, such as NO_ALLOTMENT if the table service
            is unavailable; None if it did not. Bills may still wait after
            the maximum number of commits.
        """
        # Bills added during a commit are left to the next flush. Otherwise a
        # busy router would end each flush with many commits of one or two
        # bills and make more writes to the table service than necessary.
        latest = self._last_ordinal
        for _ in range(_MAX_COMMITS):
            if next(iter(self._created_at), latest + 1) > latest:
                return None
            fault = await self._flush_batch()
            if fault is not None:
                return fault
        return None

    def apply(self, settlement: SettlementResult) -> None:
        """Remove bills from the ledgers after they were recorded."""
        settlement = attrs.evolve(
            settlement,
            recorded=_still_waiting(self._created_at, settlement.recorded),
            repeated=_still_waiting(self._created_at, settlement.repeated),
        )
        finished = (*settlement.recorded, *settlement.repeated)
        ordinals = {bill.ordinal for bill in finished}
        teams = {bill.team for bill in finished}
        for team in teams:
            ledger = self.book.ledgers[team]
            ledger.unrecorded_bills = [
                bill
                for bill in ledger.unrecorded_bills
                if bill.ordinal not in ordinals
            ]
        for ordinal in ordinals:
            self._created_at.pop(ordinal, None)
        # A request that already has a bill is not billed again; the tokens of
        # the second bill become available again.
        for bill in settlement.repeated:
            ledger = self.book.ledgers[bill.team]
            ledger.billed -= bill.tokens
            ledger.serve_queue()
        self.repeated += len(settlement.repeated)
        self.metrics.count(RECORDED, len(settlement.recorded))
        self.metrics.count(REPEATED, len(settlement.repeated))

    async def _flush_batch(self) -> BudgetFault | None:
        if self.book.closing_fault is not None:
            return await self._flush_to_accounts()
        lent = {team: ledger.lent for team, ledger in self.book.ledgers.items()}
        outcome = await self.settler.settle(self._batch(), lent)
        if isinstance(outcome, BudgetFault):
            self.book.note_fault(outcome)
            return outcome
        self.apply(outcome)
        if outcome.recorded or outcome.repeated:
            return None
        return NO_ALLOTMENT.because('bills wait for a loan to be recorded')

    async def _flush_to_accounts(self) -> BudgetFault | None:
        # A successor closed the allotments, for example while this process
        # was paused. Requests that it served must still be billed, so their
        # bills are charged to the accounts.
        fault = None
        for ledger in tuple(self.book.ledgers.values()):
            if ledger.unrecorded_bills:
                fault = await self._charge_account(ledger) or fault
        return fault

    async def _charge_account(self, ledger: Ledger) -> BudgetFault | None:
        bills = tuple(ledger.unrecorded_bills)
        closing = ClosingSpec(self.settler.incarnation, ledger.team)
        outcome = await self.closer.close_with_bills(closing, bills)
        if isinstance(outcome, BudgetFault):
            return outcome
        unpaid = {bill.ordinal for bill in outcome.unpaid}
        self.apply(
            SettlementResult(
                tuple(bill for bill in bills if bill.ordinal not in unpaid),
            ),
        )
        if unpaid:
            return NO_ALLOTMENT.because('the account does not cover bills')
        return None

    def _batch(self) -> tuple[Bill, ...]:
        bills: list[Bill] = []
        for ledger in self.book.ledgers.values():
            remaining = _MAX_BATCH_BILLS - len(bills)
            bills.extend(ledger.unrecorded_bills[:remaining])
        return tuple(bills)


def _still_waiting(
    waiting: Container[int], bills: Iterable[Bill]
) -> tuple[Bill, ...]:
    # Two flushes can run concurrently, such as the final one of a router that
    # shuts down and a periodic one, and settle the same bills. Applying a
    # bill twice would make the number of waiting bills negative, and the
    # router would wait for it to reach zero until its attempts are used up.
    return tuple(bill for bill in bills if bill.ordinal in waiting)
