"""How many requests a target takes at once, found from its latencies."""

import math

import attrs

from balsamreach.targets.registry import LoadReport

_START = 16
_LEAST = 1
#: Requests whose fastest first byte is taken for one measurement.
_WINDOW = 8
#: A first byte this many times slower than the best means a queue.
_TOLERANCE = 2
_SLACK = 0.005
_CUT = 0.9
_DEEPEST_CUT = 0.5
#: Growth for each report that shows no queue although the limit was met.
_STEP = 0.25
#: The best latency forgets this share with each window, so that a target
#: which became slower for good is not held down for ever.
_FORGET = 0.02


@attrs.define(weakref_slot=False)
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
    _told: bool = False

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
        if self._told or self._taken < _WINDOW:
            return
        self._judge(now)
        self._taken = 0
        self._fastest = math.inf
        self._was_full = False

    def reported(self, report: LoadReport, now: float) -> None:
        """Take a target's own word on its queue, which beats guessing.

        Parameters
        ----------
        report : LoadReport
            A new report.
        now : float
            Monotonic seconds.
        """
        self._told = report.slots > 0
        # A report taken before the last cut shows the queue that the cut was
        # meant for. Cutting again for it would take the limit to the floor
        # the later reports come, and leave the target half idle.
        if not self._told or report.taken_at <= self._cut_at:
            return
        if report.queued:
            busy = report.running + report.queued
            self._cut(report.running / busy, now)
        elif self._was_full:
            self.limit += _STEP
        self._was_full = False

    def overloaded(self, now: float) -> None:
        """Take a target's word that it is full."""
        if now - self._cut_at >= self.best:
            self._cut(_CUT, now)

    def _judge(self, now: float) -> None:
        if not self.best or self._fastest < self.best:
            self.best = self._fastest
        else:
            self.best += (self._fastest - self.best) * _FORGET
        most = _TOLERANCE * self.best + _SLACK
        if self._fastest <= most:
            self.limit += self._was_full
        elif now - self._cut_at >= self._fastest:
            # All requests that stood in one queue come back slow together.
            # If each of them cut the limit, one burst would take it to the
            # floor; so one latency's time must pass between two cuts.
            self._cut(most / self._fastest, now)

    def _cut(self, part: float, now: float) -> None:
        self._cut_at = now
        part = min(_CUT, max(_DEEPEST_CUT, part))
        self.limit = max(_LEAST, self.limit * part)
