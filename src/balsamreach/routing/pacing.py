"""How fast a pool's requests end, and so how long one waits in its queue."""

import attrs

#: Ends are counted over windows of this many seconds.
_WINDOW = 1.0
_SMOOTH = 0.3
_SLOW = 0.05
#: Most requests end within the mean and this many spreads.
_SPREADS = 2
_LONGEST = 60.0


@attrs.define
class Pacing:
    """Smoothed rate of requests that end, and how long each takes.

    Parameters
    ----------
    seconds : float
        Smoothed time that a request holds its slot.
    spread : float
        Smoothed distance of single times from it.
    rate : float
        Smoothed ends a second; 0 before the first window is over.
    """

    seconds: float = 0
    spread: float = 0
    rate: float = 0
    _ended: int = 0
    _since: float | None = None

    def left(self, seconds: float, now: float) -> None:
        """Take note of a request that gave its slot back."""
        if self.seconds:
            strayed = abs(seconds - self.seconds)
            self.spread += (strayed - self.spread) * _SLOW
            self.seconds += (seconds - self.seconds) * _SLOW
        else:
            self.seconds = seconds
        if self._since is None:
            self._since = now
        self._ended += 1
        passed = now - self._since
        if passed < _WINDOW:
            return
        rate = self._ended / passed
        smooth = _SMOOTH if self.rate else 1
        self.rate += (rate - self.rate) * smooth
        self._ended = 0
        self._since = now

    def needed(self) -> float:
        """Return the seconds within which most requests end."""
        return self.seconds + _SPREADS * self.spread

    def wait(self, ahead: int) -> float:
        """Return the seconds until a number of requests have ended."""
        if not self.rate or not ahead:
            return 0
        return min(_LONGEST, ahead / self.rate)
