"""How late the event loop runs its timers."""

from collections import deque

import attrs

from balsamreach.clock import Clock
from balsamreach.telemetry.metrics import Metrics

LOOP_LATE = 'balsamreach_loop_late_seconds'

#: Delays in seconds that are not kept. A timer is late by some milliseconds
#: in a busy process that is not short of processor time.
_MIN_LATE_S = 0.02
#: Number of delays that are kept, the latest ones.
_MAX_KEPT = 256


@attrs.frozen
class _Delay:
    """A timer that was late."""

    ended_at: float
    late: float


@attrs.define(eq=False)
class LoopLateness:
    """Measures a timer that recurs.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Observes each delay.
    interval : float
        Seconds between two calls of ``record_tick``.
    """

    clock: Clock
    metrics: Metrics
    interval: float
    _ticked_at: float | None = None
    _delays: deque[_Delay] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_KEPT)
    )

    def record_tick(self) -> None:
        """Record that the timer has fired."""
        now = self.clock.now()
        if self._ticked_at is not None:
            late = max(0.0, now - self._ticked_at - self.interval)
            self.metrics.observe(LOOP_LATE, late)
            if late >= _MIN_LATE_S:
                self._delays.append(_Delay(now, late))
        self._ticked_at = now

    def max_since(self, time: float) -> float:
        """Return the largest delay since a time.

        Parameters
        ----------
        time : float
            Monotonic seconds.

        Returns
        -------
        float
            Seconds; 0 if there was none of at least 20 ms. The timer that is
            due now counts as well.
        """
        late = 0.0
        if self._ticked_at is not None:
            late = self.clock.now() - self._ticked_at - self.interval
        late = late if late >= _MIN_LATE_S else 0.0
        since = (one.late for one in self._delays if one.ended_at >= time)
        return max(late, max(since, default=0.0))
