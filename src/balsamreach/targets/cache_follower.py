"""Requests the cache events of the engines of this router's zone."""

from collections import deque
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.table.rows import ENGINE
from balsamreach.targets.cache_feed import CacheChanges
from balsamreach.targets.client import CacheEvents, TargetClient
from balsamreach.targets.registry import Target, Targets
from balsamreach.telemetry.metrics import Metrics

#: Maximum seconds of a round over all engines. Hints older than that cause no
#: more cache hits than no hints at all.
_MAX_ROUND_S = 30

#: Called with a target's name and the changes of its cache.
CacheWatcher = Callable[[str, CacheChanges], None]


@attrs.define(eq=False)
class CacheFollower:
    """Requests cache events from the engines in turn, at a bounded rate.

    Events are numerous, and useful only to routers that may send to the
    engine, so they are not shared: each router requests them itself. In a
    zone with so many engines that each would be asked too rarely, none is
    asked: outdated hints lead requests to engines that have already evicted
    their prompt.

    Parameters
    ----------
    watchers : list of callable
        Called after new events were received.
    """

    cfg: Settings
    targets: Targets
    client: TargetClient
    clock: Clock
    metrics: Metrics
    watchers: list[CacheWatcher] = attrs.field(factory=list)
    _queue: deque[str] = attrs.field(factory=deque)

    async def run(self) -> None:
        """Request events from one engine after the other, until cancelled."""
        while True:
            await self.ask_next()
            rate = max(0.01, self.cfg.targets.cache_polls)
            await self.clock.sleep(1 / rate)

    async def ask_next(self) -> None:
        """Request events from the engine whose turn it is."""
        target = self._next()
        if target is None:
            return
        feed = target.cache
        incarnation = target.report.incarnation
        received = await self.client.cache_events(
            target.row.address,
            feed.next_seq,
        )
        if not isinstance(received, CacheEvents):
            self.metrics.count('balsamreach_cache_event_failures_total')
            return
        if target.report.incarnation != incarnation:
            # The response may be of the earlier incarnation, whose cache is
            # gone.
            return
        changes = feed.advance(received)
        if changes.missing:
            self.metrics.count('balsamreach_cache_event_gaps_total')
        for watcher in self.watchers:
            watcher(target.name, changes)

    def _next(self) -> Target | None:
        if not self._queue:
            engines = self._engines()
            if len(engines) <= _MAX_ROUND_S * self.cfg.targets.cache_polls:
                self._queue.extend(engines)
        while self._queue:
            target = self.targets.by_name.get(self._queue.popleft())
            if target is not None and not target.leaving:
                return target
        return None

    def _engines(self) -> list[str]:
        return [
            target.name
            for target in self.targets.by_name.values()
            if target.row.kind == ENGINE
            and target.row.zone == self.cfg.host.zone
            and not target.failures
        ]
