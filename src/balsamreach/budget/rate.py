"""Moving average of the tokens per second that a team spends here."""

import math

import attrs

#: Default time constant in seconds: the age at which an amount's weight has
#: fallen to 1/e.
DEFAULT_WINDOW_S = 60
_MIN_AGE_S = 1


@attrs.define
class Rate:
    """Exponentially weighted moving average of tokens per second.

    Parameters
    ----------
    start : float
        Time of the first amount.
    window : float
        Time constant in seconds.
    """

    start: float
    window: float = DEFAULT_WINDOW_S
    _total: float = 0
    _updated_at: float = 0

    def add(self, tokens: int, now: float) -> None:
        """Count tokens; a negative number corrects an earlier one."""
        self._total = self._decayed_total(now) + tokens
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return the average rate in tokens per second."""
        age = max(now - self.start, _MIN_AGE_S)
        # A new average covers less than its window. Without this correction
        # the first minute would show a fraction of the rate, and every
        # request of that minute would wait for a draw of its own.
        covered = self.window * -math.expm1(-age / self.window)
        return max(0, self._decayed_total(now) / covered)

    def _decayed_total(self, now: float) -> float:
        return self._total * math.exp((self._updated_at - now) / self.window)
