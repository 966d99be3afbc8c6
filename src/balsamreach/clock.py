"""Time as an argument, so that decisions can be tested without waiting."""

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Source of time for all code that decides something."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic seconds, of use only for differences."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, for records and people."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for the given number of seconds."""


class SystemClock(Clock):
    """The machine's own clocks."""

    def now(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the machine's wall time in seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task through the running event loop."""
        await asyncio.sleep(seconds)
