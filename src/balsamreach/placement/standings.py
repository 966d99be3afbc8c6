"""What targets have said of themselves, by their starts."""

import attrs

#: Starts whose standings are kept. Source: an hour of the largest fleet's
#: restarts.
_MOST_KEPT = 2000


@attrs.frozen(kw_only=True)
class Window:
    """How many requests a target bears of this router.

    Parameters
    ----------
    limit : float
        Requests in progress at once.
    fast_until : float
        Limit up to which it rises with each request accepted.
    step : float
        Seconds in which it rises by one beyond that.
    opened_at : float
        Monotonic seconds of the last rise.
    """

    limit: float
    fast_until: float
    step: float
    opened_at: float


@attrs.frozen
class Standing:
    """What one start of a target has said of itself.

    Parameters
    ----------
    leaving : bool
        Whether it will leave.
    retry_at : float
        Monotonic seconds up to which it wants no requests.
    window : Window or None
        What it bears, where it has rejected requests of late.
    """

    leaving: bool = False
    retry_at: float = float('-inf')
    window: Window | None = None

    def allows(self, running: int, now: float) -> bool:
        """Return whether one more request may be sent.

        Parameters
        ----------
        running : int
            Requests of this router in progress there.
        now : float
            Monotonic seconds.
        """
        if self.retry_at > now:
            return False
        return self.window is None or running < self.window.limit


_NOTHING_SAID = Standing()


@attrs.define(eq=False)
class Standings:
    """Standings of targets, which outlive the targets' entries in the list.

    An entry may lapse, as in an outage of the store, and come back while what
    the target said still holds.
    """

    _by_start: dict[str, Standing] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of starts that have said something."""
        return len(self._by_start)

    def find(self, incarnation: str) -> Standing:
        """Return what a start has said."""
        return self._by_start.get(incarnation, _NOTHING_SAID)

    def leaves(self, incarnation: str) -> None:
        """Note that a start will leave."""
        known = self.find(incarnation)
        self.put(incarnation, attrs.evolve(known, leaving=True))

    def put(self, incarnation: str, standing: Standing) -> None:
        """Keep what a start has said, and forget what is oldest."""
        self._by_start.pop(incarnation, None)
        self._by_start[incarnation] = standing
        while len(self._by_start) > _MOST_KEPT:
            self._by_start.pop(next(iter(self._by_start)))
