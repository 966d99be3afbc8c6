"""Bounds how often requests are sent to another target."""

from collections import deque
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock

#: Steps in which a window moves on.
_STEPS = 10
#: Routers that share the slack where fewer are known: one that has just
#: started knows none yet.
_FEWEST_ROUTERS = 16


@attrs.define
class _Step:
    began: float
    first: int = 0
    again: int = 0


@attrs.define
class Repeats:
    """Repeats of each service in a sliding window, as a share of requests.

    Load pattern: a part of the targets fails, and every request there comes
    again. All routers together must stay within the users' share in each
    window. A router keeps to it for the requests that came through itself,
    so no message is needed. A bucket that fills while all is well would not
    do: it lets a burst go that its window doesn't pay for.

    Parameters
    ----------
    share : float
        Repeats for each request.
    slack : float
        Repeats that all routers may send in a window beyond that.
    window : float
        Seconds.
    clock : Clock
        Time.
    routers : callable
        Returns how many routers share the slack, dead ones included.
    """

    share: float
    slack: float
    window: float
    clock: Clock
    routers: Callable[[], int]
    _most_routers: int = _FEWEST_ROUTERS
    _steps: dict[str, deque[_Step]] = attrs.field(factory=dict)

    def first(self, service: str) -> None:
        """Take note of a request's first attempt."""
        self._newest(service).first += 1

    def again(self, service: str) -> bool:
        """Return whether a repeat may be sent; it is counted."""
        newest = self._newest(service)
        steps = self._steps[service]
        allowed = self._own_slack()
        allowed += self.share * sum(step.first for step in steps)
        if sum(step.again for step in steps) + 1 > allowed:
            return False
        newest.again += 1
        return True

    def _own_slack(self) -> float:
        # A router that is cut off forgets the others after a while. They
        # send repeats all the same, so the most that were ever known count.
        self._most_routers = max(self._most_routers, self.routers())
        return self.slack / self._most_routers

    def _newest(self, service: str) -> _Step:
        now = self.clock.now()
        steps = self._steps.setdefault(service, deque())
        while steps and steps[0].began <= now - self.window:
            steps.popleft()
        if not steps or now >= steps[-1].began + self.window / _STEPS:
            steps.append(_Step(now))
        return steps[-1]
