"""Polls targets for their load reports."""

import asyncio
from collections.abc import Sequence

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.targets.client import TargetClient
from balsamreach.targets.faults import UNHEALTHY, TargetFault
from balsamreach.targets.health import Health
from balsamreach.targets.leaving_marks import FROM_TARGET, LeavingMarks
from balsamreach.targets.registry import Target
from balsamreach.targets.report_sharing import REPORTS_TOTAL, ReportSharing
from balsamreach.targets.reports import LoadReport
from balsamreach.telemetry.metrics import Metrics

#: Size of one report in a message between routers, in bytes.
REPORT_BYTES = 76
#: CPU time of one poll, in seconds.
_POLL_CPU_S = 0.00065
#: Share of a CPU core that polls may take.
_POLL_CPU_SHARE = 0.005
#: Maximum seconds between rounds. Together with the transfer of the response
#: it stays below the 2 s after which a leaving target must get no new
#: requests.
_MAX_ROUND_INTERVAL_S = 1.5

#: Polls started in one iteration of the event loop.
_BATCH_SIZE = 8
#: Seconds until the next batch is started.
_BATCH_PAUSE_S = 0.005


@attrs.frozen(kw_only=True)
class PollerParts:
    """The services that the poller needs."""

    cfg: Settings
    client: TargetClient
    clock: Clock
    health: Health
    marks: LeavingMarks
    metrics: Metrics
    sharing: ReportSharing


@attrs.define(eq=False)
class LoadPoller:
    """Polls the targets that this router is responsible for.

    Each target of the zone is polled by one router, its home, which is chosen
    by rendezvous hashing and sends the report to the others. Targets of other
    zones are polled while requests of this router run on them, and by one
    router of each zone while the incarnation known there is leaving.
    """

    parts: PollerParts
    _unshared: dict[str, Target] = attrs.field(factory=dict)
    _next_share_at: float = float('-inf')

    async def run(self) -> None:
        """Poll in rounds, until cancelled."""
        while True:
            await self.poll_once()
            self.parts.marks.send_to_new_neighbours()
            await self.parts.clock.sleep(self.round_interval())

    def round_interval(self) -> float:
        """Return the seconds between rounds, longer for many targets.

        Without the lower bound, a router with more targets of its own would
        spend ever more CPU time on polls; without the upper bound, a leaving
        target would get new requests for longer.
        """
        own = sum(map(self._is_own, self._all()))
        interval = min(
            _MAX_ROUND_INTERVAL_S, own * _POLL_CPU_S / _POLL_CPU_SHARE
        )
        return max(self.parts.cfg.targets.poll_interval, interval)

    def share_interval(self) -> float:
        """Return the seconds between shared reports, longer for many targets.

        Every router of a zone receives all reports of the zone. Without the
        bound, a zone of hundreds of targets would use up the bandwidth that a
        daemon may spend on control messages.
        """
        cfg = self.parts.cfg.targets
        local = sum(map(self._is_local, self._all()))
        share_time = local * REPORT_BYTES / max(1, cfg.share_rate)
        return max(cfg.poll_interval, share_time)

    async def poll_once(self) -> None:
        """Poll the targets that are due, and share the reports if it is time.

        A router's own targets are few however large the zone is, so they are
        polled in every round. Polled only as often as reports are shared, 9 s
        in a zone of 370 targets, a leaving target would get new requests for
        all that time. A leaving mark is sent at once, whatever the interval.
        """
        now = self.parts.clock.now()
        due = [target for target in self._all() if self._is_due(target, now)]
        self.parts.sharing.to_poll.clear()
        for target in due:
            target.used_since_poll = False
            local = self._is_local(target)
            if self._is_home(target) and (local or target.marked):
                self._unshared[target.name] = target
        await self.poll_all(due)
        if self.parts.clock.now() >= self._next_share_at:
            self._next_share_at = now + self.share_interval()
            self.parts.sharing.share(self._unshared.values())
            self._unshared = {}

    async def poll(self, target: Target) -> None:
        """Poll one target, on a new connection if the pooled one fails."""
        outcome = await self._ask(target, fresh=False)
        if outcome in UNHEALTHY:
            # A middlebox may have dropped a pooled connection that both ends
            # still consider open. A target counts as failed only if a new
            # connection fails as well.
            outcome = await self._ask(target, fresh=True)
            if outcome not in UNHEALTHY:
                self.parts.metrics.count(
                    'balsamreach_target_stale_connections_total'
                )
        if outcome in UNHEALTHY:
            self.parts.health.record_failure(target)
        else:
            self.parts.health.record_success(target)
        if isinstance(outcome, LoadReport):
            self._apply(target, outcome)

    async def poll_all(self, due: Sequence[Target]) -> None:
        """Poll targets in small batches."""
        # Started all at once, and answered at about the same time, the polls
        # of a zone with many targets would block the event loop in each round
        # and delay the tokens of open streams. A batch doesn't wait for the
        # responses to the one before, since a poll may take its whole timeout.
        async with asyncio.TaskGroup() as polls:
            for number, target in enumerate(due):
                if number and number % _BATCH_SIZE == 0:
                    await self.parts.clock.sleep(_BATCH_PAUSE_S)
                polls.create_task(self.poll(target))

    def _all(self) -> tuple[Target, ...]:
        targets = self.parts.marks.targets
        return tuple(targets.by_name.values())

    def _is_local(self, target: Target) -> bool:
        zone = self.parts.cfg.host.zone
        return target.row.zone == zone

    def _is_own(self, target: Target) -> bool:
        return self._is_local(target) and self._is_home(target)

    def _is_home(self, target: Target) -> bool:
        net = self.parts.marks.net
        return net.home(f'load/{target.name}') == net.me

    def _is_due(self, target: Target, now: float) -> bool:
        cfg = self.parts.cfg.targets
        if target.failures and target.suspended_until > now:
            return False
        if target.hold is not None and target.hold.down:
            return False
        unknown = (
            bool(target.leaving_incarnations) and not target.report.incarnation
        )
        to_confirm = target.name in self.parts.sharing.to_poll
        if target.failures or unknown or to_confirm:
            return True
        if self._is_own(target):
            return True
        # The home of a local target may be cut off from this router, or gone;
        # then this router has only its own reports. A marked target of
        # another zone gets no requests, so nothing else would ever show that
        # it has restarted, and this zone would never use it again.
        local = self._is_local(target)
        if local or (target.marked and self._is_home(target)):
            return now - target.report.valid_at > cfg.report_age
        return target.in_flight > 0 or target.used_since_poll

    async def _ask(
        self,
        target: Target,
        *,
        fresh: bool,
    ) -> LoadReport | TargetFault:
        self.parts.metrics.count('balsamreach_target_polls_total')
        return await self.parts.client.load(target.row.address, fresh=fresh)

    def _apply(self, target: Target, report: LoadReport) -> None:
        if report.leaving:
            # Applying the report marks the incarnation as well. A mark set
            # after that would not be new, and so not be sent to peers: routers
            # of other zones, which don't poll the target, would continue to
            # send requests.
            self.parts.marks.mark(target, report.incarnation, FROM_TARGET)
        now = self.parts.clock.now()
        if not target.apply_report(report, now):
            self.parts.metrics.count('balsamreach_target_late_reports_total')
            return
        self.parts.metrics.count(REPORTS_TOTAL, source='own')
