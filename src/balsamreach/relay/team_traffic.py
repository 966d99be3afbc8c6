"""Counts the requests and bytes of each team on the host's link."""

from collections import Counter, deque

import attrs

from balsamreach.clock import Clock

#: Length in seconds of the sliding window.
WINDOW_S = 1
#: Number of buckets that the window consists of.
_BUCKETS = 10


@attrs.frozen
class _Bucket:
    """What was counted in a tenth of the window."""

    number: int
    sizes: Counter[str] = attrs.field(factory=Counter)
    requests: Counter[str] = attrs.field(factory=Counter)


@attrs.define
class TeamTraffic:
    """Requests and bytes of each team in a sliding second.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _buckets: deque[_Bucket] = attrs.field(factory=deque)
    _sizes: Counter[str] = attrs.field(factory=Counter)
    _requests: Counter[str] = attrs.field(factory=Counter)

    def add(self, team: str, size: int, requests: int = 0) -> None:
        """Add bytes that cross the link, and requests that were received."""
        bucket = self._current()
        for sizes in (bucket.sizes, self._sizes):
            sizes[team] += size
        for counts in (bucket.requests, self._requests):
            counts[team] += requests

    def bytes_per_second(self) -> dict[str, int]:
        """Return the bytes of each team in the last second."""
        self._drop_old()
        return dict(self._sizes)

    def requests(self, team: str) -> int:
        """Return the requests received from a team in the last second."""
        self._drop_old()
        return self._requests[team]

    def _current(self) -> _Bucket:
        self._drop_old()
        number = self._number()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]

    def _drop_old(self) -> None:
        oldest = self._number() - _BUCKETS
        while self._buckets and self._buckets[0].number <= oldest:
            bucket = self._buckets.popleft()
            # Subtraction drops entries that are not positive, so that teams
            # without requests take no memory.
            self._sizes -= bucket.sizes
            self._requests -= bucket.requests

    def _number(self) -> int:
        return int(self.clock.now() * _BUCKETS / WINDOW_S)
