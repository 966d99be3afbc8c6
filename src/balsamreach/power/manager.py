"""Runs a decider for each service whose hosts this router manages."""

import random
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.power.decider import Decider
from balsamreach.power.follower import PowerFollower
from balsamreach.power.idle import IdleCheck
from balsamreach.power.observer import Observer
from balsamreach.power.orders import Orders
from balsamreach.power.rows import encode
from balsamreach.power.store import PowerStore, StoredRow
from balsamreach.services.base import HostList, TableService, WeightStore
from balsamreach.targets.client import TargetClient
from balsamreach.targets.leaving_marks import LeavingMarks
from balsamreach.telemetry.metrics import Metrics

_JITTER = 0.1


def _no_waiting_requests(service: str) -> int:
    return 0


@attrs.frozen(kw_only=True)
class PowerParts:
    """Dependencies of power management.

    Parameters
    ----------
    waiting : callable
        Returns how many requests for a service wait at this router.
    """

    cfg: Settings
    marks: LeavingMarks
    client: TargetClient
    hosts: HostList
    weights: WeightStore
    service: TableService
    clock: Clock
    rng: random.Random
    metrics: Metrics
    waiting: Callable[[str], int] = _no_waiting_requests


@attrs.define(eq=False)
class PowerManager:
    """Deciders by service, for this router's zone.

    Rendezvous hashing over the zone's routers only roughly settles which of
    them decides; the conditional commits prevent conflicts.
    """

    parts: PowerParts
    follower: PowerFollower
    deciders: dict[str, Decider] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Run a step of all deciders at each interval."""
        interval = self.parts.cfg.power.interval
        while True:
            await self.step_all()
            jitter = 1 + _JITTER * self.parts.rng.random()
            await self.parts.clock.sleep(interval * jitter)

    async def step_all(self) -> None:
        """Run one step of each decider of this router."""
        wanted = self._services()
        for service in set(self.deciders) - wanted:
            self.deciders.pop(service)
        for service in sorted(wanted):
            if service not in self.deciders:
                self.deciders[service] = self.make_decider(service)
            await self.deciders[service].step()

    def make_decider(self, service: str) -> Decider:
        """Return a new decider for a service."""
        parts = self.parts
        cfg = parts.cfg.power
        return Decider(
            service=service,
            zone=parts.cfg.host.zone,
            own_incarnation=parts.marks.net.me.incarnation,
            cfg=cfg,
            store=PowerStore(parts.service),
            observer=Observer(
                cfg=cfg,
                targets=parts.marks.targets,
                client=parts.client,
                hosts=parts.hosts,
                idle_check=IdleCheck(
                    cfg, parts.marks, parts.marks.net, parts.clock
                ),
                clock=parts.clock,
                waiting=parts.waiting,
            ),
            orders=Orders(
                cfg,
                parts.client,
                parts.hosts,
                parts.weights,
                parts.clock,
                parts.metrics,
            ),
            clock=parts.clock,
            metrics=parts.metrics,
            publish=self._publish,
        )

    def _services(self) -> set[str]:
        net = self.parts.marks.net
        zone = self.parts.cfg.host.zone
        targets = self.parts.marks.targets
        services = {
            target.row.service
            for target in targets.by_name.values()
            if target.row.zone == zone
        }
        return {
            service
            for service in services
            if net.home(f'power/{service}/{zone}') == net.me
        }

    def _publish(self, stored: StoredRow) -> None:
        row = stored.row
        self.follower.publish(row.key, stored.version, encode(row))


def make_power(parts: PowerParts) -> PowerManager:
    """Create the manager and the follower that holds targets for it."""
    follower = PowerFollower(
        parts.cfg,
        parts.marks.targets,
        parts.service,
        parts.marks.net,
        parts.clock,
    )
    return PowerManager(parts, follower)
