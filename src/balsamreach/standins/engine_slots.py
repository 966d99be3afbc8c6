"""Bounded slots of the stand-in engine with a queue by priority."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncGenerator

import attrs


@attrs.frozen(order=True)
class _Waiting:
    """One generation's place in the queue."""

    priority: int
    ticket: int
    turn: asyncio.Future[None] = attrs.field(order=False)


@attrs.define
class Slots:
    """Slots of the running batch; the lowest priority number goes first.

    Parameters
    ----------
    limit : int
        Generations that run at a time.
    queue_limit : int
        Generations that may wait.
    """

    limit: int
    queue_limit: int
    running: int = 0
    _waiting: list[_Waiting] = attrs.Factory(list)
    _tickets: itertools.count = attrs.Factory(itertools.count)

    @property
    def queued(self) -> int:
        """Generations that wait for a slot."""
        return sum(1 for entry in self._waiting if not entry.turn.done())

    @property
    def full(self) -> bool:
        """Whether one more generation would be refused."""
        return self.running >= self.limit and self.queued >= self.queue_limit

    @contextlib.asynccontextmanager
    async def held(self, priority: int) -> AsyncGenerator[None, None]:
        """Hold a slot for as long as the block runs."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        """Wait for a slot in order of priority, then of arrival."""
        if self.running < self.limit:
            self.running += 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = _Waiting(priority, next(self._tickets), turn)
        heapq.heappush(self._waiting, entry)
        try:
            await turn
        except asyncio.CancelledError:
            # The slot may have been handed over in the same turn of the
            # loop; kept, it would be lost to the batch for good.
            if turn.done() and not turn.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        """Give a slot to the next that waits, or back."""
        while self._waiting:
            turn = heapq.heappop(self._waiting).turn
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1
