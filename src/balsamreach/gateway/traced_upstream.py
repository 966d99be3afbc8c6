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

_DONE = 'answered'


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
        began = self.clock.now()
        outcome = 'cancelled'
        try:
            with hops.hop('target', target=attempt.target.name) as span:
                fault = await self.upstream.send(_carry(attempt), intake)
                outcome = _DONE if fault is None else fault.code
                span.set_attribute('outcome', outcome)
        finally:
            self._measure(attempt.call.kind, outcome, began)
        return fault

    def _measure(self, kind: str, outcome: str, began: float) -> None:
        seconds = self.clock.now() - began
        trail = hops.current()
        if trail is not None:
            trail.timing.target += seconds
        self.metrics.count(ATTEMPTS, kind=kind, outcome=outcome)
        self.metrics.observe(ATTEMPT_SECONDS, seconds, kind=kind)


def _carry(attempt: Attempt) -> Attempt:
    headers = attempt.call.headers | hops.current_headers()
    return attrs.evolve(
        attempt,
        call=attrs.evolve(attempt.call, headers=headers),
    )
