"""Puts together what watches targets and what powers their hosts."""

import asyncio
import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.gateway.target_client import HttpTargetClient
from balsamreach.peers.base import PeerNet
from balsamreach.power.manager import PowerManager, PowerParts, make_power
from balsamreach.routing.routing import Routing
from balsamreach.services.base import HostList, TableService, WeightStore
from balsamreach.targets.registry import Targets
from balsamreach.targets.watch import TargetWatch, WatchParts, make_watch
from balsamreach.telemetry.metrics import Metrics


@attrs.frozen(kw_only=True)
class WatchNeeds:
    """What watching and powering targets needs."""

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
    """The watchers, and power where it is enabled.

    Parameters
    ----------
    watch : TargetWatch
        Load reports, marks, cache events and the host list.
    power : PowerManager or None
        None where power is not enabled.
    """

    watch: TargetWatch
    power: PowerManager | None

    async def run(self) -> None:
        """Run until cancelled."""
        tasks = [self.watch.run()]
        if self.power is not None:
            tasks.extend((self.power.follower.run(), self.power.run()))
        await asyncio.gather(*tasks)


def open_watch(needs: WatchNeeds) -> WatchRunner:
    """Return watchers that speak HTTP to targets."""
    cfg, clock, metrics = needs.cfg, needs.clock, needs.metrics
    rng = random.Random()
    client = HttpTargetClient(cfg, clock)
    watch = make_watch(
        WatchParts(
            cfg=cfg,
            targets=needs.targets,
            client=client,
            net=needs.net,
            hosts=needs.hosts,
            clock=clock,
            rng=rng,
            metrics=metrics,
        ),
    )
    watch.cache.watchers.append(needs.routing.apply_cache_events)
    if not cfg.power.enabled:
        return WatchRunner(watch, None)
    power = make_power(
        PowerParts(
            cfg=cfg,
            marks=watch.marks,
            client=client,
            hosts=needs.hosts,
            weights=needs.weights,
            service=needs.service,
            clock=clock,
            rng=rng,
            metrics=metrics,
            waiting=needs.routing.waiting_count,
        ),
    )
    return WatchRunner(watch, power)
