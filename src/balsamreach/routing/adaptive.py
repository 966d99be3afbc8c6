"""Limit on the requests at one target, adapted to its first-byte times."""

import math

import attrs

from balsamreach.targets.registry import LoadReport

_INITIAL_LIMIT = 16
_MIN_LIMIT = 1
#: Number of requests of which the fastest first byte makes one sample.
_SAMPLE_SIZE = 8
#: A fastest first byte above this multiple of the best, plus the slack, means
#: that requests queue at the target.
_TOLERANCE = 2
_SLACK = 0.005
_SMALLEST_DECREASE = 0.9
_LARGEST_DECREASE = 0.5
#: Increase per report that shows no queue although the limit was reached.
_INCREASE = 0.25
#: Share by which the best latency moves towards each slower sample, so that a
#: target that became slower for good is not limited forever.
_BEST_DRIFT = 0.02


@attrs.define(weakref_slot=False)
class AdaptiveLimit:
    """Additive increase and multiplicative decrease on first-byte times.

    A sample is the fastest of several first bytes. Long prompts and cache
    misses slow down single requests, but a standing queue delays all.

    Parameters
    ----------
    limit : float
        Requests allowed at once now.
    best : float
        Lowest recent first-byte time in seconds; 0 before the first sample.
    """

    limit: float = _INITIAL_LIMIT
    best: float = 0
    _fastest: float = math.inf
    _observed: int = 0
    _limit_reached: bool = False
    _decreased_at: float = 0
    _reports_slots: bool = False

    def observe(self, first_byte: float, in_progress: int, now: float) -> None:
        """Add the first-byte time of a request that completed normally.

        Parameters
        ----------
        first_byte : float
            Seconds from sending to the first byte.
        in_progress : int
            Requests in progress when it was sent, including itself.
        now : float
            Monotonic seconds.
        """
        self._fastest = min(self._fastest, first_byte)
        self._limit_reached = (
            self._limit_reached or in_progress + 1 >= self.limit
        )
        self._observed += 1
        if self._reports_slots or self._observed < _SAMPLE_SIZE:
            return
        self._evaluate_sample(now)
        self._observed = 0
        self._fastest = math.inf
        self._limit_reached = False

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report, which replaces first-byte samples.

        Parameters
        ----------
        report : LoadReport
            A new report; without slots, first-byte samples stay in use.
        now : float
            Monotonic seconds.
        """
        self._reports_slots = report.slots > 0
        # A report taken before the last decrease shows the queue that caused
        # it. Decreasing again for each late report would take the limit to its
        # minimum and leave the target half idle.
        if not self._reports_slots or report.valid_at <= self._decreased_at:
            return
        if report.queued:
            in_progress = report.running + report.queued
            self._decrease(report.running / in_progress, now)
        elif self._limit_reached:
            self.limit += _INCREASE
        self._limit_reached = False

    def target_overloaded(self, now: float) -> None:
        """Decrease the limit because the target rejected a request as full."""
        if now - self._decreased_at >= self.best:
            self._decrease(_SMALLEST_DECREASE, now)

    def _evaluate_sample(self, now: float) -> None:
        if not self.best or self._fastest < self.best:
            self.best = self._fastest
        else:
            self.best += (self._fastest - self.best) * _BEST_DRIFT
        threshold = _TOLERANCE * self.best + _SLACK
        if self._fastest <= threshold:
            self.limit += self._limit_reached
        elif now - self._decreased_at >= self._fastest:
            # All requests of one queue come back slow together. If each of
            # them decreased the limit, one burst would take it to its minimum,
            # so one first-byte time has to pass between two decreases.
            self._decrease(threshold / self._fastest, now)

    def _decrease(self, factor: float, now: float) -> None:
        self._decreased_at = now
        factor = min(_SMALLEST_DECREASE, max(_LARGEST_DECREASE, factor))
        self.limit = max(_MIN_LIMIT, self.limit * factor)
