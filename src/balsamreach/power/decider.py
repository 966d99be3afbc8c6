"""Decides for the hosts of one service in one zone."""

import asyncio
import itertools
import logging
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.target_settings import PowerSettings
from balsamreach.power.demand import Demand
from balsamreach.power.faults import PowerFault
from balsamreach.power.looking import Looker
from balsamreach.power.orders import Orders
from balsamreach.power.plan import Planner, changed_hosts
from balsamreach.power.rows import HostRecord, PowerRow
from balsamreach.power.scene import HostView, Scene
from balsamreach.power.store import PowerStore, Stored
from balsamreach.targets.holds import LEAVING, OFF, STARTING, STOPPING
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

_logger = logging.getLogger(__name__)


@attrs.define(eq=False, kw_only=True)
class Decider:
    """One decider; others may hold themselves for the decider as well.

    Only the conditional commit of the power row tells who is right. Every
    order follows a commit of the same step, so whoever was overtaken finds
    out before ordering.

    Parameters
    ----------
    service, zone : str
        What it decides for.
    me : str
        Incarnation of this router.
    publish : callable
        Called with each row that was written.
    latest : Stored or None
        The row as this decider last read or wrote it.
    """

    service: str
    zone: str
    me: str
    cfg: PowerSettings
    store: PowerStore
    looker: Looker
    orders: Orders
    clock: Clock
    metrics: Metrics
    publish: Callable[[Stored], None]
    latest: Stored | None = None
    _demand: Demand | None = None
    _asked_on: dict[str, float] = attrs.field(factory=dict)
    _loads: set[asyncio.Task] = attrs.field(factory=set)

    async def step(self) -> PowerFault | None:
        """Read, look, decide, commit, and only then order."""
        stored = await self.store.read(self.service, self.zone)
        if not isinstance(stored, PowerFault):
            stored = await self._hold(stored)
        if isinstance(stored, PowerFault):
            self._note_fault(stored)
            return stored
        self.latest = stored
        asked_at = self.clock.now()
        scene = await self.looker.look(stored.row)
        load = scene.load()
        if stored.row.desired == 0:
            # Nobody has decided here before; what is on now was wanted.
            self._demand.begin(load.hosts, asked_at)
        desired = self._demand.desired(load, asked_at)
        planned = Planner(self.cfg).plan(scene, desired)
        self._gauge(scene, desired)
        written = await self._write(stored, planned)
        if isinstance(written, PowerFault):
            self._note_fault(written)
            return written
        self._publish(written)
        await self._order(scene, written, asked_at)
        return None

    async def _hold(self, stored: Stored) -> Stored | PowerFault:
        """Take the row over if another router, or an earlier start, has it."""
        if stored.row.holder == self.me and self._demand is not None:
            return stored
        self.looker.forget()
        self._asked_on.clear()
        self._demand = Demand(self.cfg)
        self._demand.begin(stored.row.desired, self.clock.now())
        taken = attrs.evolve(stored.row, holder=self.me)
        outcome = await self.store.commit(stored, taken)
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
        stored: Stored,
        planned: PowerRow,
    ) -> Stored | PowerFault:
        orders = any(
            record.state in {STOPPING, STARTING}
            for record in planned.hosts.values()
        )
        if planned == stored.row and not orders:
            return stored
        return await self.store.commit(stored, planned)

    async def _order(
        self,
        scene: Scene,
        written: Stored,
        asked_at: float,
    ) -> None:
        for name, record in changed_hosts(scene.row, written.row):
            self._log_change(name, record, written.row.fence)
        views = [
            view
            for view in scene.hosts.values()
            if view.name in written.row.hosts
        ]
        done = await asyncio.gather(
            *(self._order_one(view, written.row, asked_at) for view in views),
        )
        names = [view.name for view in views]
        gone = set(itertools.compress(names, done))
        if gone:
            await self._finish(written, gone)

    async def _order_one(
        self,
        view: HostView,
        row: PowerRow,
        asked_at: float,
    ) -> bool:
        """Give the order that a host's state calls for; True for off."""
        host = attrs.evolve(view, record=row.hosts[view.name])
        fence = row.fence
        if host.state == STOPPING:
            # The first step commits, a later one orders: by then the other
            # routers know that the host is held, whatever starts on it.
            if view.state != STOPPING or not host.idle:
                return False
            self.looker.ordered_off(host.name)
            return await self.orders.off(host, fence, asked_at)
        if host.state == LEAVING:
            await self.orders.leave(host, fence)
        elif host.state == STARTING:
            await self._start(host, fence, asked_at)
        return False

    async def _start(
        self,
        host: HostView,
        fence: int,
        asked_at: float,
    ) -> None:
        if host.renewed:
            load = asyncio.create_task(self.orders.load(host, fence))
            self._loads.add(load)
            load.add_done_callback(self._loads.discard)
            return
        now = self.clock.now()
        last = self._asked_on.get(host.name, float('-inf'))
        if now - last >= self.cfg.start_time:
            self._asked_on[host.name] = now
            await self.orders.on(host, fence, asked_at)

    async def _finish(self, written: Stored, done: set[str]) -> None:
        """Record hosts as off; where that fails the next step goes on."""
        row = written.row
        for name in done:
            was = row.hosts[name]
            off = HostRecord(OFF, was.incarnation, ordered=True)
            row = row.with_host(name, off)
        outcome = await self.store.commit(written, row)
        if isinstance(outcome, PowerFault):
            self._note_fault(outcome)
            return
        self._publish(outcome)

    def _publish(self, stored: Stored) -> None:
        self.latest = stored
        self.publish(stored)

    def _gauge(self, scene: Scene, desired: int) -> None:
        names = {'service': self.service, 'zone': self.zone}
        live = sum(not host.state for host in scene.hosts.values())
        self.metrics.gauge('balsamreach_power_desired', desired, **names)
        self.metrics.gauge('balsamreach_power_on', live, **names)
        for host in scene.hosts.values():
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
