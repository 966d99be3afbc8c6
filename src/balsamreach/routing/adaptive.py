"""How many requests a target takes at once, found from its latencies."""

import math

import attrs

_START = 16
_LEAST = 1
#: Requests whose fastest first byte is taken for one measurement.
_WINDOW = 8
#: A first byte this many times slower than the best means a queue.
_TOLERANCE = 2
_SLACK = 0.005
_CUT = 0.9
#: The best latency forgets this share with each window, so that a target
#: which became slower for good is not held down for ever.
_FORGET = 0.02


@attrs.define
class AdaptiveLimit:
    """Additive increase and multiplicative decrease on first-byte times.

    The measure is the fastest of several first bytes. Long prompts and
    cache misses make single ones slow, but a standing queue delays all.

    Parameters
    ----------
    limit : float
        Requests allowed at once now.
    best : float
        Lowest first-byte time of late, in seconds; 0 before the first.
    """

    limit: float = _START
    best: float = 0
    _fastest: float = math.inf
    _taken: int = 0
    _was_full: bool = False
    _cut_at: float = 0

    def observe(self, first_byte: float, busy: int, now: float) -> None:
        """Take the time to the first byte of a request that ended well.

        Parameters
        ----------
        first_byte : float
            Seconds from sending to the first byte.
        busy : int
            Requests in progress when it was sent, itself included.
        now : float
            Monotonic seconds.
        """
        self._fastest = min(self._fastest, first_byte)
        self._was_full = self._was_full or busy + 1 >= self.limit
        self._taken += 1
        if self._taken < _WINDOW:
            return
        self._judge(now)
        self._taken = 0
        self._fastest = math.inf
        self._was_full = False

    def overloaded(self, now: float) -> None:
        """Take a target's word that it is full."""
        self._cut(self.best, now)

    def _judge(self, now: float) -> None:
        if not self.best or self._fastest < self.best:
            self.best = self._fastest
        else:
            self.best += (self._fastest - self.best) * _FORGET
        if self._fastest > _TOLERANCE * self.best + _SLACK:
            self._cut(self._fastest, now)
        elif self._was_full:
            self.limit += 1

    def _cut(self, period: float, now: float) -> None:
        # All requests that stood in one queue come back slow together. If
        # each of them cut the limit, one burst would take it to the floor;
        # so one latency's time must pass between two cuts.
        if now - self._cut_at >= period:
            self._cut_at = now
            self.limit = max(_LEAST, self.limit * _CUT)
