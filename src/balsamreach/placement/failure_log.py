"""Log lines for targets that reports exclude, or that have recovered."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.failure_evidence import FailureReport
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.telemetry.log_limit import LogLimit
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
    _limit: LogLimit = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the bound of the rate."""
        self._limit = LogLimit(self.clock, _INTERVAL_S)

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
        omitted = self._limit.take(event)
        if omitted is None:
            return
        age = self.clock.now() - report.observed_at
        log_event(
            _logger,
            logging.WARNING,
            event,
            target=place.incarnation,
            service=place.entry.service,
            reason=report.outcome,
            reporter=report.source,
            age_ms=round(age * _MS),
            omitted=omitted,
        )
