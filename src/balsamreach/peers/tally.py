"""Counts what happens on the connections to peers."""

import attrs

from balsamreach.peers import counters
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message


@attrs.frozen
class Tally:
    """Counters of the peers layer.

    Parameters
    ----------
    metrics : Metrics
        The process's metrics.
    """

    metrics: Metrics

    def message(self, way: str, message: Message, size: int) -> None:
        """Count a message that went ``in`` or ``out``."""
        kind = type(message).__name__
        self.metrics.count(counters.MESSAGES, way=way, kind=kind)
        self.metrics.count(counters.BYTES, size, way=way)

    def dropped(self, reason: str) -> None:
        """Count a message that was dropped."""
        self.metrics.count(counters.DROPPED, reason=reason)

    def refused(self, reason: str) -> None:
        """Count a message or connection that was refused."""
        self.metrics.count(counters.REFUSED, reason=reason)

    def paused(self) -> None:
        """Count that this process stood still."""
        self.metrics.count(counters.PAUSES)
