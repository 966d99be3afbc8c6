"""When the events of one stream came."""

import attrs

_MS = 1000


@attrs.define
class Rhythm:
    """Takes the time of each event.

    Parameters
    ----------
    began : float
        Monotonic seconds of the first attempt.
    first_event_ms : int or None
        Milliseconds from then to the first event.
    longest_gap_ms : int
        Milliseconds of the longest pause between two events.
    """

    began: float
    first_event_ms: int | None = None
    longest_gap_ms: int = 0
    _last: float = 0

    def note(self, now: float) -> None:
        """Take note of events that came together.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.first_event_ms is None:
            self.first_event_ms = round((now - self.began) * _MS)
        else:
            gap = round((now - self._last) * _MS)
            self.longest_gap_ms = max(self.longest_gap_ms, gap)
        self._last = now
