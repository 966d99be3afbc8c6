"""Runs a decider for each service whose hosts this router looks after."""

import random
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.power.decider import Decider
from balsamreach.power.follower import PowerFollower
from balsamreach.power.idle import IdleProof
from balsamreach.power.looking import Looker
from balsamreach.power.orders import Orders
from balsamreach.power.rows import encode
from balsamreach.power.store import PowerStore, Stored
from balsamreach.services.base import HostList, TableService, WeightStore
from balsamreach.targets.client import TargetClient
from balsamreach.targets.marks import Marks
from balsamreach.telemetry.metrics import Metrics

_JITTER = 0.1


def _none_waiting(service: str) -> int:
    return 0


@attrs.frozen(kw_only=True)
class PowerParts:
    """What power needs.

    Parameters
    ----------
    waiting : callable
        Returns how many requests for a service wait at this router.
    """

    cfg: Settings
    marks: Marks
    client: TargetClient
    hosts: HostList
    weights: WeightStore
    service: TableService
    clock: Clock
    rng: random.Random
    metrics: Metrics
    waiting: Callable[[str], int] = _none_waiting


@attrs.define(eq=False)
class PowerManager:
    """Deciders by service, for the zone of this router.

    Which router decides is agreed on only loosely, by rendezvous hashing
    over the zone's routers; the conditional commits settle the rest.
    """

    parts: PowerParts
    follower: PowerFollower
    deciders: dict[str, Decider] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Decide round after round."""
        interval = self.parts.cfg.power.interval
        while True:
            await self.step_all()
            spread = 1 + _JITTER * self.parts.rng.random()
            await self.parts.clock.sleep(interval * spread)

    async def step_all(self) -> None:
        """Let each decider of this router take one step."""
        wanted = self._services()
        for service in set(self.deciders) - wanted:
            self.deciders.pop(service)
        for service in sorted(wanted):
            if service not in self.deciders:
                self.deciders[service] = self.open_decider(service)
            await self.deciders[service].step()

    def open_decider(self, service: str) -> Decider:
        """Return a decider for a service that has decided nothing yet."""
        parts = self.parts
        cfg = parts.cfg.power
        return Decider(
            service=service,
            zone=parts.cfg.host.zone,
            me=parts.marks.net.me.incarnation,
            cfg=cfg,
            store=PowerStore(parts.service),
            looker=Looker(
                cfg=cfg,
                targets=parts.marks.targets,
                client=parts.client,
                hosts=parts.hosts,
                proof=IdleProof(cfg, parts.marks, parts.marks.net, parts.clock),
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

    def _publish(self, stored: Stored) -> None:
        row = stored.row
        self.follower.publish(row.key, stored.version, encode(row))


def make_power(parts: PowerParts) -> PowerManager:
    """Return the manager, and the follower that holds targets for it."""
    follower = PowerFollower(
        parts.cfg,
        parts.marks.targets,
        parts.service,
        parts.marks.net,
        parts.clock,
    )
    return PowerManager(parts, follower)
