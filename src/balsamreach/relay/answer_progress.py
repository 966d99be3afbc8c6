"""How far the response to one attempt has got."""

import attrs

from balsamreach.clock import Clock

_MS = 1000


@attrs.define(eq=False)
class AnswerProgress:
    """The time for which a target has written events.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    first_event_at : float or None
        Monotonic seconds at which the first event arrived.
    """

    clock: Clock
    first_event_at: float | None = None

    @property
    def answering_ms(self) -> int | None:
        """Milliseconds since the first event; None before it."""
        if self.first_event_at is None:
            return None
        return round((self.clock.now() - self.first_event_at) * _MS)

    def record_events(self) -> None:
        """Record that events have arrived."""
        if self.first_event_at is None:
            self.first_event_at = self.clock.now()
