"""Log messages and metrics of relayed requests."""

import logging
from typing import TYPE_CHECKING

import attrs

from balsamreach.clock import Clock
from balsamreach.relay.call import RelayCall
from balsamreach.relay.connection_shedding import TICK_S
from balsamreach.relay.faults import RelayFault
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.loop_lateness import LoopLateness
from balsamreach.telemetry.metrics import Metrics

if TYPE_CHECKING:
    from balsamreach.relay.attempts import RelayAttempts
    from balsamreach.relay.backups import StreamBackup

REQUESTS_TOTAL = 'balsamreach_relay_requests_total'
REQUEST_SECONDS = 'balsamreach_relay_request_seconds'
RUN_FOR_OTHERS = 'balsamreach_relay_run_for_others_total'
BACKUPS = 'balsamreach_relay_backups_total'
CONTINUATIONS = 'balsamreach_relay_stream_continuations_total'

_logger = logging.getLogger(__name__)
_MS = 1000


@attrs.define
class RequestLog:
    """Records how each request ended.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts requests and backups by outcome, and continued streams, and
        observes durations.
    lateness : LoopLateness
        Delays of the event loop.
    """

    clock: Clock
    metrics: Metrics
    lateness: LoopLateness

    def record_tick(self) -> None:
        """Record that a tenth of a second has passed by the event loop."""
        self.lateness.record_tick()

    def record_end(
        self,
        call: RelayCall,
        attempts: 'RelayAttempts',
        fault: RelayFault | None,
        started: float,
    ) -> None:
        """Log and count the end of a request.

        Parameters
        ----------
        call : RelayCall
            The request.
        attempts : RelayAttempts
            Its attempts.
        fault : RelayFault or None
            Why it got no target's response; None if it got one.
        started : float
            Monotonic seconds at which it began.
        """
        outcome = 'answered' if fault is None else fault.code
        duration = self.clock.now() - started
        self.metrics.count(
            REQUESTS_TOTAL, outcome=outcome, service=call.service
        )
        self.metrics.observe(REQUEST_SECONDS, duration, service=call.service)
        backup = attempts.backup
        if backup.engine is not None:
            self.metrics.count(BACKUPS, outcome=_backup_outcome(backup, fault))
        for same_release in attempts.history.continuations():
            self.metrics.count(CONTINUATIONS, same_release=same_release)
        log_event(
            _logger,
            logging.INFO if fault is None else logging.WARNING,
            'request_ended',
            request_id=call.request_id,
            team=call.team_name,
            reason=None if fault is None else fault.reason or fault.code,
            outcome=outcome,
            route=call.route.name,
            configuration=call.catalogue_version,
            took_ms=round(duration * _MS),
            left_ms=round((call.deadline - self.clock.now()) * _MS),
            reserved_ms=self._reserved_ms(attempts, started),
            targets=attempts.history.outcomes,
            attempts_ms=attempts.history.durations_ms,
            attempts_silent_ms=attempts.history.silences_ms,
            late_ms=round(self.lateness.max_since(started) * _MS),
            releases=attempts.history.releases,
            attempts_events=attempts.history.events,
            last_event=call.last_event,
            resumes=call.resumes,
            backup=backup.engine and backup.engine.incarnation,
            backup_used=backup.used,
            events=attempts.delivery.events,
            ran=attempts.history.may_have_run,
            reserved=attempts.delivery.reservation.tokens,
            charged=attempts.delivery.reservation.used,
            first_event_ms=attempts.delivery.timing.first_event_ms,
            longest_gap_ms=attempts.delivery.timing.longest_gap_ms,
            input_tokens=call.prompt and call.prompt.tokens,
        )

    def record_forwarded(
        self,
        call: RelayCall,
        attempts: 'RelayAttempts',
        fault: RelayFault | None,
        sender: str,
    ) -> None:
        """Log and count the end of a request of another router.

        Parameters
        ----------
        call : RelayCall
            The request.
        attempts : RelayAttempts
            Its attempt.
        fault : RelayFault or None
            Why there is no response; None if there is one.
        sender : str
            Incarnation of the other router.
        """
        outcome = 'answered' if fault is None else fault.code
        self.metrics.count(
            RUN_FOR_OTHERS, outcome=outcome, service=call.service
        )
        log_event(
            _logger,
            logging.INFO,
            'forwarded_request_ended',
            request_id=call.request_id,
            team=call.team_name,
            reason=None if fault is None else fault.reason or fault.code,
            outcome=outcome,
            sender=sender,
            service=call.service,
            targets=attempts.history.outcomes,
            attempts_ms=attempts.history.durations_ms,
            left_ms=round((call.deadline - self.clock.now()) * _MS),
            ran=attempts.history.may_have_run,
        )

    def _reserved_ms(
        self, attempts: 'RelayAttempts', started: float
    ) -> int | None:
        reserved_at = attempts.reserved_at
        if reserved_at is None:
            return None
        return round((reserved_at - started) * _MS)


def make_request_log(clock: Clock, metrics: Metrics) -> RequestLog:
    """Create the log of a router.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Registry of the router.
    """
    return RequestLog(clock, metrics, LoopLateness(clock, metrics, TICK_S))


def _backup_outcome(backup: 'StreamBackup', fault: RelayFault | None) -> str:
    if backup.used:
        return 'continued' if fault is None else 'failed'
    return 'not_needed' if fault is None else 'not_used'
