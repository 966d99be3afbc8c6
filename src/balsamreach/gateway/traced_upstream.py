"""Upstream that traces and measures the attempts at targets."""

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch.upstream import (
    Attempt,
    Intake,
    Upstream,
    UpstreamFault,
)
from balsamreach.telemetry import hops
from balsamreach.telemetry.metrics import Metrics

ATTEMPTS = 'balsamreach_attempts_total'
ATTEMPT_SECONDS = 'balsamreach_attempt_seconds'

_ANSWERED = 'answered'


@attrs.define
class TracedUpstream(Upstream):
    """Records a span per attempt and sends its context to the target.

    Parameters
    ----------
    upstream : Upstream
        Sends the attempts.
    metrics : Metrics
        Records durations and outcomes of the attempts.
    clock : Clock
        Time source for the durations.
    """

    upstream: Upstream
    metrics: Metrics
    clock: Clock

    async def send(
        self,
        attempt: Attempt,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send a request and pass the answer to the intake until it ends."""
        started_at = self.clock.now()
        outcome = 'cancelled'
        try:
            with hops.hop('target', target=attempt.target.name) as span:
                fault = await self.upstream.send(
                    _with_trace_headers(attempt), intake
                )
                outcome = _ANSWERED if fault is None else fault.code
                span.set_attribute('outcome', outcome)
        finally:
            self._record_metrics(attempt.call.kind, outcome, started_at)
        return fault

    def _record_metrics(
        self, kind: str, outcome: str, started_at: float
    ) -> None:
        seconds = self.clock.now() - started_at
        trail = hops.current()
        if trail is not None:
            trail.timing.target += seconds
        self.metrics.count(ATTEMPTS, kind=kind, outcome=outcome)
        self.metrics.observe(ATTEMPT_SECONDS, seconds, kind=kind)


def _with_trace_headers(attempt: Attempt) -> Attempt:
    headers = attempt.call.headers | hops.current_headers()
    return attrs.evolve(
        attempt,
        call=attrs.evolve(attempt.call, headers=headers),
    )
