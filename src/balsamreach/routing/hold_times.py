"""Times that requests hold their slots, and wait estimates from them."""

import attrs

_SMOOTHING = 0.05
#: Most requests end within the mean plus this many mean deviations.
_DEVIATIONS = 2
_MAX_WAIT = 60.0


@attrs.define
class HoldTimes:
    """Exponentially smoothed slot hold times of a pool's requests.

    Parameters
    ----------
    mean : float
        Smoothed hold time in seconds; 0 before the first request has ended.
    deviation : float
        Smoothed absolute deviation from the mean, in seconds.
    """

    mean: float = 0
    deviation: float = 0

    def add(self, seconds: float) -> None:
        """Add the hold time of a request that released its slot."""
        if not self.mean:
            self.mean = seconds
            return
        difference = abs(seconds - self.mean)
        self.deviation += (difference - self.deviation) * _SMOOTHING
        self.mean += (seconds - self.mean) * _SMOOTHING

    def likely_max(self) -> float:
        """Return the seconds within which most requests end."""
        return self.mean + _DEVIATIONS * self.deviation

    def estimate_wait(self, ahead: int, held: int) -> float:
        """Return the seconds until a number of requests have had slots.

        By Little's law, slots come free at a rate of their number divided by
        the hold time. A rate measured from past releases would reflect the low
        demand of a quiet pool, and bursts that it can handle would be refused.

        Parameters
        ----------
        ahead : int
            Requests that are served before.
        held : int
            Slots that are held now.
        """
        return min(_MAX_WAIT, ahead * self.mean / max(1, held))
