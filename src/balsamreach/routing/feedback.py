"""Updates health, limits and quarantine when an exchange ends."""

import logging
import random

import attrs

from balsamreach.clock import Clock
from balsamreach.routing.hedges import HedgeDelays
from balsamreach.routing.quarantine import Quarantine
from balsamreach.routing.slot import Slot, Verdict
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

_VERDICTS = 'balsamreach_target_verdicts_total'
_FIRST_BYTE = 'balsamreach_target_first_byte_seconds'
_SUSPENSIONS = 'balsamreach_target_suspensions_total'
_FAILURES = frozenset(
    (
        Verdict.REFUSED,
        Verdict.FAILED,
        Verdict.BROKEN,
        Verdict.SILENT,
        Verdict.OUTRUN,
    ),
)

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Feedback:
    """Passes the outcome of each exchange to the parts that learn from it.

    Parameters
    ----------
    quarantine : Quarantine
        Tracks which requests were at a target that crashed.
    clock : Clock
        Clock of the router.
    rng : random.Random
        Source of the jitter of suspensions.
    metrics : Metrics
        Metrics of the router.
    hedges : HedgeDelays
        Tracks first-byte times.
    """

    quarantine: Quarantine
    clock: Clock
    rng: random.Random
    metrics: Metrics
    hedges: HedgeDelays

    def record_sent(self, slot: Slot) -> None:
        """Record that a request is being sent."""
        slot.mark_sent(self.clock.now())
        self.quarantine.crash_detector.request_started(
            slot.ask.fingerprint, slot.state.name
        )

    def ended(self, slot: Slot) -> None:
        """Record the outcome of an exchange."""
        if slot.verdict == Verdict.UNUSED:
            slot.state.breaker.release_probe()
            return
        self.metrics.count(_VERDICTS, verdict=slot.verdict.value)
        self._update_quarantine(slot)
        self._update_breaker(slot)
        if slot.verdict == Verdict.DECLINED:
            slot.state.limit.target_overloaded(self.clock.now())
        if slot.verdict == Verdict.GOOD and slot.first_byte_at:
            first_byte = slot.first_byte_at - slot.sent_at
            now = self.clock.now()
            slot.state.limit.observe(first_byte, slot.in_progress, now)
            self.hedges.add_first_byte(slot.ask.pool, first_byte)
            self.metrics.observe(_FIRST_BYTE, first_byte)

    def _update_quarantine(self, slot: Slot) -> None:
        fingerprint = slot.ask.fingerprint
        name = slot.state.name
        if slot.verdict == Verdict.BROKEN:
            self.quarantine.record_break(
                fingerprint,
                slot.ask.team,
                name,
                slot.incarnation,
            )
        elif slot.verdict in {Verdict.GOOD, Verdict.FAILED}:
            self.quarantine.record_completion(fingerprint, name)
        else:
            self.quarantine.crash_detector.request_ended(fingerprint, name)
        if slot.verdict == Verdict.REFUSED:
            self.quarantine.record_refused_connection(name)

    def _update_breaker(self, slot: Slot) -> None:
        breaker = slot.state.breaker
        if slot.verdict in {Verdict.GOOD, Verdict.DECLINED}:
            breaker.record_success()
        elif slot.verdict not in _FAILURES:
            breaker.release_probe()
        elif breaker.record_failure(
            self.clock.now(),
            self.rng,
            certain=slot.verdict == Verdict.REFUSED,
        ):
            self.metrics.count(_SUSPENSIONS)
            log_event(
                _logger,
                logging.WARNING,
                'target_suspended',
                target=slot.state.name,
                reason=slot.verdict.value,
            )
