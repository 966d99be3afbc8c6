"""A clock that stands still until a test moves it."""

import asyncio
import heapq
import itertools

import attrs

from balsamreach.clock import Clock


@attrs.define(eq=False)
class SteppedClock(Clock):
    """Sleepers wake in order when ``advance`` passes their time."""

    seconds: float = 1000
    _sleepers: list[tuple[float, int, asyncio.Future]] = attrs.field(
        factory=list,
    )
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def now(self) -> float:
        """Return the time that the test set."""
        return self.seconds

    def wall(self) -> float:
        """Return the same."""
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        """Wait until the test has moved the clock so far."""
        fut = asyncio.get_running_loop().create_future()
        wakes = (self.seconds + seconds, next(self._numbers), fut)
        heapq.heappush(self._sleepers, wakes)
        await fut

    def advance(self, seconds: float) -> None:
        """Move the clock and wake whoever's time has come."""
        self.seconds += seconds
        while self._sleepers and self._sleepers[0][0] <= self.seconds:
            _, _, fut = heapq.heappop(self._sleepers)
            if not fut.done():
                fut.set_result(None)
