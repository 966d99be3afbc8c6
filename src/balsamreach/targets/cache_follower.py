"""Follows the cache events of the engines that this router sends to."""

from collections import deque
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.table.rows import ENGINE
from balsamreach.targets.cache_feed import CacheNews
from balsamreach.targets.client import CacheEvents, TargetClient
from balsamreach.targets.registry import Target, Targets
from balsamreach.telemetry.metrics import Metrics

#: Seconds that a round over all engines may take. Hints older than that lead
#: to no more hits than none at all, as measured.
_LONGEST_ROUND = 30

#: Called with a target's name and what its cache did.
CacheWatcher = Callable[[str, CacheNews], None]


@attrs.define(eq=False)
class CacheFollower:
    """Asks a bounded number of engines in turn for their cache events.

    Events are many, and of use only to whoever may send to the engine: they
    are not shared, and each router asks at its own bounded rate. In a zone
    of so many engines that each would be asked too rarely, none is: hints
    from long ago lead requests to engines that let their prompt go.

    Parameters
    ----------
    watchers : list of callable
        Called after events were taken in.
    """

    cfg: Settings
    targets: Targets
    client: TargetClient
    clock: Clock
    metrics: Metrics
    watchers: list[CacheWatcher] = attrs.field(factory=list)
    _turns: deque[str] = attrs.field(factory=deque)

    async def run(self) -> None:
        """Ask engine after engine."""
        while True:
            await self.ask_next()
            rate = max(0.01, self.cfg.targets.cache_polls)
            await self.clock.sleep(1 / rate)

    async def ask_next(self) -> None:
        """Ask the engine whose turn it is."""
        target = self._next()
        if target is None:
            return
        feed = target.cache
        before = target.report.incarnation
        news = await self.client.cache_events(
            target.row.address,
            feed.next_seq,
        )
        if not isinstance(news, CacheEvents):
            self.metrics.count('balsamreach_cache_event_failures_total')
            return
        if target.report.incarnation != before:
            # The answer may be the earlier start's; its cache is gone.
            return
        fresh = feed.take(news)
        if fresh.missing:
            self.metrics.count('balsamreach_cache_event_gaps_total')
        for watcher in self.watchers:
            watcher(target.name, fresh)

    def _next(self) -> Target | None:
        if not self._turns:
            engines = self._engines()
            if len(engines) <= _LONGEST_ROUND * self.cfg.targets.cache_polls:
                self._turns.extend(engines)
        while self._turns:
            target = self.targets.by_name.get(self._turns.popleft())
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
