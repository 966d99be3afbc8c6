"""Log lines and counters of requests that are passed through."""

import logging
from typing import TYPE_CHECKING

import attrs

from balsamreach.clock import Clock
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

if TYPE_CHECKING:
    from balsamreach.relay.tries import Tries

ENDED = 'balsamreach_relay_requests_total'
LASTED = 'balsamreach_relay_request_seconds'

_logger = logging.getLogger(__name__)
_MS = 1000


@attrs.define
class RequestLog:
    """Tells how each request ended.

    Parameters
    ----------
    clock : Clock
        Time.
    metrics : Metrics
        Counters.
    """

    clock: Clock
    metrics: Metrics

    def ended(
        self,
        call: RelayCall,
        tries: 'Tries',
        fault: RelayFault | None,
        started: float,
    ) -> None:
        """Log and count the end of a request."""
        outcome = 'answered' if fault is None else fault.code
        lasted = self.clock.now() - started
        self.metrics.count(ENDED, outcome=outcome, service=call.service)
        self.metrics.observe(LASTED, lasted, service=call.service)
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
            took_ms=round(lasted * _MS),
            left_ms=round((call.deadline - self.clock.now()) * _MS),
            targets=tries.told,
            events=tries.events,
            ran=tries.may_have_run,
            reserved=tries.tab.most,
            charged=tries.tab.used,
            first_event_ms=tries.rhythm.first_event_ms,
            longest_gap_ms=tries.rhythm.longest_gap_ms,
            input_tokens=call.prompt and call.prompt.tokens,
        )
