"""Copies each bill to the buddy soon after it is made."""

import asyncio
from collections.abc import Iterable

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.copies import Keeper, Sender
from balsamreach.budget.recorder import BillRecorder
from balsamreach.clock import Clock

SECURED = 'balsamreach_budget_bills_secured_total'
#: Seconds between two looks at makers that may be gone.
LOOK_S = 1
#: Longest time that the end of an answer waits for its bill's copy, seconds.
SECURE_S = 0.25


@attrs.define(eq=False)
class Copying:
    """Sends this router's bills, and looks after those of others.

    A bill whose maker dies before its copy is out is lost, so copies leave
    at once and not in rounds, and the end of an answer waits for them. A
    copy that waits for a round is lost as well
    if its keeper dies or leaves before, so makers that may be gone are
    looked at every second.

    Parameters
    ----------
    recorder : BillRecorder
        Knows the bills.
    sender : Sender
        Sends copies of them.
    keeper : Keeper
        Keeps the copies of others.
    clock : Clock
        Time between messages.
    """

    recorder: BillRecorder
    sender: Sender
    keeper: Keeper
    clock: Clock
    _under_way: set[asyncio.Task] = attrs.field(factory=set)
    _is_silent: bool = False

    async def run(self) -> None:
        """Copy and look until cancelled."""
        await asyncio.gather(self._copy(), self._look())

    def copy_new(self) -> None:
        """Send the bills that were made since the last copy."""
        fresh = self.recorder.uncopied.take()
        task = asyncio.create_task(self._deliver(fresh))
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)

    async def secure(self) -> None:
        """Wait until the buddy has all bills made by now, or cannot say so.

        A caller who holds a whole answer has then a bill that outlives this
        router. Without a buddy that answers in time there is no such bill;
        the caller is not kept waiting for it.
        """
        if self.recorder.uncopied.any:
            self.copy_new()
        # A buddy that is silent costs one answer this wait, not each.
        if self._is_silent or not self._under_way:
            return
        done, late = await asyncio.wait(
            tuple(self._under_way),
            timeout=SECURE_S,
        )
        self._is_silent = self._is_silent or bool(late)
        self._count('late' if late else _outcome(done))

    async def _deliver(self, fresh: tuple[Bill, ...]) -> bool:
        taken = await self.sender.deliver(fresh, self.recorder.bills())
        self._is_silent = self._is_silent and not taken
        return taken

    def _count(self, outcome: str) -> None:
        self.recorder.metrics.count(SECURED, outcome=outcome)

    async def _copy(self) -> None:
        while True:
            await self.recorder.uncopied.wait()
            self.copy_new()

    async def _look(self) -> None:
        while True:
            await self.clock.sleep(LOOK_S)
            await self.keeper.settle_gone()


def _outcome(done: Iterable[asyncio.Task]) -> str:
    return 'copied' if all(task.result() for task in done) else 'alone'
