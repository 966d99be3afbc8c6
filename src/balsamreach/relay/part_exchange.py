"""Exchanges with other routers what is seen of parts of prompts."""

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.relay.part_evidence import (
    PartEvidence,
    key_of,
    make_report,
    report_break,
)
from balsamreach.relay.part_outbox import PartOutbox
from balsamreach.routing.part_suspects import PartKey, PartState
from balsamreach.wire.membership import Member
from balsamreach.wire.part_reports import (
    ANSWERED,
    BROKE,
    QUARANTINED,
    PartReport,
    PartReports,
)


@attrs.define(eq=False)
class PartExchange:
    """Sends what this router sees, and applies what others do.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    clock : Clock
        Source of the current time.
    evidence : PartEvidence
        What is known of suspected parts.
    """

    net: PeerNet
    clock: Clock
    evidence: PartEvidence
    _outbox: PartOutbox = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Receive the reports of other routers."""
        self._outbox = PartOutbox(self.net, self.clock)
        self.net.on(PartReports, self._on_reports)

    def observe(self, report: PartReport) -> None:
        """Record what this router has seen, or was told as a keeper."""
        was_on_trial = self._is_on_trial(report)
        if not self.evidence.apply(report):
            return
        outbox, key = self._outbox, key_of(report)
        is_shared = report.outcome not in {BROKE, ANSWERED}
        if is_shared or not outbox.has_keepers:
            outbox.add(report, to_all=True)
        elif not outbox.is_keeper(key):
            outbox.add(report, to_all=False)
        elif was_on_trial:
            outbox.add(report, to_all=True)
        elif self._is_on_trial(report):
            self._send_breaks(report)

    def run_round(self) -> None:
        """Send what was held back, and what other routers don't know."""
        if not self.evidence.suspects.is_empty():
            self._announce()
        self._outbox.send_replies()
        self._outbox.flush()

    def _is_on_trial(self, report: PartReport) -> bool:
        suspects = self.evidence.suspects
        state = suspects.state(key_of(report), self.clock.now())
        return state is not PartState.FREE

    def _send_breaks(self, report: PartReport) -> None:
        """Tell all routers of a part whose suspicion begins to matter."""
        key, now = key_of(report), self.clock.now()
        breaks = self.evidence.suspects.find(key).breaks
        reports = [report_break(key, broken, now) for broken in breaks]
        self._outbox.add(*reports, to_all=True)

    def _announce(self) -> None:
        now, suspects = self.clock.now(), self.evidence.suspects
        quarantined = [
            make_report(key, QUARANTINED, now - at)
            for key, at in suspects.quarantined()
        ]
        for report in quarantined:
            if self._must_announce(key_of(report)):
                self.evidence.announced.add(key_of(report))
                self._outbox.add(report, to_all=True)
        suspected = [
            report_break(key, broken, now)
            for key, broken in suspects.suspected()
        ]
        self._outbox.inform_new((*quarantined, *suspected))

    def _must_announce(self, key: PartKey) -> bool:
        if key in self.evidence.announced:
            return False
        return not self._outbox.has_keepers or self._outbox.is_keeper(key)

    async def _on_reports(self, sender: Member, message: PartReports) -> None:
        if message.routed:
            self._keep(sender, message.reports)
            return
        are_new = list(map(self.evidence.apply, message.reports))
        # What this router has seen itself may be new to the next ones.
        if any(are_new):
            self.net.broadcast(message, sender)
        for report in message.reports:
            self._reply(report)

    def _keep(self, sender: Member, reports: tuple[PartReport, ...]) -> None:
        # Hubs that disagree about a keeper must not pass a report to and fro.
        is_last = self._outbox.is_hub(sender)
        passed_on = []
        for report in reports:
            if is_last or self._outbox.is_keeper(key_of(report)):
                self.observe(report)
            else:
                passed_on.append(report)
        self._outbox.route(passed_on)

    def _reply(self, report: PartReport) -> None:
        key, suspects = key_of(report), self.evidence.suspects
        if report.outcome == ANSWERED:
            self._outbox.replies.pop(key, None)
        elif suspects.clears(key, self.evidence.time_of(report)):
            # The sender can't know that this router has seen an answer.
            age = self.clock.now() - suspects.answered_at(key)
            self._outbox.replies[key] = make_report(key, ANSWERED, age)
