"""Creates the components that watch targets and power their hosts."""

import asyncio
import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.gateway.target_client import HttpTargetClient
from balsamreach.peers.base import PeerNet
from balsamreach.power.manager import (
    PowerDependencies,
    PowerManager,
    make_power,
)
from balsamreach.routing.routing import Routing
from balsamreach.services.base import HostList, TableService, WeightStore
from balsamreach.targets.registry import Targets
from balsamreach.targets.watch import TargetWatch, WatchParts, make_watch
from balsamreach.telemetry.metrics import Metrics


@attrs.frozen(kw_only=True)
class WatchDependencies:
    """Dependencies of watching targets and of power management."""

    cfg: Settings
    targets: Targets
    routing: Routing
    net: PeerNet
    hosts: HostList
    weights: WeightStore
    service: TableService
    clock: Clock
    metrics: Metrics


@attrs.frozen
class WatchRunner:
    """Runs target watching and, if enabled, power management.

    Parameters
    ----------
    watch : TargetWatch
        Follows load reports, marks, cache events and the host list.
    power : PowerManager or None
        Powers hosts on and off; None if power management is disabled.
    """

    watch: TargetWatch
    power: PowerManager | None

    async def run(self) -> None:
        """Run until cancelled."""
        tasks = [self.watch.run()]
        if self.power is not None:
            tasks.extend((self.power.follower.run(), self.power.run()))
        await asyncio.gather(*tasks)


def make_watch_runner(deps: WatchDependencies) -> WatchRunner:
    """Return watching and power management that query targets over HTTP."""
    cfg, clock, metrics = deps.cfg, deps.clock, deps.metrics
    rng = random.Random()
    client = HttpTargetClient(cfg, clock)
    watch = make_watch(
        WatchParts(
            cfg=cfg,
            targets=deps.targets,
            client=client,
            net=deps.net,
            hosts=deps.hosts,
            clock=clock,
            rng=rng,
            metrics=metrics,
        ),
    )
    watch.cache.watchers.append(deps.routing.apply_cache_events)
    if not cfg.power.enabled:
        return WatchRunner(watch, None)
    power = make_power(
        PowerDependencies(
            cfg=cfg,
            marks=watch.marks,
            client=client,
            hosts=deps.hosts,
            weights=deps.weights,
            service=deps.service,
            clock=clock,
            rng=rng,
            metrics=metrics,
            waiting=deps.routing.waiting_count,
        ),
    )
    return WatchRunner(watch, power)
