"""Copies each new bill to the backup peer without delay."""

import asyncio
from collections.abc import Iterable

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.copies import CopyKeeper, CopySender
from balsamreach.budget.recorder import BillRecorder
from balsamreach.clock import Clock

SECURED = 'balsamreach_budget_bills_secured_total'
#: Seconds between two checks for makers that have stopped.
CHECK_INTERVAL_S = 1
#: Maximum time, in seconds, for which the end of a response waits until its
#: bill is copied.
CONFIRM_TIMEOUT_S = 0.25


@attrs.define(eq=False)
class BillCopier:
    """Sends copies of new bills and settles those of stopped routers.

    A bill is lost if its router crashes before the copy is sent, so copies
    are sent at once instead of periodically, and the end of a response waits
    for them. A copy is lost as well if the peer that keeps it crashes or
    leaves before settling it, so every second the makers of copies are
    checked.

    Parameters
    ----------
    recorder : BillRecorder
        Provides the new bills.
    sender : CopySender
        Sends copies of them.
    keeper : CopyKeeper
        Keeps the copies of other routers.
    clock : Clock
        Clock for the interval between checks.
    """

    recorder: BillRecorder
    sender: CopySender
    keeper: CopyKeeper
    clock: Clock
    _pending: set[asyncio.Task] = attrs.field(factory=set)
    _backup_is_slow: bool = False

    async def run(self) -> None:
        """Copy bills and check makers until cancelled."""
        await asyncio.gather(self._copy(), self._check_makers())

    def copy_new(self) -> None:
        """Start sending the bills added since the last call."""
        bills = self.recorder.uncopied.take()
        task = asyncio.create_task(self._deliver(bills))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def wait_for_copies(self) -> None:
        """Wait until the backup peer has all current bills, or a timeout.

        Once a client has its complete response, the bill then survives a
        crash of this router. If no backup peer responds in time, the bill is
        not secured, and the client is not kept waiting.
        """
        if self.recorder.uncopied.any:
            self.copy_new()
        # An unresponsive backup peer delays only one response, not each.
        if self._backup_is_slow or not self._pending:
            return
        done, late = await asyncio.wait(
            tuple(self._pending),
            timeout=CONFIRM_TIMEOUT_S,
        )
        self._backup_is_slow = self._backup_is_slow or bool(late)
        self._count('late' if late else _outcome_of(done))

    async def _deliver(self, bills: tuple[Bill, ...]) -> bool:
        confirmed = await self.sender.deliver(bills, self.recorder.bills())
        self._backup_is_slow = self._backup_is_slow and not confirmed
        return confirmed

    def _count(self, outcome: str) -> None:
        self.recorder.metrics.count(SECURED, outcome=outcome)

    async def _copy(self) -> None:
        while True:
            await self.recorder.uncopied.wait()
            self.copy_new()

    async def _check_makers(self) -> None:
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            await self.keeper.settle_stopped()


def _outcome_of(done: Iterable[asyncio.Task]) -> str:
    return 'copied' if all(task.result() for task in done) else 'alone'
