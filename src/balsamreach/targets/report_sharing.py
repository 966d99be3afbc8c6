"""Sharing of load reports between the routers of a zone."""

from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.targets.registry import Target, Targets
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.loads import TargetLoad, TargetLoads
from balsamreach.wire.membership import Member

REPORTS_TOTAL = 'balsamreach_target_reports_total'


@attrs.define(eq=False)
class ReportSharing:
    """Sends the reports that were polled here, and applies those of peers.

    Parameters
    ----------
    to_poll : set of str
        Names of targets that this router has to poll itself.
    """

    targets: Targets
    net: PeerNet
    clock: Clock
    metrics: Metrics
    to_poll: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Register the handler of peers' reports."""
        self.net.on(TargetLoads, self.receive_loads)

    def share(self, polled: Iterable[Target]) -> None:
        """Send the reports of polled targets to the routers of the zone."""
        now = self.clock.now()
        loads = tuple(make_load(target, now) for target in polled)
        if not loads:
            return
        me = self.net.me
        # Not all routers of a large zone are neighbours. Forwarded from one
        # neighbour to the next, each report would arrive once over every
        # connection; sent directly, it arrives once.
        for member in self.net.members():
            if member.zone == me.zone and member != me:
                self.net.tell(member.incarnation, TargetLoads(loads))

    async def receive_loads(self, member: Member, loads: TargetLoads) -> None:
        """Apply the reports that a peer shares."""
        now = self.clock.now()
        for load in loads.loads:
            target = self.targets.by_name.get(load.target)
            if target is not None:
                self._apply(target, load, now)

    def _apply(self, target: Target, load: TargetLoad, now: float) -> None:
        # It is unknown how long the message was in transit. So a changed
        # incarnation or a failure only makes this router poll the target
        # itself: applied directly, a late message would bring back an
        # incarnation that is long gone.
        known = target.report.incarnation
        if not load.reachable or load.incarnation != known:
            self.to_poll.add(target.name)
            return
        report = attrs.evolve(
            target.report,
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            leaving=load.leaving or target.report.leaving,
            valid_at=now - max(0, load.age),
        )
        if target.apply_report(report, now):
            self.metrics.count(REPORTS_TOTAL, source='peer')


def make_load(target: Target, now: float) -> TargetLoad:
    """Return the message that shares a target's newest report."""
    report = target.report
    return TargetLoad(
        target=target.name,
        incarnation=report.incarnation,
        running=report.running,
        queued=report.queued,
        slots=report.slots,
        leaving=report.leaving,
        age=now - report.valid_at,
        reachable=not target.failures,
    )
