"""Sends what this router sees of failing targets to the other routers.

Load pattern: several targets crash in the same moment, and scores of routers
see it within milliseconds of each other. Each router reports to the first hub
of its zone; that hub forwards what is new to its zone and to the first hubs
of the other zones, and those to theirs.
"""

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.failure_evidence import (
    RECOVERED,
    REFUSED,
    SILENT,
    TIMED_OUT,
    ZONE_PREFIX,
    FailureReport,
)
from balsamreach.placement.received_failures import ReceivedFailures
from balsamreach.placement.target_failures import FailureTracker
from balsamreach.wire.loads import TargetFailures
from balsamreach.wire.membership import Member

#: Scopes of messages: the observations of one router, of the sender's zone, or
#: of other zones.
ROUTER = 'router'
ZONE = 'zone'
FLEET = 'fleet'

_MS = 1000
#: Minimum seconds between two messages of a router.
_MIN_INTERVAL_S = 0.02
#: Seconds between two rounds, which look for silent targets and send what the
#: minimum interval has held back.
_ROUND_S = 0.1
#: Seconds in which the same failure of a target is reported once.
_REPEAT_S = 0.5
#: Maximum sources of one failure of a target that are reported in that time.
#: Two confirm each other; the others are for receivers that distrust one, or
#: are one. All routers may see the targets of a zone that is cut off time out.
_MAX_SOURCES = 4
#: Maximum age of a report that is forwarded. It would exclude a target that
#: may have recovered since.
_MAX_AGE_S = 1.0


@attrs.define
class _RecentReports:
    """The reports sent of late, so that each is sent once."""

    _times: dict[tuple[str, ...], float] = attrs.field(factory=dict)
    _counted: dict[tuple[str, str], list[float]] = attrs.field(factory=dict)
    _forget_at: float = float('-inf')

    def is_new(self, report: FailureReport, now: float) -> bool:
        """Return whether a report was not sent before, and record it."""
        key = _key(report)
        if now < self._times.get(key, float('-inf')) + _REPEAT_S:
            return False
        # Not at each report: a hub has one of each router and target while a
        # zone is cut off.
        if now >= self._forget_at:
            self._forget_at = now + _REPEAT_S
            self._forget_older(now - _REPEAT_S)
        if _needs_confirmation(report) and not self._count(report, now):
            return False
        # A target that fails after it has recovered fails anew.
        if report.outcome == RECOVERED:
            self._drop(report.target)
        else:
            self._times.pop((report.target, RECOVERED, ZONE), None)
            self._times.pop((report.target, RECOVERED, FLEET), None)
        self._times[key] = now
        return True

    def _count(self, report: FailureReport, now: float) -> bool:
        failure = report.target, report.outcome
        times = [
            time
            for time in self._counted.get(failure, ())
            if now < time + _REPEAT_S
        ]
        self._counted[failure] = times
        if len(times) >= _MAX_SOURCES:
            return False
        times.append(now)
        return True

    def _forget_older(self, oldest: float) -> None:
        self._times = {
            known: time for known, time in self._times.items() if time > oldest
        }
        self._counted = {
            known: times
            for known, times in self._counted.items()
            if times[-1] > oldest
        }

    def _drop(self, target: str) -> None:
        for known in tuple(self._times):
            if known[0] == target:
                self._times.pop(known)
        for outcome in (TIMED_OUT, SILENT):
            self._counted.pop((target, outcome), None)


@attrs.define(eq=False)
class FailureSharing:
    """Exchanges failures of targets with the other routers.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    tracker : FailureTracker
        What this router knows of failures.
    clock : Clock
        Source of the current time.
    received : ReceivedFailures
        Applies the reports of others.
    """

    net: PeerNet
    tracker: FailureTracker
    clock: Clock
    received: ReceivedFailures = attrs.field(init=False)
    _own: list[FailureReport] = attrs.field(factory=list)
    _forwarded: list[FailureReport] = attrs.field(factory=list)
    _recent: _RecentReports = attrs.field(factory=_RecentReports)
    _sent_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        """Create what applies the reports of others."""
        self.received = ReceivedFailures(self.tracker)

    def start(self) -> None:
        """Begin to report what this router sees, and to receive reports."""
        self.net.on(TargetFailures, self._receive)
        self.tracker.is_shared = self.has_hubs
        self.tracker.on_report = self._report

    async def run(self) -> None:
        """Send reports and look for silent targets, until cancelled."""
        while True:
            await self.clock.sleep(_ROUND_S)
            self.run_round()

    def run_round(self) -> None:
        """Send what waits to be sent, and look for silent targets."""
        self.tracker.check_silent()
        self._flush()

    def has_hubs(self) -> bool:
        """Return whether failures are shared in this fleet."""
        return bool(self.net.hubs.hubs_of(self.net.me.zone))

    def _report(self, report: FailureReport) -> None:
        if self.has_hubs() and self._recent.is_new(report, self.clock.now()):
            self._own.append(report)
            self._flush()

    def _flush(self) -> None:
        now = self.clock.now()
        if now < self._sent_at + _MIN_INTERVAL_S:
            return
        if not self._own and not self._forwarded:
            return
        self._sent_at = now
        own = self._own
        self._own = []
        if own and not self._send_to_hub(own):
            # This router is the first hub that is up. Without a connection to
            # any hub, the reports are lost, and others see for themselves.
            self._send_to_hubs(own)
            self._send_to_zone(ZONE, own)
        forwarded = self._forwarded
        self._forwarded = []
        self._send_to_zone(FLEET, forwarded)

    def _send_to_hub(self, reports: list[FailureReport]) -> bool:
        me = self.net.me.incarnation
        message = self._make_message(ROUTER, reports)
        for hub in self.net.hubs.hubs_of(self.net.me.zone):
            if hub.incarnation == me:
                return False
            if self.net.tell(hub.incarnation, message):
                return True
        return True

    def _send_to_hubs(self, reports: list[FailureReport]) -> None:
        # A zone is unreachable from one side only.
        shared = [one for one in reports if not _is_of_zone(one)]
        if not shared:
            return
        message = self._make_message(ZONE, shared)
        for zone in self.net.hubs.zones():
            if zone != self.net.me.zone:
                _tell_hub(self.net, zone, message)

    def _send_to_zone(self, scope: str, reports: list[FailureReport]) -> None:
        if reports:
            self.net.tell_zone(self._make_message(scope, reports))

    def _make_message(
        self, scope: str, reports: list[FailureReport]
    ) -> TargetFailures:
        now = self.clock.now()
        return TargetFailures(
            scope,
            tuple(one.target for one in reports),
            tuple(one.outcome for one in reports),
            tuple(one.source for one in reports),
            tuple(round((now - one.observed_at) * _MS) for one in reports),
        )

    async def _receive(self, member: Member, message: TargetFailures) -> None:
        now = self.clock.now()
        is_local = member.zone == self.net.me.zone and message.scope != FLEET
        for report in _read(message, now, is_local=is_local):
            if report.reporter == self.net.me.incarnation:
                continue
            self.received.receive(report)
            if now - report.observed_at <= _MAX_AGE_S:
                self._forward(member, message.scope, report)
        self._flush()

    def _forward(
        self, member: Member, scope: str, report: FailureReport
    ) -> None:
        is_foreign = member.zone != self.net.me.zone
        if scope != ROUTER and not is_foreign:
            return
        if not self._recent.is_new(report, self.clock.now()):
            return
        if is_foreign:
            self._forwarded.append(report)
        else:
            self._own.append(report)


def _read(
    message: TargetFailures, now: float, *, is_local: bool
) -> list[FailureReport]:
    columns = zip(
        message.targets,
        message.outcomes,
        message.sources,
        message.ages_ms,
        strict=False,
    )
    return [
        FailureReport(target, outcome, source, now - age_ms / _MS, is_local)
        for target, outcome, source, age_ms in columns
    ]


def _tell_hub(net: PeerNet, zone: str, message: TargetFailures) -> bool:
    """Send to the first hub of a zone that is connected."""
    hubs = net.hubs.hubs_of(zone)
    return any(net.tell(hub.incarnation, message) for hub in hubs)


def _is_of_zone(report: FailureReport) -> bool:
    return report.target.startswith(ZONE_PREFIX)


def _needs_confirmation(report: FailureReport) -> bool:
    return report.outcome not in {RECOVERED, REFUSED}


def _key(report: FailureReport) -> tuple[str, ...]:
    if not _needs_confirmation(report):
        # Reports of the own zone count even if another zone was first.
        origin = ZONE if report.is_local else FLEET
        return report.target, report.outcome, origin
    source = report.source if report.outcome == SILENT else report.reporter
    return report.target, report.outcome, source
