"""Decides which hosts of one service in one zone are on."""

import asyncio
import itertools
import logging
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.target_settings import PowerSettings
from balsamreach.power.demand import Demand
from balsamreach.power.faults import PowerFault
from balsamreach.power.observer import Observer
from balsamreach.power.orders import Orders
from balsamreach.power.plan import Planner, changed_hosts
from balsamreach.power.rows import HostRecord, PowerRow
from balsamreach.power.store import PowerStore, StoredRow
from balsamreach.power.views import HostView, ZoneView
from balsamreach.targets.power_holds import LEAVING, OFF, STARTING, STOPPING
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

_logger = logging.getLogger(__name__)


@attrs.define(eq=False, kw_only=True)
class Decider:
    """One decider; other routers may decide for the same hosts as well.

    Only the conditional commit of the power row settles which of them decides.
    Every order follows a commit of the same step, so a decider that lost the
    row finds out before it gives an order.

    Parameters
    ----------
    service, zone : str
        The service and availability zone it decides for.
    own_incarnation : str
        Incarnation of this router.
    publish : callable
        Called with each row that was written.
    latest_row : StoredRow or None
        The row as this decider last read or wrote it.
    """

    service: str
    zone: str
    own_incarnation: str
    cfg: PowerSettings
    store: PowerStore
    observer: Observer
    orders: Orders
    clock: Clock
    metrics: Metrics
    publish: Callable[[StoredRow], None]
    latest_row: StoredRow | None = None
    _demand: Demand | None = None
    _on_ordered_at: dict[str, float] = attrs.field(factory=dict)
    _load_tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def step(self) -> PowerFault | None:
        """Read the row, observe the hosts, decide, commit, then give orders."""
        stored = await self.store.read(self.service, self.zone)
        if not isinstance(stored, PowerFault):
            stored = await self._take_over(stored)
        if isinstance(stored, PowerFault):
            self._note_fault(stored)
            return stored
        self.latest_row = stored
        valid_from = self.clock.now()
        zone_view = await self.observer.observe(stored.row)
        load = zone_view.load()
        if stored.row.desired == 0:
            # No decider has run here before; the hosts that are on are assumed
            # wanted.
            self._demand.reset(load.hosts, valid_from)
        desired = self._demand.desired(load, valid_from)
        planned = Planner(self.cfg).plan(zone_view, desired)
        self._set_gauges(zone_view, desired)
        written = await self._write(stored, planned)
        if isinstance(written, PowerFault):
            self._note_fault(written)
            return written
        self._publish(written)
        await self._give_orders(zone_view, written, valid_from)
        return None

    async def _take_over(self, stored: StoredRow) -> StoredRow | PowerFault:
        """Take the row over from another router or an earlier incarnation."""
        if (
            stored.row.holder == self.own_incarnation
            and self._demand is not None
        ):
            return stored
        self.observer.reset()
        self._on_ordered_at.clear()
        self._demand = Demand(self.cfg)
        self._demand.reset(stored.row.desired, self.clock.now())
        taken_over = attrs.evolve(stored.row, holder=self.own_incarnation)
        outcome = await self.store.commit(stored, taken_over)
        if isinstance(outcome, PowerFault):
            self._demand = None
            return outcome
        log_event(
            _logger,
            logging.INFO,
            'power_taken_over',
            service=self.service,
            zone=self.zone,
            fence=outcome.row.fence,
        )
        return outcome

    async def _write(
        self,
        stored: StoredRow,
        planned: PowerRow,
    ) -> StoredRow | PowerFault:
        has_orders = any(
            record.state in {STOPPING, STARTING}
            for record in planned.hosts.values()
        )
        if planned == stored.row and not has_orders:
            return stored
        return await self.store.commit(stored, planned)

    async def _give_orders(
        self,
        zone_view: ZoneView,
        written: StoredRow,
        valid_from: float,
    ) -> None:
        for name, record in changed_hosts(zone_view.row, written.row):
            self._log_change(name, record, written.row.fence)
        views = [
            view
            for view in zone_view.hosts.values()
            if view.name in written.row.hosts
        ]
        switched_off = await asyncio.gather(
            *(
                self._order_host(view, written.row, valid_from)
                for view in views
            ),
        )
        names = [view.name for view in views]
        off_names = set(itertools.compress(names, switched_off))
        if off_names:
            await self._record_off(written, off_names)

    async def _order_host(
        self,
        view: HostView,
        row: PowerRow,
        valid_from: float,
    ) -> bool:
        """Give the order that a host's state calls for.

        Returns
        -------
        bool
            Whether the host was switched off.
        """
        host = attrs.evolve(view, record=row.hosts[view.name])
        fence = row.fence
        if host.state == STOPPING:
            # The order follows at least one step after the commit: by then the
            # other routers know that no work may go to the host, whatever
            # starts on it.
            if view.state != STOPPING or not host.idle:
                return False
            self.observer.note_off_order(host.name)
            return await self.orders.switch_off(host, fence, valid_from)
        if host.state == LEAVING:
            await self.orders.leave(host, fence)
        elif host.state == STARTING:
            await self._start_host(host, fence, valid_from)
        return False

    async def _start_host(
        self,
        host: HostView,
        fence: int,
        valid_from: float,
    ) -> None:
        if host.restarted:
            task = asyncio.create_task(self.orders.load_models(host, fence))
            self._load_tasks.add(task)
            task.add_done_callback(self._load_tasks.discard)
            return
        now = self.clock.now()
        last = self._on_ordered_at.get(host.name, float('-inf'))
        if now - last >= self.cfg.start_time:
            self._on_ordered_at[host.name] = now
            await self.orders.switch_on(host, fence, valid_from)

    async def _record_off(
        self, written: StoredRow, switched_off: set[str]
    ) -> None:
        """Record hosts as off; if that fails, a later step does it."""
        row = written.row
        for name in switched_off:
            previous = row.hosts[name]
            off = HostRecord(OFF, previous.incarnation, ordered=True)
            row = row.with_host(name, off)
        outcome = await self.store.commit(written, row)
        if isinstance(outcome, PowerFault):
            self._note_fault(outcome)
            return
        self._publish(outcome)

    def _publish(self, stored: StoredRow) -> None:
        self.latest_row = stored
        self.publish(stored)

    def _set_gauges(self, zone_view: ZoneView, desired: int) -> None:
        labels = {'service': self.service, 'zone': self.zone}
        live = sum(not host.state for host in zone_view.hosts.values())
        self.metrics.gauge('balsamreach_power_desired', desired, **labels)
        self.metrics.gauge('balsamreach_power_on', live, **labels)
        for host in zone_view.hosts.values():
            if host.overdue:
                log_event(
                    _logger,
                    logging.WARNING,
                    'power_start_overdue',
                    target=host.name,
                )

    def _log_change(
        self,
        name: str,
        record: HostRecord | None,
        fence: int,
    ) -> None:
        state = record.state if record else 'on'
        self.metrics.count('balsamreach_power_changes_total', to=state)
        log_event(
            _logger,
            logging.INFO,
            'power_state_changed',
            target=name,
            to=state,
            fence=fence,
        )

    def _note_fault(self, fault: PowerFault) -> None:
        self.metrics.count('balsamreach_power_faults_total', code=fault.code)
        log_event(
            _logger,
            logging.WARNING,
            fault.code,
            service=self.service,
            zone=self.zone,
            reason=fault.reason,
        )
