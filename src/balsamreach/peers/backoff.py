"""Addresses that lately couldn't be reached from here."""

import attrs

from balsamreach.clock import Clock

_FIRST = 5
_LONGEST = 300


@attrs.define
class _Failure:
    pause: float
    until: float


@attrs.define(eq=False)
class Backoff:
    """Spaces the tries to reach a router that others do reach.

    Where only the way between two routers is broken, one calls the other
    dead, the other refutes it, and so on: news without end, in the whole
    fleet. It would show as deaths and revisions that grow by the second.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    clock: Clock
    _failures: dict[str, _Failure] = attrs.field(factory=dict)

    def waits(self, incarnation: str) -> bool:
        """Return whether it is too early to try again."""
        failure = self._failures.get(incarnation)
        return failure is not None and self.clock.now() < failure.until

    def failed(self, incarnation: str) -> None:
        """Wait twice as long as the time before."""
        failure = self._failures.get(incarnation)
        pause = _FIRST if failure is None else 2 * failure.pause
        pause = min(pause, _LONGEST)
        until = self.clock.now() + pause
        self._failures[incarnation] = _Failure(pause, until)

    def succeeded(self, incarnation: str) -> None:
        """Forget all failures."""
        self._failures.pop(incarnation, None)

    def forget(self) -> None:
        """Drop failures so old that they say nothing any more."""
        limit = self.clock.now() - _LONGEST
        for incarnation, failure in tuple(self._failures.items()):
            if failure.until < limit:
                self._failures.pop(incarnation)
