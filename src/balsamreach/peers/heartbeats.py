"""Decides when a heartbeat is due on a connection."""

import attrs

from balsamreach.wire.base import Message
from balsamreach.wire.membership import Heartbeat


@attrs.define
class HeartbeatSchedule:
    """Skips heartbeats while other messages prove the same.

    On a busy connection they would only add bytes; but a heartbeat whose
    content changed must still be sent.
    """

    _quiet: bool = True
    _last: Heartbeat | None = None

    def note_sent(self, message: Message) -> None:
        """Record that a message was sent."""
        if not isinstance(message, Heartbeat):
            self._quiet = False

    def check_due(self, heartbeat: Heartbeat) -> bool:
        """Return whether to send this heartbeat; starts the next interval."""
        due = self._quiet or heartbeat != self._last
        self._quiet = True
        self._last = heartbeat
        return due
