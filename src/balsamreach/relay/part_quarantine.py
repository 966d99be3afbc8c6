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
    key_of,
    log_part,
    make_report,
)
from balsamreach.relay.part_outbox import PartOutbox
from balsamreach.routing.part_suspects import (
    PartBreak,
    PartKey,
    PartState,
    PartSuspects,
)
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Member
from balsamreach.wire.part_reports import (
    ANSWERED,
    BROKE,
    QUARANTINED,
    TRIED,
    PartReport,
    PartReports,
)

REFUSALS = 'balsamreach_part_refusals_total'

_MS = 1000
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
    _outbox: PartOutbox | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        """Receive the reports of other routers."""
        self.evidence = PartEvidence(self.clock, self.metrics)
        if self.net is not None:
            self._outbox = PartOutbox(self.net, self.clock)
            self.net.on(PartReports, self._on_reports)

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
            self._observe(_report_break(key, broken, self.clock.now()))

    def record_answer(self, call: RelayCall) -> None:
        """Record that a target has answered a request."""
        now = self.clock.now()
        if not self.suspects.is_empty():
            self.suspects.record_service_answer(call.service, now)
        for key in _keys_of(call):
            if self.evidence.apply_answer(key, now):
                self._send(make_report(key, ANSWERED))

    def run_round(self) -> None:
        """Send what was held back, and what other routers don't know."""
        if self._outbox is None:
            return
        if not self.suspects.is_empty():
            self._announce(self._outbox)
        self._outbox.send_replies()
        self._outbox.flush()

    def _announce(self, outbox: PartOutbox) -> None:
        now, announced = self.clock.now(), self.evidence.announced
        reports = {
            key: make_report(key, QUARANTINED, now - at)
            for key, at in self.suspects.quarantined()
        }
        for key, report in reports.items():
            if key not in announced:
                announced.add(key)
                outbox.add(report)
        suspected = (
            _report_break(suspect, broken, now)
            for suspect, broken in self.suspects.suspected()
        )
        outbox.inform_new((*reports.values(), *suspected))

    def _observe(self, report: PartReport) -> None:
        if self.evidence.apply(report):
            self._send(report)

    def _send(self, report: PartReport) -> None:
        if self._outbox is not None:
            self._outbox.add(report)

    async def _on_reports(self, sender: Member, message: PartReports) -> None:
        new = tuple(filter(self.evidence.apply, message.reports))
        self._outbox.forward(new, sender)
        now = self.clock.now()
        for report in message.reports:
            key = key_of(report)
            if report.outcome == ANSWERED:
                self._outbox.replies.pop(key, None)
            elif self.suspects.clears(key, self.evidence.time_of(report)):
                # The sender can't know that this router has seen an answer.
                age = now - self.suspects.answered_at(key)
                self._outbox.replies[key] = make_report(key, ANSWERED, age)

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


def _report_break(key: PartKey, broken: PartBreak, now: float) -> PartReport:
    return attrs.evolve(
        make_report(key, BROKE, now - broken.broke_at),
        target=broken.target,
        fingerprint=broken.fingerprint,
        ran_ms=round((broken.broke_at - broken.sent_at) * _MS),
    )


def _keys_of(call: RelayCall) -> Iterator[PartKey]:
    if call.prompt is not None:
        for part in call.prompt.shared[:_MAX_PARTS]:
            yield PartKey(call.service, call.prompt.model, part.part_id)
