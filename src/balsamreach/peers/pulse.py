"""When a heartbeat is due on a connection."""

import attrs

from balsamreach.wire.base import Message
from balsamreach.wire.membership import Heartbeat


@attrs.define
class Pulse:
    """Leaves heartbeats out where other messages show the same.

    On a busy connection they would only add bytes; but what a heartbeat
    tells must still reach the peer when it changes.
    """

    _quiet: bool = True
    _last: Heartbeat | None = None

    def sent(self, message: Message) -> None:
        """Note that a message was sent."""
        if not isinstance(message, Heartbeat):
            self._quiet = False

    def due(self, heartbeat: Heartbeat) -> bool:
        """Return whether to send this one now; begin the next interval."""
        due = self._quiet or heartbeat != self._last
        self._quiet = True
        self._last = heartbeat
        return due
