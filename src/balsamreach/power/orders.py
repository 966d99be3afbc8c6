"""Orders to hosts and their targets, each given after a new commit."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.config.target_settings import PowerSettings
from balsamreach.power.views import HostView
from balsamreach.services.base import HostList, WeightStore
from balsamreach.services.faults import UNKNOWN, PlatformFault
from balsamreach.targets.client import (
    LEAVE,
    LOAD_MODEL,
    POWER_OFF,
    Order,
    TargetClient,
)
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Orders:
    """Gives the orders of one decider."""

    cfg: PowerSettings
    client: TargetClient
    hosts: HostList
    weights: WeightStore
    clock: Clock
    metrics: Metrics
    _loading: set[str] = attrs.field(factory=set)

    async def leave(self, host: HostView, fence: int) -> None:
        """Tell a target to refuse new work; a repeated order does no harm."""
        if host.report is None or host.report.leaving:
            return
        order = Order(LEAVE, fence, host.record.incarnation)
        fault = await self.client.order(host.target.row.address, order)
        self._record(host, LEAVE, fence, fault)

    async def switch_off(
        self, host: HostView, fence: int, valid_from: float
    ) -> bool:
        """Switch off a host whose row was committed as stopping.

        Parameters
        ----------
        host : HostView
            The host.
        fence : int
            Fencing number of that commit.
        valid_from : float
            Monotonic seconds before that commit was started.

        Returns
        -------
        bool
            Whether the platform confirmed it.
        """
        row = host.target.row
        if row.honours_fences:
            order = Order(POWER_OFF, fence, host.record.incarnation)
            if self._is_expired(valid_from):
                return False
            fault = await self.client.order(row.address, order)
            self._record(host, POWER_OFF, fence, fault)
        # Nothing is awaited between this check and the sending: a decider that
        # was paused since its commit stops here.
        if self._is_expired(valid_from):
            return False
        fault = await self.hosts.power(row.address, on=False, fence=fence)
        self._record(host, 'off', fence, fault)
        return fault is None

    async def switch_on(
        self, host: HostView, fence: int, valid_from: float
    ) -> None:
        """Switch a host on."""
        if self._is_expired(valid_from):
            return
        address = host.target.row.address
        fault = await self.hosts.power(address, on=True, fence=fence)
        self._record(host, 'on', fence, fault)

    async def load_models(self, host: HostView, fence: int) -> None:
        """Load the models that a started target lacks.

        Each load waits until the weight store has a free slot.
        """
        report = host.report
        if report is None or host.name in self._loading:
            return
        self._loading.add(host.name)
        try:
            await self._load_missing(host, fence)
        finally:
            self._loading.discard(host.name)

    async def _load_missing(self, host: HostView, fence: int) -> None:
        missing = set(host.target.row.models) - set(host.report.models)
        for model in sorted(missing):
            wait = await self.weights.reserve(model)
            if isinstance(wait, PlatformFault):
                self._record(host, 'reserve', fence, wait)
                return
            # Hosts that start together would otherwise all read weights at
            # once, and each would take longer than one alone.
            await self.clock.sleep(wait)
            incarnation = host.report.incarnation
            order = Order(LOAD_MODEL, fence, incarnation, model)
            fault = await self.client.order(host.target.row.address, order)
            self._record(host, LOAD_MODEL, fence, fault)

    def _is_expired(self, valid_from: float) -> bool:
        expired = self.clock.now() - valid_from > self.cfg.order_valid
        if expired:
            self.metrics.count('balsamreach_power_orders_dropped_total')
            log_event(_logger, logging.WARNING, 'power_order_dropped')
        return expired

    def _record(self, host: HostView, kind: str, fence: int, fault) -> None:
        outcome = 'taken' if fault is None else fault.code
        self.metrics.count(
            'balsamreach_power_orders_total',
            kind=kind,
            outcome=outcome,
        )
        level = logging.WARNING if fault == UNKNOWN else logging.INFO
        log_event(
            _logger,
            level,
            'power_order',
            kind=kind,
            target=host.name,
            fence=fence,
            outcome=outcome,
        )
