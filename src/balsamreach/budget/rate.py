"""The rate at which a team spends through this router."""

import math

import attrs

#: Usual seconds after which an amount counts for a third in the average.
WINDOW_S = 60
_SHORTEST_S = 1


@attrs.define
class Rate:
    """Exponentially weighted average of tokens a second.

    Parameters
    ----------
    since : float
        Time of the first amount.
    window : float
        Seconds after which an amount counts for a third.
    """

    since: float
    window: float = WINDOW_S
    _weight: float = 0
    _at: float = 0

    def add(self, tokens: int, now: float) -> None:
        """Count tokens; a negative number corrects an earlier one."""
        self._weight = self._decayed(now) + tokens
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the average rate."""
        age = max(now - self.since, _SHORTEST_S)
        # A young average has seen less than its window; without this
        # correction the first minute would show a fraction of the rate and
        # every request of that minute would wait for a draw of its own.
        seen = self.window * -math.expm1(-age / self.window)
        return max(0, self._decayed(now) / seen)

    def _decayed(self, now: float) -> float:
        return self._weight * math.exp((self._at - now) / self.window)
