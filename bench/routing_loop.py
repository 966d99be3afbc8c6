"""An event loop whose time jumps to the next timer, and a clock on it."""

import asyncio
import selectors

from balsamreach.clock import Clock


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Let the wait pass at once; nothing real is waited for."""
        if timeout is None:
            raise RuntimeError('every task waits for another: deadlock')
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs hours in seconds, with the same order of events each time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._jumping.now


class LoopClock(Clock):
    """The time of the running loop."""

    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the loop's time."""
        return self.now()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(seconds)


def run_virtually(main):
    """Run a coroutine on a virtual loop and return what it returns."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
