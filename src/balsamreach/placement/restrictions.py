"""Restrictions on requests that incarnations of targets have asked for."""

import attrs

#: Incarnations whose restrictions are kept. The largest fleet has about as
#: many restarts in an hour.
_MAX_KEPT = 2000


@attrs.frozen(kw_only=True)
class Window:
    """How many requests of this router a target can take.

    Parameters
    ----------
    limit : float
        Requests in progress at once.
    fast_until : float
        Limit up to which it rises with each request accepted.
    step : float
        Seconds in which it rises by one beyond that.
    widened_at : float
        Monotonic seconds of the last rise.
    """

    limit: float
    fast_until: float
    step: float
    widened_at: float


@attrs.frozen
class Restriction:
    """What one incarnation of a target allows.

    Parameters
    ----------
    leaving : bool
        Whether it will leave.
    retry_at : float
        Monotonic seconds until which it wants no requests.
    window : Window or None
        Bound on requests in progress; None if it has rejected none lately.
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


_NO_RESTRICTION = Restriction()


@attrs.define(eq=False)
class Restrictions:
    """Restrictions by incarnation, which outlive the targets' list entries.

    An entry may expire, for example in an outage of the store, and return
    while the restriction still holds.
    """

    _by_incarnation: dict[str, Restriction] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of incarnations with a restriction."""
        return len(self._by_incarnation)

    def find(self, incarnation: str) -> Restriction:
        """Return the restriction of an incarnation."""
        return self._by_incarnation.get(incarnation, _NO_RESTRICTION)

    def mark_leaving(self, incarnation: str) -> None:
        """Record that an incarnation will leave."""
        known = self.find(incarnation)
        self.put(incarnation, attrs.evolve(known, leaving=True))

    def put(self, incarnation: str, restriction: Restriction) -> None:
        """Store a restriction, and drop the oldest beyond the bound."""
        self._by_incarnation.pop(incarnation, None)
        self._by_incarnation[incarnation] = restriction
        while len(self._by_incarnation) > _MAX_KEPT:
            self._by_incarnation.pop(next(iter(self._by_incarnation)))
