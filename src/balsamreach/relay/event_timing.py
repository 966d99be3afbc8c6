"""Arrival times of the events of one stream."""

import attrs

_MS = 1000


@attrs.define
class EventTiming:
    """Measures the time to the first event and the longest gap.

    Parameters
    ----------
    started : float
        Monotonic seconds at which the first attempt started.
    first_event_ms : int or None
        Milliseconds from then to the first event.
    longest_gap_ms : int
        Milliseconds of the longest gap between two events.
    """

    started: float
    first_event_ms: int | None = None
    longest_gap_ms: int = 0
    _last_at: float = 0

    def record(self, now: float) -> None:
        """Record events that arrived together.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.first_event_ms is None:
            self.first_event_ms = round((now - self.started) * _MS)
        else:
            gap = round((now - self._last_at) * _MS)
            self.longest_gap_ms = max(self.longest_gap_ms, gap)
        self._last_at = now
