"""Log lines for targets that reports exclude, or that have recovered."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.failure_evidence import FailureReport
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
_MS = 1000
#: Minimum seconds between two lines of one event; the lines between them are
#: counted. A crash of nine engines took 2,586 lines of 86 routers in 8 s.
_INTERVAL_S = 1.0


@attrs.define
class FailureLog:
    """Logs what reports change, at a bounded rate.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _logged_at: dict[str, float] = attrs.field(factory=dict)
    _omitted: dict[str, int] = attrs.field(factory=dict)

    def record(
        self, event: str, place: RelayTarget, report: FailureReport
    ) -> None:
        """Log an event, unless the same one was logged lately.

        Parameters
        ----------
        event : str
            Name of the event.
        place : RelayTarget
            The target.
        report : FailureReport
            The report that caused it.
        """
        now = self.clock.now()
        if now - self._logged_at.get(event, float('-inf')) < _INTERVAL_S:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._logged_at[event] = now
        log_event(
            _logger,
            logging.WARNING,
            event,
            target=place.incarnation,
            service=place.entry.service,
            reason=report.outcome,
            reporter=report.source,
            age_ms=round((now - report.observed_at) * _MS),
            omitted=self._omitted.pop(event, 0),
        )
