"""Bounds the retries of requests at other targets."""

from collections import deque
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock

#: Steps into which the sliding window is divided.
_STEPS = 10
#: Minimum number of routers that the slack is divided among: a router that
#: has just started knows no others yet.
_MIN_ROUTERS = 16


@attrs.define
class _Step:
    started: float
    first_attempts: int = 0
    retries: int = 0


@attrs.define
class RelayRetryBudget:
    """Bounds retries to a share of the requests in a sliding window.

    Load pattern: some of the targets fail, and every request there is
    retried. All routers together must stay within the users' share of
    retries in each window. Each router applies the share to the requests that
    it received itself, so no messages are needed. A token bucket would not
    do: it fills while nothing fails, and then allows a burst that exceeds the
    share of its window.

    Parameters
    ----------
    share : float
        Retries for each request.
    slack : float
        Further retries of all routers together in a window.
    window : float
        Length of the window in seconds.
    clock : Clock
        Source of the current time.
    routers : callable
        Returns how many routers share the slack, including dead ones.
    """

    share: float
    slack: float
    window: float
    clock: Clock
    routers: Callable[[], int]
    _max_routers: int = _MIN_ROUTERS
    _steps: dict[str, deque[_Step]] = attrs.field(factory=dict)

    def record_first(self, service: str) -> None:
        """Record the first attempt of a request to a service."""
        self._newest(service).first_attempts += 1

    def allow_retry(self, service: str) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        newest = self._newest(service)
        steps = self._steps[service]
        allowed = self._own_slack()
        allowed += self.share * sum(step.first_attempts for step in steps)
        if sum(step.retries for step in steps) + 1 > allowed:
            return False
        newest.retries += 1
        return True

    def _own_slack(self) -> float:
        # A router that is cut off forgets the others after a while, but they
        # still send retries. So the largest number ever known counts.
        self._max_routers = max(self._max_routers, self.routers())
        return self.slack / self._max_routers

    def _newest(self, service: str) -> _Step:
        now = self.clock.now()
        steps = self._steps.setdefault(service, deque())
        while steps and steps[0].started <= now - self.window:
            steps.popleft()
        if not steps or now >= steps[-1].started + self.window / _STEPS:
            steps.append(_Step(now))
        return steps[-1]
