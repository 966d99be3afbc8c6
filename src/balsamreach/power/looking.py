"""Gathers the scene that a decision is made from."""

import asyncio
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.target_settings import PowerSettings
from balsamreach.power.idle import IdleProof
from balsamreach.power.rows import HostRecord, PowerRow
from balsamreach.power.scene import HostView, Scene
from balsamreach.services.base import HostEntry, HostList
from balsamreach.services.faults import PlatformFault
from balsamreach.table.rows import ACTIVE
from balsamreach.targets.client import TargetClient
from balsamreach.targets.holds import LEAVING, OFF, STARTING, STOPPING
from balsamreach.targets.registry import Target, Targets
from balsamreach.targets.reports import LoadReport

_LIVE = 'live'


@attrs.define(eq=False)
class Looker:
    """Asks the hosts of a service in a zone and the platform's list.

    Parameters
    ----------
    waiting : callable
        Returns how many requests for a service wait at this router.
    """

    cfg: PowerSettings
    targets: Targets
    client: TargetClient
    hosts: HostList
    proof: IdleProof
    clock: Clock
    waiting: Callable[[str], int]
    _since: dict[str, tuple[HostRecord, float]] = attrs.field(factory=dict)

    async def look(self, row: PowerRow) -> Scene:
        """Return the scene for a row just read."""
        listed = await self.hosts.hosts()
        if isinstance(listed, PlatformFault):
            listed = None
        self.proof.meet(listed)
        targets = self._managed(row)
        self._follow_records(row)
        views = await asyncio.gather(
            *(self._view(target, row, listed) for target in targets),
        )
        return Scene(
            row=row,
            hosts={view.name: view for view in views},
            waiting=self.waiting(row.service),
        )

    def forget(self) -> None:
        """Forget how long records have stood, after losing the row."""
        self._since.clear()

    def ordered_off(self, name: str) -> None:
        """Take note that an order to switch a host off was just sent."""
        self._since.pop(name, None)

    def _managed(self, row: PowerRow) -> tuple[Target, ...]:
        # What operators set to leaving or off is theirs: power neither
        # counts it nor orders it, and so never undoes an edit. Two rows on
        # one host would each decide about the other, so they are left out.
        return tuple(
            target
            for target in self.targets.by_name.values()
            if target.row.service == row.service
            and target.row.zone == row.zone
            and target.row.state == ACTIVE
            and len(self.targets.at_address(target.row.address)) == 1
        )

    def _follow_records(self, row: PowerRow) -> None:
        now = self.clock.now()
        for name in set(self._since) - set(row.hosts):
            self._since.pop(name)
        for name, record in row.hosts.items():
            known = self._since.get(name)
            if known is None or known[0] != record:
                self._since[name] = (record, now)

    async def _view(
        self,
        target: Target,
        row: PowerRow,
        listed: tuple[HostEntry, ...] | None,
    ) -> HostView:
        record = row.hosts.get(target.name)
        report = await self.client.load(target.row.address, fresh=True)
        known = report if isinstance(report, LoadReport) else None
        if known is not None:
            target.take_report(known, self.clock.now())
        view = HostView(
            target,
            record,
            known,
            listed=_is_listed(target, listed),
            settled=self._is_settled(target.name, record),
            overdue=self._is_overdue(target.name, record),
        )
        if view.state not in {LEAVING, STOPPING} or view.renewed:
            return view
        idle = await self.proof.holds(
            target,
            record.incarnation,
            known,
            listed,
        )
        return attrs.evolve(view, idle=idle)

    def _age(self, name: str, record: HostRecord) -> float:
        since = self._since.get(name, (record, self.clock.now()))[1]
        return self.clock.now() - since

    def _is_settled(self, name: str, record: HostRecord | None) -> bool:
        """Return whether no order to switch the host off is under way.

        The time is counted from when this router first saw the record, on
        its own clock: no two hosts' clocks are compared.
        """
        if record is None or record.state != OFF:
            return False
        if not record.ordered or self.cfg.platform_checks_fences:
            return True
        return self._age(name, record) > self.cfg.order_settle

    def _is_overdue(self, name: str, record: HostRecord | None) -> bool:
        if record is None or record.state != STARTING:
            return False
        return self._age(name, record) > self.cfg.start_timeout


def _is_listed(
    target: Target,
    listed: tuple[HostEntry, ...] | None,
) -> bool:
    # Without the list nothing may be taken for absent.
    if listed is None:
        return True
    return any(
        host.address == target.row.address and host.state == _LIVE
        for host in listed
    )
