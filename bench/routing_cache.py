"""Cache events of the fake targets, late and with gaps."""

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
    """Reads the caches of fake targets, by address."""

    caches: Mapping[str, Any]
    lag: float

    async def load(
        self,
        address: str,
        *,
        fresh: bool = False,
    ) -> LoadReport | TargetFault:
        """Refuse: the fleet tells loads."""
        raise NotImplementedError

    async def cache_events(
        self,
        address: str,
        since: int,
    ) -> CacheEvents | TargetFault:
        """Return the events up to some seconds ago."""
        now = asyncio.get_running_loop().time()
        told = self.caches[address].cache.events(since, now - self.lag)
        return CacheEvents(
            told['next'],
            tuple(
                CacheEvent(one['seq'], one['block'], one['kind'] == 'stored')
                for one in told['events']
            ),
        )

    async def order(self, address: str, order: Order) -> TargetFault | None:
        """Refuse: nobody gives orders here."""
        raise NotImplementedError


@attrs.frozen
class CacheTelling:
    """How cache events reach the routers.

    Parameters
    ----------
    lag : float
        Seconds after which an event is told.
    lost : float
        Share of events never told.
    """

    lag: float = 0
    lost: float = 0

    def make_cache(self, blocks: int, seed: str) -> PrefixCache:
        """Return a cache that tells its events so."""
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
        caching: Iterable[Any],
    ) -> CacheFollower:
        """Return a router's follower of all targets."""
        caches = {one.address: one for one in caching}
        client = _Client(caches, self.lag)
        return CacheFollower(cfg, targets, client, LoopClock(), Metrics())
