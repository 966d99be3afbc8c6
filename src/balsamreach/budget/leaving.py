"""Gives everything back at a graceful end, many teams in one commit."""

import logging

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.book import Book
from balsamreach.budget.closing import MAX_COMMIT_BILLS
from balsamreach.budget.closing_plan import ClosingResult, ClosingSpec
from balsamreach.budget.copies import Keeper, Sender
from balsamreach.budget.faults import LEFT, TAKEN_OVER, BudgetFault
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.budget.recorder import BillRecorder
from balsamreach.budget.settling import SettlementResult
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.takeover import Takeover
from balsamreach.telemetry.logs import log_event

#: Most teams whose allotments one commit closes.
MOST_TEAMS = 50

_logger = logging.getLogger(__name__)


@attrs.frozen
class Leaving:
    """Records all bills and closes all allotments of this router.

    Parameters
    ----------
    book, sizing, recorder, takeover
        The parts it ends.
    sender : Sender or None
        Takes what can't be recorded to a buddy.
    keeper : Keeper or None
        Copies of other routers, which must not end with this one.
    """

    book: Book
    sizing: Sizing
    recorder: BillRecorder
    takeover: Takeover
    sender: Sender | None
    keeper: Keeper | None

    async def leave(self) -> bool:
        """Record all bills and give all allotments back.

        Returns
        -------
        bool
            Whether nothing is left behind; else the buddy was asked to
            finish, and a log line tells whether it could be.
        """
        await self.book.move(self._loans_moves)
        await self.recorder.flush()
        await self._pass_copies_on()
        if self.book.closed is None:
            # Nothing is spent or lent from here on.
            self.book.closed = LEFT
        for ledgers in _batches(tuple(self.book.ledgers.values())):
            fault = await self._close(ledgers)
            if fault is not None:
                return await self._hand_over(fault)
        return await self._vacate()

    @property
    def _incarnation(self) -> str:
        return self.takeover.incarnations.incarnation

    async def _vacate(self) -> bool:
        # Borrowers may have loans that are not recorded yet. Should they die
        # with them, nobody else would know that tokens are left here.
        await self.takeover.leftovers.note(self._incarnation)
        await self.takeover.incarnations.leave()
        return True

    async def _pass_copies_on(self) -> None:
        if self.keeper is None or self.sender is None:
            return
        # Makers that live send their copies to another buddy once this one
        # leaves. Those of dead makers have no other copy: ended with this
        # router, the requests would never be billed.
        await self.keeper.settle_gone()
        left = await self.keeper.pass_on(self.sender.choose())
        if left:
            log_event(
                _logger,
                logging.ERROR,
                'copies_left_behind',
                reason='no buddy took copies of dead routers',
                bills=left,
            )

    def _loans_moves(self) -> tuple[Move, ...]:
        return tuple(
            self.sizing.for_loans(ledger)
            for ledger in self.book.ledgers.values()
            if ledger.borrowed
        )

    async def _close(self, ledgers: tuple[Ledger, ...]) -> BudgetFault | None:
        closer = self.takeover.closer
        if len(ledgers) > 1:
            closings = tuple(
                attrs.evolve(self._closing(one), bills=tuple(one.waiting))
                for one in ledgers
            )
            outcome = await closer.close_many(closings)
            if not isinstance(outcome, BudgetFault):
                for closing, closed in zip(closings, outcome, strict=True):
                    self._enter(closing.bills, closed)
                return None
        # One busy account holds up all that share a commit with it.
        for ledger in ledgers:
            bills = tuple(ledger.waiting)
            ended = await closer.close_all(self._closing(ledger), bills)
            if isinstance(ended, BudgetFault):
                return ended
            self._enter(bills, ended)
        return None

    def _closing(self, ledger: Ledger) -> ClosingSpec:
        return ClosingSpec(
            self._incarnation,
            ledger.team,
            lent=ledger.lent,
        )

    def _enter(self, bills: tuple[Bill, ...], closed: ClosingResult) -> None:
        done = tuple(bill for bill in bills if bill not in closed.unpaid)
        self.recorder.apply(SettlementResult(done))

    async def _hand_over(self, fault: BudgetFault) -> bool:
        waiting = self.recorder.bills()
        taken = False
        if self.sender is not None and self.book.closed != TAKEN_OVER:
            taken = await self.sender.hand_over(waiting)
        log_event(
            _logger,
            logging.WARNING if taken else logging.ERROR,
            'bills_handed_over' if taken else 'bills_left_behind',
            reason=fault.reason,
            bills=len(waiting),
        )
        return False


def _batches(ledgers: tuple[Ledger, ...]) -> list[tuple[Ledger, ...]]:
    batches: list[tuple[Ledger, ...]] = []
    batch: list[Ledger] = []
    bills = 0
    for ledger in ledgers:
        bills += len(ledger.waiting)
        if batch and (bills > MAX_COMMIT_BILLS or len(batch) == MOST_TEAMS):
            batches.append(tuple(batch))
            batch.clear()
            bills = len(ledger.waiting)
        batch.append(ledger)
    return [*batches, tuple(batch)] if batch else batches
