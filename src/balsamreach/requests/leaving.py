"""Decides which requests a router that is being stopped still takes.

Load pattern: a host is stopped while its callers keep sending, on new
connections until the load balancer has noticed, on open ones, and bodies that
began to arrive before. A request that outlasts the grace period is cut off,
although another router could have run it.
"""

import attrs

from balsamreach.clock import Clock

#: Factor by which a request may take longer than the slowest recent one of its
#: route.
_MARGIN = 1.5
#: Seconds after which the slowest request of a route is looked for anew, so
#: that a single one doesn't count for long.
_WINDOW_S = 10.0
#: Maximum number of routes that are remembered. Beyond it, the one that has
#: been known for longest is forgotten, as are those that have been removed.
_MAX_ROUTES = 4096


@attrs.define
class _Window:
    """The slowest requests of a route.

    Parameters
    ----------
    began_at : float
        Monotonic seconds at which the current window began.
    slowest, before : float
        Longest duration in seconds in the current and the previous window.
    """

    began_at: float
    slowest: float = 0
    before: float = 0


@attrs.define(eq=False)
class RecentDurations:
    """How long the recent requests of each route have taken.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _windows: dict[str, _Window] = attrs.field(factory=dict)

    def record(self, route: str, seconds: float) -> None:
        """Record a request that a target may have run."""
        now = self.clock.now()
        window = self._windows.get(route)
        if window is None:
            window = _Window(now)
            self._windows[route] = window
            if len(self._windows) > _MAX_ROUTES:
                self._windows.pop(next(iter(self._windows)))
        if now - window.began_at > _WINDOW_S:
            window.before = window.slowest
            window.slowest = 0
            window.began_at = now
        window.slowest = max(window.slowest, seconds)

    def slowest(self, route: str) -> float | None:
        """Return the longest recent duration in seconds; None if unknown."""
        window = self._windows.get(route)
        return None if window is None else max(window.slowest, window.before)


@attrs.define(eq=False)
class LeavingAdmission:
    """Refuses requests that the rest of the grace period may be too short for.

    Parameters
    ----------
    durations : RecentDurations
        How long requests take.
    ends_at : float or None
        Monotonic seconds at which the requests in progress are cut off; None
        while the router isn't being stopped.
    """

    durations: RecentDurations
    ends_at: float | None = None

    def find_problem(self, route: str, deadline: float) -> str:
        """Return why a request is refused; empty if it is taken.

        Parameters
        ----------
        route : str
            Route of the request.
        deadline : float
            Monotonic seconds by which it ends in any case.
        """
        if self.ends_at is None:
            return ''
        now = self.durations.clock.now()
        needed = deadline - now
        slowest = self.durations.slowest(route)
        if slowest is not None:
            needed = min(needed, slowest * _MARGIN)
        left = self.ends_at - now
        if left > 0 and needed <= left:
            return ''
        return f'the router stops in {left:.1f} s; it may take {needed:.1f} s'

    def close(self) -> None:
        """Refuse all further requests."""
        self.ends_at = self.durations.clock.now()
