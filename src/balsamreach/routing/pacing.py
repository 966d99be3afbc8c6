"""How long requests hold their slots, and so how long one waits."""

import attrs

_SMOOTH = 0.05
#: Most requests end within the mean and this many spreads.
_SPREADS = 2
_LONGEST = 60.0


@attrs.define
class Pacing:
    """Smoothed times that a pool's requests hold their slots.

    Parameters
    ----------
    seconds : float
        Smoothed time; 0 before the first request has ended.
    spread : float
        Smoothed distance of single times from it.
    """

    seconds: float = 0
    spread: float = 0

    def left(self, seconds: float) -> None:
        """Take note of a request that gave its slot back."""
        if not self.seconds:
            self.seconds = seconds
            return
        strayed = abs(seconds - self.seconds)
        self.spread += (strayed - self.spread) * _SMOOTH
        self.seconds += (seconds - self.seconds) * _SMOOTH

    def needed(self) -> float:
        """Return the seconds within which most requests end."""
        return self.seconds + _SPREADS * self.spread

    def wait(self, ahead: int, held: int) -> float:
        """Return the seconds until a number of requests have had slots.

        By Little's law slots come free at their number over the time each
        is held. A rate counted from past ends would show the demand of a
        quiet pool, and a burst would be refused that it could well take.

        Parameters
        ----------
        ahead : int
            Requests that go first.
        held : int
            Slots held now, while nobody else can have one.
        """
        return min(_LONGEST, ahead * self.seconds / max(1, held))
