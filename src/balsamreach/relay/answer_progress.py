"""How far the response to one attempt has got."""

from collections.abc import Callable

import attrs

from balsamreach.clock import Clock

_MS = 1000
#: Seconds of events that show that a request doesn't crash its target as it
#: begins to answer. Targets that do crash then do so within 0.1 s.
_PROOF_S = 0.5


def _ignore() -> None:
    """Record nothing."""


@attrs.define(eq=False)
class AnswerProgress:
    """The time for which a target has written events.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    on_proven : callable
        Called once the response shows that its prompt crashes no target.
    sent_at : float
        Monotonic seconds at which the attempt began.
    first_event_at : float or None
        Monotonic seconds at which the first event arrived.
    is_proven : bool
        Whether ``on_proven`` was called.
    heard_at : float
        Monotonic seconds at which the head or the last events arrived, or at
        which the attempt began.
    """

    clock: Clock
    on_proven: Callable[[], None] = _ignore
    sent_at: float = attrs.field(init=False)
    first_event_at: float | None = None
    is_proven: bool = False
    heard_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin now."""
        self.sent_at = self.clock.now()
        self.heard_at = self.sent_at

    @property
    def answering_ms(self) -> int | None:
        """Milliseconds since the first event; None before it."""
        if self.first_event_at is None:
            return None
        return round((self.clock.now() - self.first_event_at) * _MS)

    @property
    def silence(self) -> float:
        """Seconds since the head or the last events arrived."""
        return self.clock.now() - self.heard_at

    def record_head(self) -> None:
        """Record that the head has arrived."""
        self.heard_at = self.clock.now()

    def record_events(self) -> None:
        """Record that events have arrived."""
        now = self.clock.now()
        self.heard_at = now
        if self.first_event_at is None:
            self.first_event_at = now
        elif not self.is_proven and now - self.first_event_at >= _PROOF_S:
            self.is_proven = True
            self.on_proven()
