"""Event loop in virtual time, which skips to the next timer."""

import asyncio
import selectors

from balsamreach.clock import Clock


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Advance the time by the timeout without waiting."""
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time with a deterministic order of events."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._jumping.now


class LoopClock(Clock):
    """Clock that shows the time of the running loop."""

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
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
