"""Collects the state of the hosts that a decision is based on."""

import asyncio
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.target_settings import PowerSettings
from balsamreach.power.idle import IdleCheck
from balsamreach.power.rows import HostRecord, PowerRow
from balsamreach.power.views import HostView, ZoneView
from balsamreach.services.base import HostEntry, HostList
from balsamreach.services.faults import PlatformFault
from balsamreach.table.rows import ACTIVE
from balsamreach.targets.client import TargetClient
from balsamreach.targets.power_holds import LEAVING, OFF, STARTING, STOPPING
from balsamreach.targets.registry import Target, Targets
from balsamreach.targets.reports import LoadReport

_LIVE = 'live'


@attrs.define(eq=False)
class Observer:
    """Asks the hosts of a service in a zone and reads the host list.

    Parameters
    ----------
    waiting : callable
        Returns how many requests for a service wait at this router.
    """

    cfg: PowerSettings
    targets: Targets
    client: TargetClient
    hosts: HostList
    idle_check: IdleCheck
    clock: Clock
    waiting: Callable[[str], int]
    _first_seen: dict[str, tuple[HostRecord, float]] = attrs.field(factory=dict)

    async def observe(self, row: PowerRow) -> ZoneView:
        """Return the state of the hosts of a row just read."""
        listed = await self.hosts.hosts()
        if isinstance(listed, PlatformFault):
            listed = None
        self.idle_check.update_routers(listed)
        targets = self._managed(row)
        self._update_first_seen(row)
        views = await asyncio.gather(
            *(self._observe_target(target, row, listed) for target in targets),
        )
        return ZoneView(
            row=row,
            hosts={view.name: view for view in views},
            waiting=self.waiting(row.service),
        )

    def reset(self) -> None:
        """Forget since when records have existed, after losing the row."""
        self._first_seen.clear()

    def note_off_order(self, name: str) -> None:
        """Record that an order to switch a host off was just sent."""
        self._first_seen.pop(name, None)

    def _managed(self, row: PowerRow) -> tuple[Target, ...]:
        # Targets that operators set to leaving or off are neither counted nor
        # given orders, so that power never undoes an edit. Two rows on one host
        # would each decide about the other, so they are left out.
        return tuple(
            target
            for target in self.targets.by_name.values()
            if target.row.service == row.service
            and target.row.zone == row.zone
            and target.row.state == ACTIVE
            and len(self.targets.at_address(target.row.address)) == 1
        )

    def _update_first_seen(self, row: PowerRow) -> None:
        now = self.clock.now()
        for name in set(self._first_seen) - set(row.hosts):
            self._first_seen.pop(name)
        for name, record in row.hosts.items():
            known = self._first_seen.get(name)
            if known is None or known[0] != record:
                self._first_seen[name] = (record, now)

    async def _observe_target(
        self,
        target: Target,
        row: PowerRow,
        listed: tuple[HostEntry, ...] | None,
    ) -> HostView:
        record = row.hosts.get(target.name)
        report = await self.client.load(target.row.address, fresh=True)
        known = report if isinstance(report, LoadReport) else None
        if known is not None:
            target.apply_report(known, self.clock.now())
        view = HostView(
            target,
            record,
            known,
            listed=_is_listed(target, listed),
            settled=self._is_settled(target.name, record),
            overdue=self._is_overdue(target.name, record),
        )
        if view.state not in {LEAVING, STOPPING} or view.restarted:
            return view
        idle = await self.idle_check.is_idle(
            target,
            record.incarnation,
            known,
            listed,
        )
        return attrs.evolve(view, idle=idle)

    def _age(self, name: str, record: HostRecord) -> float:
        since = self._first_seen.get(name, (record, self.clock.now()))[1]
        return self.clock.now() - since

    def _is_settled(self, name: str, record: HostRecord | None) -> bool:
        """Return whether no order to switch the host off can be under way.

        The time counts from when this router first saw the record, by its own
        clock: clocks of different hosts are never compared.
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
    # Without the list no host may be taken for absent.
    if listed is None:
        return True
    return any(
        host.address == target.row.address and host.state == _LIVE
        for host in listed
    )
