"""An event loop whose time advances at once while all tasks wait."""

import asyncio
import functools
import selectors
from collections.abc import Awaitable, Callable
from typing import TypeVar

from balsamreach.clock import Clock

Result = TypeVar('Result')


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time; timeouts of ``asyncio`` follow it."""

    def __init__(self) -> None:
        """Start at a time other than 0."""
        self.seconds = 1000.0
        super().__init__(_Selector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.seconds


class LoopClock(Clock):
    """Clock of the running event loop."""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the same time as ``now``."""
        return self.now()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(seconds)

    async def drive(self, work: Awaitable[Result]) -> Result:
        """Wait for an awaitable; the loop advances the time."""
        return await work


class _Selector(selectors.SelectSelector):
    """Advances the loop's time in place of waiting."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready now."""
        self.loop.seconds += timeout or 0
        return super().select(0)


def virtual(work: Callable[..., Awaitable[Result]]) -> Callable[..., Result]:
    """Return a function that runs a coroutine function in virtual time."""

    @functools.wraps(work)
    def wrapper(*args: object) -> Result:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(work(*args))

    return wrapper
