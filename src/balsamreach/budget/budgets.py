"""The budgets of all teams at one router: reserve, bill, draw and settle."""

import asyncio

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.draws import Drawer
from balsamreach.budget.faults import (
    BILLS_FULL,
    NO_ALLOTMENT,
    TAKEN_OVER,
    BudgetFault,
)
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.settling import Settled, Settler
from balsamreach.clock import Clock
from balsamreach.config.settings import BudgetSettings
from balsamreach.platform.base import TableService

_COMMIT_BILLS = 200


@attrs.define
class Budgets:
    """Admits requests against allotments and records what they used.

    Parameters
    ----------
    service : TableService
        Where accounts, allotments and bills are kept.
    incarnation : str
        Identity of this start of the router.
    cfg : BudgetSettings
        Sizes and intervals.
    clock : Clock
        Time for the settling interval.
    """

    service: TableService
    incarnation: str
    cfg: BudgetSettings
    clock: Clock
    closed: BudgetFault | None = None
    ledgers: dict[str, Ledger] = attrs.field(factory=dict)
    repeated_bills: int = 0
    _draws: dict[str, asyncio.Lock] = attrs.field(factory=dict)
    _drawer: Drawer = attrs.field(init=False)
    _settler: Settler = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._drawer = Drawer(self.service, self.incarnation)
        self._settler = Settler(self.service, self.incarnation)

    @property
    def waiting(self) -> int:
        """Number of bills that are not recorded yet."""
        return sum(len(ledger.waiting) for ledger in self.ledgers.values())

    async def reserve(
        self, team: str, tokens: int
    ) -> Reservation | BudgetFault:
        """Set a request's worst case aside before it runs.

        Parameters
        ----------
        team : str
            Team that pays.
        tokens : int
            Most tokens the request can use.

        Returns
        -------
        Reservation or BudgetFault
            A fault means that nothing was set aside.
        """
        refused = self._refusal()
        if refused is not None:
            return refused
        ledger = self.ledgers.setdefault(team, Ledger(team))
        reservation = ledger.reserve(tokens)
        if reservation is not None:
            return reservation
        async with self._draws.setdefault(team, asyncio.Lock()):
            return await self._draw_and_reserve(ledger, tokens)

    def release(self, reservation: Reservation) -> None:
        """Give back what a request that did not run had set aside."""
        self.ledgers[reservation.team].release(reservation)

    def bill(self, reservation: Reservation, bill: Bill) -> None:
        """Bill a request; the rest of its reservation is free again."""
        self.ledgers[reservation.team].bill(reservation, bill)

    async def flush(self) -> BudgetFault | None:
        """Record waiting bills until none wait or the service is away."""
        while self.waiting:
            batch = self._batch()
            outcome = await self._settler.settle(batch)
            if isinstance(outcome, BudgetFault):
                self._note(outcome)
                return outcome
            self._recorded(batch, outcome)
        return None

    async def run(self) -> None:
        """Record waiting bills at the set interval until cancelled."""
        while True:
            await self.clock.sleep(self.cfg.flush_interval)
            await self.flush()

    def _refusal(self) -> BudgetFault | None:
        if self.closed is not None:
            return self.closed
        if self.waiting >= self.cfg.bills_limit:
            return BILLS_FULL.because('bills wait for the table service')
        return None

    async def _draw_and_reserve(
        self,
        ledger: Ledger,
        tokens: int,
    ) -> Reservation | BudgetFault:
        # Others waited for the same draw; what it brought may do for us.
        reservation = ledger.reserve(tokens)
        if reservation is not None:
            return reservation
        least = tokens - ledger.available
        drawn = await self._drawer.draw(
            ledger.team,
            least,
            max(least, self.cfg.least_draw),
        )
        if isinstance(drawn, BudgetFault):
            self._note(drawn)
            return drawn
        ledger.granted = drawn.granted
        reservation = ledger.reserve(tokens)
        if reservation is None:
            return NO_ALLOTMENT.because('other requests took the draw')
        return reservation

    def _batch(self) -> tuple[Bill, ...]:
        bills: list[Bill] = []
        for ledger in self.ledgers.values():
            room = _COMMIT_BILLS - len(bills)
            bills.extend(ledger.waiting[:room])
        return tuple(bills)

    def _recorded(self, batch: tuple[Bill, ...], outcome: Settled) -> None:
        done = set(map(id, batch))
        for ledger in self.ledgers.values():
            ledger.waiting = [
                bill for bill in ledger.waiting if id(bill) not in done
            ]
        # A request billed by another router already is not billed here
        # again; the tokens it used here return to the allotment.
        for bill in outcome.repeated:
            self.ledgers[bill.team].billed -= bill.tokens
            self.repeated_bills += 1

    def _note(self, fault: BudgetFault) -> None:
        if fault == TAKEN_OVER:
            self.closed = fault
