"""Slots of the simulated engine with a priority queue."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncGenerator

import attrs


@attrs.frozen(order=True)
class _Waiter:
    """A queued generation."""

    priority: int
    ticket: int
    granted: asyncio.Future[None] = attrs.field(order=False)


@attrs.define
class Slots:
    """Slots of the running batch; the lowest priority number is first.

    Parameters
    ----------
    limit : int
        Maximum number of running generations.
    queue_limit : int
        Maximum number of queued generations.
    """

    limit: int
    queue_limit: int
    running: int = 0
    _waiters: list[_Waiter] = attrs.Factory(list)
    _tickets: itertools.count = attrs.Factory(itertools.count)

    @property
    def queued(self) -> int:
        """Number of generations that wait for a slot."""
        return sum(1 for entry in self._waiters if not entry.granted.done())

    @property
    def full(self) -> bool:
        """Whether the next generation would be refused."""
        return self.running >= self.limit and self.queued >= self.queue_limit

    @contextlib.asynccontextmanager
    async def occupy(self, priority: int) -> AsyncGenerator[None, None]:
        """Occupy a slot while the ``with`` block runs."""
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
        granted: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        entry = _Waiter(priority, next(self._tickets), granted)
        heapq.heappush(self._waiters, entry)
        try:
            await granted
        except asyncio.CancelledError:
            # The slot may have been granted in the same iteration of the event
            # loop; without a release here it would stay occupied forever.
            if granted.done() and not granted.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        """Pass the slot to the next waiter, or free it."""
        while self._waiters:
            granted = heapq.heappop(self._waiters).granted
            if not granted.done():
                granted.set_result(None)
                return
        self.running -= 1
