"""Closes all allotments at a graceful shutdown, batched by commit."""

import logging

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.book import LedgerBook
from balsamreach.budget.closing import MAX_COMMIT_BILLS
from balsamreach.budget.closing_plan import ClosingResult, ClosingSpec
from balsamreach.budget.copies import CopyKeeper, CopySender
from balsamreach.budget.faults import ROUTER_LEFT, TAKEN_OVER, BudgetFault
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.budget.recorder import BillRecorder
from balsamreach.budget.settling import SettlementResult
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.takeover import Takeover
from balsamreach.telemetry.logs import log_event

#: Maximum number of teams whose allotments one commit closes.
MAX_COMMIT_TEAMS = 50

_logger = logging.getLogger(__name__)


@attrs.frozen
class BudgetShutdown:
    """Records all bills and closes all allotments of this router.

    Parameters
    ----------
    book, sizing, recorder, takeover
        The components to shut down.
    sender : CopySender or None
        Hands bills that can't be recorded over to the backup peer.
    keeper : CopyKeeper or None
        Keeps bill copies of other routers, to be passed on.
    """

    book: LedgerBook
    sizing: Sizing
    recorder: BillRecorder
    takeover: Takeover
    sender: CopySender | None
    keeper: CopyKeeper | None

    async def leave(self) -> bool:
        """Record all bills and close all allotments.

        Returns
        -------
        bool
            True if that succeeded. Otherwise the backup peer was asked to do
            the rest, and a log line tells whether it accepted.
        """
        await self.book.apply_moves(self._loan_moves)
        await self.recorder.flush()
        await self._pass_on_copies()
        if self.book.closing_fault is None:
            # From now on no tokens are spent or lent.
            self.book.closing_fault = ROUTER_LEFT
        for ledgers in _batches(tuple(self.book.ledgers.values())):
            fault = await self._close_allotments(ledgers)
            if fault is not None:
                return await self._hand_over(fault)
        return await self._finish()

    @property
    def _incarnation(self) -> str:
        return self.takeover.registration.incarnation

    async def _finish(self) -> bool:
        # Borrowers may have loans that are not recorded yet. If they crashed,
        # nobody else would know that tokens are left in the allotments.
        await self.takeover.stranded.record_lender(self._incarnation)
        await self.takeover.registration.leave()
        return True

    async def _pass_on_copies(self) -> None:
        if self.keeper is None or self.sender is None:
            return
        # Live routers send their copies to another backup peer once this one
        # leaves. Of bills of stopped routers there is no other copy; if they
        # were lost with this router, the requests would never be billed.
        await self.keeper.settle_stopped()
        left_behind = await self.keeper.pass_on(self.sender.choose_backup())
        if left_behind:
            log_event(
                _logger,
                logging.ERROR,
                'copies_left_behind',
                reason='no peer accepted bill copies of dead routers',
                bills=left_behind,
            )

    def _loan_moves(self) -> tuple[Move, ...]:
        return tuple(
            self.sizing.record_loans_move(ledger)
            for ledger in self.book.ledgers.values()
            if ledger.borrowed
        )

    async def _close_allotments(
        self, ledgers: tuple[Ledger, ...]
    ) -> BudgetFault | None:
        closer = self.takeover.closer
        if len(ledgers) > 1:
            closings = tuple(
                attrs.evolve(
                    self._closing_spec(ledger),
                    bills=tuple(ledger.unrecorded_bills),
                )
                for ledger in ledgers
            )
            outcome = await closer.close_many(closings)
            if not isinstance(outcome, BudgetFault):
                for closing, result in zip(closings, outcome, strict=True):
                    self._apply(closing.bills, result)
                return None
        # One contended account blocks all others in the same commit, so each
        # allotment is closed in a commit of its own.
        for ledger in ledgers:
            bills = tuple(ledger.unrecorded_bills)
            team_outcome = await closer.close_with_bills(
                self._closing_spec(ledger), bills
            )
            if isinstance(team_outcome, BudgetFault):
                return team_outcome
            self._apply(bills, team_outcome)
        return None

    def _closing_spec(self, ledger: Ledger) -> ClosingSpec:
        return ClosingSpec(
            self._incarnation,
            ledger.team,
            lent=ledger.lent,
        )

    def _apply(self, bills: tuple[Bill, ...], result: ClosingResult) -> None:
        recorded = tuple(bill for bill in bills if bill not in result.unpaid)
        self.recorder.apply(SettlementResult(recorded))

    async def _hand_over(self, fault: BudgetFault) -> bool:
        waiting = self.recorder.bills()
        accepted = False
        if self.sender is not None and self.book.closing_fault != TAKEN_OVER:
            accepted = await self.sender.hand_over(waiting)
        log_event(
            _logger,
            logging.WARNING if accepted else logging.ERROR,
            'bills_handed_over' if accepted else 'bills_left_behind',
            reason=fault.reason,
            bills=len(waiting),
        )
        return False


def _batches(ledgers: tuple[Ledger, ...]) -> list[tuple[Ledger, ...]]:
    batches: list[tuple[Ledger, ...]] = []
    batch: list[Ledger] = []
    bills = 0
    for ledger in ledgers:
        bills += len(ledger.unrecorded_bills)
        if batch and (
            bills > MAX_COMMIT_BILLS or len(batch) == MAX_COMMIT_TEAMS
        ):
            batches.append(tuple(batch))
            batch.clear()
            bills = len(ledger.unrecorded_bills)
        batch.append(ledger)
    return [*batches, tuple(batch)] if batch else batches
