"""What targets have said of themselves, by their starts."""

import attrs

#: Starts whose standings are kept. Source: an hour of the largest fleet's
#: restarts.
_MOST_KEPT = 2000


@attrs.frozen
class Standing:
    """What one start of a target has said of itself.

    Parameters
    ----------
    leaving : bool
        Whether it will leave.
    retry_at : float
        Monotonic seconds up to which it wants no requests.
    """

    leaving: bool = False
    retry_at: float = float('-inf')


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

    def retry_at(self, incarnation: str) -> float:
        """Return monotonic seconds up to which a start wants no requests."""
        return self.find(incarnation).retry_at

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
