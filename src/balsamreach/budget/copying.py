"""Copies each bill to the buddy soon after it is made."""

import asyncio

import attrs

from balsamreach.budget.copies import Keeper, Sender
from balsamreach.budget.recorder import Recorder
from balsamreach.clock import Clock

#: Seconds between two looks at makers that may be gone.
LOOK_S = 1


@attrs.frozen
class Copying:
    """Sends this router's bills, and looks after those of others.

    A bill whose maker dies before its copy is out is lost, so copies leave
    at once and not in rounds; bills of one turn of the event loop share a
    message. A copy that waits for a round is lost as well
    if its keeper dies or leaves before, so makers that may be gone are
    looked at every second.

    Parameters
    ----------
    recorder : Recorder
        Knows the bills.
    sender : Sender
        Sends copies of them.
    keeper : Keeper
        Keeps the copies of others.
    clock : Clock
        Time between messages.
    """

    recorder: Recorder
    sender: Sender
    keeper: Keeper
    clock: Clock

    async def run(self) -> None:
        """Copy and look until cancelled."""
        await asyncio.gather(self._copy(), self._look())

    def copy_new(self) -> None:
        """Send the bills that were made since the last copy."""
        fresh = self.recorder.unsent.take()
        if not self.sender.send_new(fresh):
            self.sender.send(self.recorder.bills())

    async def _copy(self) -> None:
        while True:
            await self.recorder.unsent.wait()
            self.copy_new()

    async def _look(self) -> None:
        while True:
            await self.clock.sleep(LOOK_S)
            await self.keeper.settle_gone()
