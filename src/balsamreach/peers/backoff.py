"""Backoff between attempts to connect to an unreachable router."""

import attrs

from balsamreach.clock import Clock

_FIRST_PAUSE = 5
_MAX_PAUSE = 300


@attrs.define
class _Failure:
    pause: float
    until: float


@attrs.define(eq=False)
class Backoff:
    """Doubles the pause between attempts to connect to a router.

    Where only the path between two routers is broken, one declares the other
    dead, the other refutes it, and so on. Without pauses these updates spread
    through the whole fleet without end, and deaths and revisions grow by the
    second.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    clock: Clock
    _failures: dict[str, _Failure] = attrs.field(factory=dict)

    def must_wait(self, incarnation: str) -> bool:
        """Return whether it is too early for the next attempt."""
        failure = self._failures.get(incarnation)
        return failure is not None and self.clock.now() < failure.until

    def record_failure(self, incarnation: str) -> None:
        """Double the pause before the next attempt, up to the maximum."""
        failure = self._failures.get(incarnation)
        pause = _FIRST_PAUSE if failure is None else 2 * failure.pause
        pause = min(pause, _MAX_PAUSE)
        until = self.clock.now() + pause
        self._failures[incarnation] = _Failure(pause, until)

    def record_success(self, incarnation: str) -> None:
        """Clear the failures of a router."""
        self._failures.pop(incarnation, None)

    def prune(self) -> None:
        """Drop failures whose pause ended more than a maximum pause ago."""
        limit = self.clock.now() - _MAX_PAUSE
        for incarnation, failure in tuple(self._failures.items()):
            if failure.until < limit:
                self._failures.pop(incarnation)
