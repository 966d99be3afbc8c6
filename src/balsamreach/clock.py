"""Clocks that are passed as arguments, so that tests need not wait."""

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Interface of the clock for all code that depends on time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, for records and display."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for the given number of seconds."""


class SystemClock(Clock):
    """Clocks of the machine."""

    def now(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the machine's wall time in seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task through the running event loop."""
        await asyncio.sleep(seconds)
