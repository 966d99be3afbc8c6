"""Token buckets that hold a rate a minute."""

import attrs

_MINUTE = 60.0
#: A bucket holds what this many seconds of its rate bring.
_BURST = 10.0
#: Weight of the newest window in the smoothed demand.
_SMOOTH = 0.5
_LEAST_DEMAND = 0.5


@attrs.define
class Bucket:
    """One token bucket; a rate of 0 means that there is no limit.

    Parameters
    ----------
    filled_at : float
        Monotonic seconds up to which it has been filled.
    """

    filled_at: float
    level: float | None = None
    rate: float = 0

    def refill(self, per_minute: float, now: float) -> None:
        """Fill up to now at the old rate, then go on at another one."""
        most = max(1, per_minute * _BURST / _MINUTE)
        if self.level is None:
            self.level = most
        self.level += (now - self.filled_at) * self.rate
        self.level = min(self.level, most)
        self.filled_at = now
        self.rate = per_minute / _MINUTE

    def wait(self, amount: float) -> float:
        """Return the seconds until an amount may be taken; 0 for now.

        An amount larger than the bucket may be taken from a full one and
        leaves it in debt, or it could never be taken at all.
        """
        if not self.rate or self.level is None:
            return 0
        most = max(1, self.rate * _BURST)
        missing = min(amount, most) - self.level
        return max(0, missing / self.rate)

    def take(self, amount: float) -> None:
        """Take an amount."""
        if self.level is not None:
            self.level -= amount

    def give_back(self, amount: float) -> None:
        """Give back what was taken and not used."""
        if self.level is not None:
            self.level += max(0, amount)


@attrs.define
class TeamRates:
    """The two rates of one team and its demand on this router."""

    requests: Bucket
    tokens: Bucket
    wanted: int = 0
    _smoothed: float = 0

    def demand(self) -> float:
        """Return the requests wanted in a window, smoothed."""
        return max(self._smoothed, self.wanted)

    def close_window(self) -> None:
        """Begin the next window."""
        self._smoothed += (self.wanted - self._smoothed) * _SMOOTH
        if self._smoothed < _LEAST_DEMAND:
            self._smoothed = 0
        self.wanted = 0
