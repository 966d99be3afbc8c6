"""Keeps requests from targets whose prompts have a part that crashes them."""

from collections.abc import Iterator

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.part_evidence import (
    PartEvidence,
    log_part,
    make_report,
    report_break,
)
from balsamreach.relay.part_exchange import PartExchange
from balsamreach.routing.part_suspects import (
    PartBreak,
    PartKey,
    PartState,
    PartSuspects,
)
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.part_reports import (
    ANSWERED,
    TRIED,
    PartReport,
)

REFUSALS = 'balsamreach_part_refusals_total'

_WEIGHTS = 2**64
#: Maximum parts of one prompt that are looked at. A caller may name thousands.
_MAX_PARTS = 32
_TRIAL_RETRY_S = 1.0


@attrs.define(eq=False)
class PartQuarantine:
    """Decides whether requests may run, by the shared parts of their prompts.

    What this router sees and what others report is recorded in the same way.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts refused requests and quarantined parts.
    net : PeerNet or None
        The other routers; None for none.
    evidence : PartEvidence
        What is known of suspected parts.
    """

    clock: Clock
    metrics: Metrics
    net: PeerNet | None = None
    evidence: PartEvidence = attrs.field(init=False)
    _exchange: PartExchange | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        """Begin without a suspected part."""
        self.evidence = PartEvidence(self.clock, self.metrics)
        if self.net is not None:
            self._exchange = PartExchange(self.net, self.clock, self.evidence)

    @property
    def suspects(self) -> PartSuspects:
        """The parts that may crash targets."""
        return self.evidence.suspects

    def check(self, call: RelayCall) -> RelayFault | None:
        """Return why a request must not be sent now, None if it may be."""
        fault = self.check_quarantined(call)
        if fault is not None or self.suspects.is_empty():
            return fault
        for key in self._keys_with(call, PartState.ON_TRIAL):
            position = _position(key, self.net)
            if not self.suspects.may_try(key, self.clock.now(), position):
                self.metrics.count(REFUSALS, why=PartState.ON_TRIAL.value)
                return faults.PART_QUARANTINED.with_retry_after(
                    _TRIAL_RETRY_S,
                    f'prompts with part {key.part} may crash targets',
                )
        return None

    def check_quarantined(self, call: RelayCall) -> RelayFault | None:
        """Return why a request must not be sent, not even as a trial."""
        if self.suspects.is_empty():
            return None
        for key in self._keys_with(call, PartState.QUARANTINED):
            self.metrics.count(REFUSALS, why=PartState.QUARANTINED.value)
            return faults.PART_QUARANTINED.because(
                f'prompts with part {key.part} crash targets'
            )
        return None

    def begin(self, call: RelayCall) -> RelayFault | None:
        """Return why an attempt must not be made; a trial is recorded."""
        fault = self.check(call)
        if fault is not None or self.suspects.is_empty():
            return fault
        for key in self._keys_with(call, PartState.ON_TRIAL):
            self._observe(make_report(key, TRIED))
            log_part('part_tried', key, request_id=call.request_id)
        return None

    def record_break(self, call: RelayCall, broken: PartBreak) -> None:
        """Record that a connection broke before its request was answered.

        Parameters
        ----------
        call : RelayCall
            The request.
        broken : PartBreak
            Its target, and when it was sent and broke.
        """
        for key in _keys_of(call):
            self._observe(report_break(key, broken, self.clock.now()))

    def record_answer(self, call: RelayCall) -> None:
        """Record that a target has answered a request."""
        now = self.clock.now()
        if not self.suspects.is_empty():
            self.suspects.record_service_answer(call.service, now)
        for key in _keys_of(call):
            if self.suspects.find(key) is None:
                self.suspects.record_answer(key, now)
            else:
                self._observe(make_report(key, ANSWERED))

    def run_round(self) -> None:
        """Send what was held back, and what other routers don't know."""
        if self._exchange is not None:
            self._exchange.run_round()

    def _observe(self, report: PartReport) -> None:
        if self._exchange is None:
            self.evidence.apply(report)
        else:
            self._exchange.observe(report)

    def _keys_with(
        self, call: RelayCall, state: PartState
    ) -> Iterator[PartKey]:
        now = self.clock.now()
        for key in _keys_of(call):
            if self.suspects.state(key, now) is state:
                yield key


def _position(key: PartKey, net: PeerNet | None) -> float:
    """Return a router's position among all for a part, from 0 to 1."""
    me = '' if net is None else net.me.incarnation
    return rendezvous_weight(key.part, me) / _WEIGHTS


def _keys_of(call: RelayCall) -> Iterator[PartKey]:
    if call.prompt is not None:
        for part in call.prompt.shared[:_MAX_PARTS]:
            yield PartKey(call.service, call.prompt.model, part.part_id)
