"""Counts messages, drops and refusals on the connections to peers."""

import attrs

from balsamreach.peers import metric_names
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message


@attrs.frozen
class PeerCounters:
    """Counters of messages and connections between routers.

    Parameters
    ----------
    metrics : Metrics
        The process's metrics.
    """

    metrics: Metrics

    def count_message(self, way: str, message: Message, size: int) -> None:
        """Count a message; ``way`` is ``in`` or ``out``."""
        kind = type(message).__name__
        self.metrics.count(metric_names.MESSAGES, way=way, kind=kind)
        self.metrics.count(metric_names.BYTES, size, way=way)

    def count_dropped(self, reason: str) -> None:
        """Count a dropped message."""
        self.metrics.count(metric_names.DROPPED, reason=reason)

    def count_refused(self, reason: str) -> None:
        """Count a refused message or connection."""
        self.metrics.count(metric_names.REFUSED, reason=reason)

    def count_pause(self) -> None:
        """Count a pause of this process."""
        self.metrics.count(metric_names.OWN_PAUSES)
