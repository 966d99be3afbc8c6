"""Asks targets for their load."""

import asyncio
from collections.abc import Sequence

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.targets.client import TargetClient
from balsamreach.targets.faults import UNHEALTHY, TargetFault
from balsamreach.targets.health import Health
from balsamreach.targets.marks import FROM_TARGET, Marks
from balsamreach.targets.registry import Target
from balsamreach.targets.reports import LoadReport
from balsamreach.targets.sharing import REPORTS, LoadSharing
from balsamreach.telemetry.metrics import Metrics

#: Bytes of one report in a message between routers, as measured.
LOAD_BYTES = 76
#: Seconds of processor time that one poll takes, as measured.
_POLL_TIME = 0.00065
#: Part of a core that polls may take.
_POLL_SHARE = 0.005
#: Together with the answer's way, below the 2 s after which a leaving target
#: must get no new work.
_LONGEST_PAUSE = 1.5

#: Polls begun in one turn of the event loop.
_AT_ONCE = 8
#: Seconds until the next ones begin.
_PAUSE_S = 0.005


@attrs.frozen(kw_only=True)
class PollerParts:
    """What the poller works with."""

    cfg: Settings
    client: TargetClient
    clock: Clock
    health: Health
    marks: Marks
    metrics: Metrics
    sharing: LoadSharing


@attrs.define(eq=False)
class LoadPoller:
    """Polls the targets whose home this router is.

    Each target of the zone has one router that polls it, found by
    rendezvous hashing; the others learn its report from there. Targets of
    other zones are polled while requests of this router run on them, and by
    one router of each zone while the start known there is leaving.
    """

    parts: PollerParts
    _untold: dict[str, Target] = attrs.field(factory=dict)
    _share_at: float = float('-inf')

    async def run(self) -> None:
        """Poll round after round."""
        while True:
            await self.poll_once()
            self.parts.marks.catch_up()
            await self.parts.clock.sleep(self.pause())

    def pause(self) -> float:
        """Return seconds between rounds, a little longer for many targets.

        Without the lower bound on the pause, a router with more targets of
        its own would spend ever more of its processor time on polls; without
        the upper one, a leaving target would get new work for longer.
        """
        own = sum(map(self._is_mine, self._all()))
        pause = min(_LONGEST_PAUSE, own * _POLL_TIME / _POLL_SHARE)
        return max(self.parts.cfg.targets.poll_interval, pause)

    def interval(self) -> float:
        """Return seconds between two tellings, longer where targets are many.

        Every router of a zone receives all the zone's reports. Without the
        bound a zone of hundreds of targets would fill the bytes that a
        daemon may spend on control.
        """
        cfg = self.parts.cfg.targets
        local = sum(map(self._is_local, self._all()))
        share_time = local * LOAD_BYTES / max(1, cfg.share_rate)
        return max(cfg.poll_interval, share_time)

    async def poll_once(self) -> None:
        """Poll what is due, and share what was learnt if it is time.

        A router's own targets are few however large the zone is, so they
        are looked at in every round: what a target says of its leaving would
        otherwise be heard as late as loads may be told, 9 s in a zone of
        370 targets, and new work go there all that time. A leaving mark is
        told at once, whatever the time.
        """
        now = self.parts.clock.now()
        due = [target for target in self._all() if self._is_due(target, now)]
        self.parts.sharing.confirm.clear()
        for target in due:
            target.used = False
            local = self._is_local(target)
            if self._is_home(target) and (local or target.marked):
                self._untold[target.name] = target
        await self.poll_all(due)
        if self.parts.clock.now() >= self._share_at:
            self._share_at = now + self.interval()
            self.parts.sharing.share(self._untold.values())
            self._untold = {}

    async def poll(self, target: Target) -> None:
        """Poll one target, on a new connection where the pooled one fails."""
        outcome = await self._ask(target, fresh=False)
        if outcome in UNHEALTHY:
            # Something between the two ends may have lost track of a pooled
            # connection that both believe in. A target is called dead only
            # when a new connection fails as well.
            outcome = await self._ask(target, fresh=True)
            if outcome not in UNHEALTHY:
                self.parts.metrics.count(
                    'balsamreach_target_stale_connections_total'
                )
        if outcome in UNHEALTHY:
            self.parts.health.fail(target)
        else:
            self.parts.health.recover(target)
        if isinstance(outcome, LoadReport):
            self._take(target, outcome)

    async def poll_all(self, due: Sequence[Target]) -> None:
        """Poll targets, a few at a time."""
        # Begun all at once, and answered at about one time, the polls of a
        # zone with many targets would hold up the event loop at each round:
        # a tail in the time between tokens of open streams. Nobody waits
        # for the answers of those before, as one may take its whole timeout.
        async with asyncio.TaskGroup() as polls:
            for number, target in enumerate(due):
                if number and number % _AT_ONCE == 0:
                    await self.parts.clock.sleep(_PAUSE_S)
                polls.create_task(self.poll(target))

    def _all(self) -> tuple[Target, ...]:
        targets = self.parts.marks.targets
        return tuple(targets.by_name.values())

    def _is_local(self, target: Target) -> bool:
        zone = self.parts.cfg.host.zone
        return target.row.zone == zone

    def _is_mine(self, target: Target) -> bool:
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
        unsure = bool(target.left) and not target.report.incarnation
        named = target.name in self.parts.sharing.confirm
        if target.failures or unsure or named:
            return True
        if self._is_mine(target):
            return True
        # The home of a local target may be cut off from this router, or
        # gone; then this router's own reports are all it has. A target of
        # another zone that is marked gets no requests, so nothing else would
        # ever show that it was started again: this zone would leave it
        # unused for good.
        local = self._is_local(target)
        if local or (target.marked and self._is_home(target)):
            return now - target.report.taken_at > cfg.report_age
        return target.in_flight > 0 or target.used

    async def _ask(
        self,
        target: Target,
        *,
        fresh: bool,
    ) -> LoadReport | TargetFault:
        self.parts.metrics.count('balsamreach_target_polls_total')
        return await self.parts.client.load(target.row.address, fresh=fresh)

    def _take(self, target: Target, report: LoadReport) -> None:
        if report.leaving:
            # Taking the report in marks the start as well. A mark set after
            # that would be no news, and so be told to nobody: routers of
            # other zones, which do not poll, would go on sending requests.
            self.parts.marks.mark(target, report.incarnation, FROM_TARGET)
        now = self.parts.clock.now()
        if not target.take_report(report, now):
            self.parts.metrics.count('balsamreach_target_late_reports_total')
            return
        self.parts.metrics.count(REPORTS, source='own')
