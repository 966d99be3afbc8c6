"""Load reports that the routers of a zone tell each other."""

from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.targets.registry import Target, Targets
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.loads import TargetLoad, TargetLoads
from balsamreach.wire.membership import Member

REPORTS = 'balsamreach_target_reports_total'


@attrs.define(eq=False)
class LoadSharing:
    """Tells the zone what was polled here, and takes what others polled.

    Parameters
    ----------
    confirm : set of str
        Names of targets that this router has to look at itself.
    """

    targets: Targets
    net: PeerNet
    clock: Clock
    metrics: Metrics
    confirm: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Take the reports that peers share."""
        self.net.on(TargetLoads, self.take_loads)

    def share(self, polled: Iterable[Target]) -> None:
        """Tell the other routers of the zone."""
        now = self.clock.now()
        loads = tuple(make_load(target, now) for target in polled)
        if not loads:
            return
        me = self.net.me
        # Not all routers of a large zone are neighbours. Passed on from one
        # neighbour to the next, each report would arrive once over every
        # connection; told directly, it arrives once.
        for member in self.net.members():
            if member.zone == me.zone and member != me:
                self.net.tell(member.incarnation, TargetLoads(loads))

    async def take_loads(self, member: Member, loads: TargetLoads) -> None:
        """Take the reports that a peer shares."""
        now = self.clock.now()
        for load in loads.loads:
            target = self.targets.by_name.get(load.target)
            if target is not None:
                self._take(target, load, now)

    def _take(self, target: Target, load: TargetLoad, now: float) -> None:
        # How long the message was under way is unknown. A changed start or
        # a failure is therefore no more than a reason to look for oneself:
        # believed, a late message would bring back a start long gone.
        known = target.report.incarnation
        if not load.reachable or load.incarnation != known:
            self.confirm.add(target.name)
            return
        report = attrs.evolve(
            target.report,
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            leaving=load.leaving or target.report.leaving,
            taken_at=now - max(0, load.age),
        )
        if target.take_report(report, now):
            self.metrics.count(REPORTS, source='peer')


def make_load(target: Target, now: float) -> TargetLoad:
    """Return a target's newest report in the form told to peers."""
    report = target.report
    return TargetLoad(
        target=target.name,
        incarnation=report.incarnation,
        running=report.running,
        queued=report.queued,
        slots=report.slots,
        leaving=report.leaving,
        age=now - report.taken_at,
        reachable=not target.failures,
    )
