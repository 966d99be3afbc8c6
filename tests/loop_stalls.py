"""Times at which the event loop of a test's process stood still."""

import asyncio

import attrs

from balsamreach.clock import Clock

_CHECK_S = 0.02
_MIN_STALL_S = 0.05


@attrs.define(eq=False)
class LoopStalls:
    """Measures how long the loop of a process with callers and targets stalls.

    Meanwhile they read nothing, so what routers sent in time seems late.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _stalls: list[tuple[float, float]] = attrs.field(factory=list)

    async def watch(self) -> None:
        """Record stalls until it is cancelled."""
        while True:
            due = self.clock.now() + _CHECK_S
            await asyncio.sleep(_CHECK_S)
            now = self.clock.now()
            if now - due > _MIN_STALL_S:
                self._stalls.append((due, now))

    def seconds_between(self, first: float, last: float) -> float:
        """Return the seconds of stalls between two monotonic times."""
        return sum(
            max(0, min(last, ended) - max(first, began))
            for began, ended in self._stalls
        )
