"""Delayed and incomplete cache events of fake targets."""

import asyncio
import random
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from balsamreach.config.settings import Settings
from balsamreach.standins.engine_cache import PrefixCache
from balsamreach.targets.cache_follower import CacheFollower
from balsamreach.targets.client import (
    CacheEvent,
    CacheEvents,
    Order,
    TargetClient,
)
from balsamreach.targets.faults import TargetFault
from balsamreach.targets.registry import LoadReport, Targets
from balsamreach.telemetry.metrics import Metrics
from bench.routing_loop import LoopClock


@attrs.define
class _Client(TargetClient):
    """Target client that reads the caches of fake targets."""

    caches: Mapping[str, Any]
    lag: float

    async def load(
        self,
        address: str,
        *,
        fresh: bool = False,
    ) -> LoadReport | TargetFault:
        """Not supported; the fleet delivers load reports itself."""
        raise NotImplementedError

    async def cache_events(
        self,
        address: str,
        since: int,
    ) -> CacheEvents | TargetFault:
        """Return the events that are at least ``lag`` seconds old."""
        now = asyncio.get_running_loop().time()
        events = self.caches[address].cache.events(since, now - self.lag)
        return CacheEvents(
            events['next'],
            tuple(
                CacheEvent(one['seq'], one['block'], one['kind'] == 'stored')
                for one in events['events']
            ),
        )

    async def order(self, address: str, order: Order) -> TargetFault | None:
        """Not supported; the benchmarks send no orders."""
        raise NotImplementedError


@attrs.frozen
class EventDelivery:
    """Delay and loss of cache events on their way to the routers.

    Parameters
    ----------
    lag : float
        Delay of events in seconds.
    lost : float
        Share of lost events.
    """

    lag: float = 0
    lost: float = 0

    def make_cache(self, blocks: int, seed: str) -> PrefixCache:
        """Return a cache that loses this share of its events."""
        rng = random.Random(seed)
        return PrefixCache(
            blocks,
            now=asyncio.get_running_loop().time,
            loses=lambda: rng.random() < self.lost,
        )

    def follow(
        self,
        cfg: Settings,
        targets: Targets,
        cached_targets: Iterable[Any],
    ) -> CacheFollower:
        """Return a router's cache follower for all targets."""
        caches = {one.address: one for one in cached_targets}
        client = _Client(caches, self.lag)
        return CacheFollower(cfg, targets, client, LoopClock(), Metrics())
