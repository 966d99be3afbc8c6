"""Follows the table: from snapshot, log and peers into force."""

import logging
import random
from itertools import islice

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.services.base import Row
from balsamreach.table.exchange import SPREAD_ROWS, TableExchange
from balsamreach.table.faults import TableFault
from balsamreach.table.pruning import Pruner
from balsamreach.table.reader import TableReader
from balsamreach.table.readers import rank_in_zone
from balsamreach.table.snapshots import Snapshots
from balsamreach.table.view import TableView
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

#: Routers that are no readers of their zone look this much more seldom, in
#: case their readers or neighbours are cut off from the platform.
IDLE_FACTOR = 5
#: Seconds that the question and answer of a look may take beyond the longest
#: pause before it. With the usual pauses a confirmation is over before the
#: 5 s in which an edit must be in force everywhere.
LOOK_S = 2
_JITTER = 0.2
_MOST_DOUBLINGS = 4
_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class TableFollower:
    """Keeps the view of one router up to date.

    Parameters
    ----------
    cfg : Settings
        How often to look, and how many readers a zone has.
    reader : TableReader
        Reads the table service's log.
    exchange : TableExchange
        Speaks with other routers.
    snapshots : Snapshots
        Reads and writes the object store.
    pruner : Pruner
        Deletes old records of edits.
    """

    cfg: Settings
    reader: TableReader
    exchange: TableExchange
    snapshots: Snapshots
    pruner: Pruner
    clock: Clock
    rng: random.Random
    metrics: Metrics
    _snapshot_at: float = 0
    _away: bool = False
    _tries: int = 0

    @property
    def view(self) -> TableView:
        """The view that is kept up to date."""
        return self.reader.view

    @property
    def age(self) -> float | None:
        """Seconds up to which edits may be missing, None if not known."""
        confirmed_at = self.reader.confirmed_at
        if confirmed_at is None:
            return None
        return self.clock.now() - confirmed_at

    def is_confirmed(self) -> bool:
        """Return whether the table here was the newest a moment ago.

        Peers confirm nothing: they may be cut off as well.
        """
        longest = self.cfg.table.poll_interval * IDLE_FACTOR + LOOK_S
        return self.age is not None and self.age <= longest

    def announced(self) -> int:
        """Return the version that neighbours are told, 0 if not whole."""
        return self.view.version if self.view.complete else 0

    def publish(self, changed: tuple[Row, ...]) -> None:
        """Bring rows that were committed here into force at once."""
        fresh = self.view.apply(changed, 0)
        self.exchange.offer(fresh, 0, 0)

    def start(self) -> None:
        """Take messages of the table from other routers from now on."""
        self.exchange.start()

    async def step(self) -> None:
        """Read once, and write a snapshot if one is due."""
        if not self.view.complete:
            await self._begin()
        else:
            await self._go_on()
        _measure(self)

    def is_reader(self) -> bool:
        """Return whether this router polls for its zone."""
        rank = rank_in_zone(self.exchange.net)
        return rank < self.cfg.table.readers_per_zone

    async def pause(self) -> None:
        """Wait until the next step is due."""
        factor = IDLE_FACTOR
        if not self.view.complete:
            # Routers that all start in an outage must not add their load
            # to it.
            factor = 2 ** min(self._tries, _MOST_DOUBLINGS)
        elif self.is_reader():
            factor = 1
        spread = self.rng.uniform(1 - _JITTER, 1)
        interval = self.cfg.table.poll_interval * factor * spread
        await self.clock.sleep(interval)

    async def _begin(self) -> None:
        # A router that starts with an old table would bring back what was
        # changed since: a paused team, a revoked key. So it is ready only
        # once the log, or where that is away the newest neighbour, brought
        # it up to date; a snapshot alone isn't enough.
        if self.view.version == 0:
            await self.snapshots.load(self.view)
        read = await self._read()
        self.view.complete = read is not None or (
            await self.exchange.catch_up_with_newest()
        )
        self._tries += 1
        if self.view.complete:
            log_event(
                _logger,
                logging.INFO,
                'table_in_force',
                version=self.view.version,
            )

    async def _go_on(self) -> None:
        before = self.view.version
        # Rows that all came by way of peers before are not offered again;
        # heartbeats show the version to whoever missed them.
        if await self._read() and before:
            # One more shows that they are too many to offer; in an import
            # all of them would be thousands.
            since = self.view.rows_since(before)
            changed = tuple(islice(since, SPREAD_ROWS + 1))
            self.exchange.offer(changed, before, self.view.version)
        if self._snapshot_is_due():
            self._snapshot_at = self.clock.now()
            await self.snapshots.write_if_due(self.view)
            await self.pruner.step()

    async def _read(self) -> tuple[Row, ...] | None:
        outcome = await self.reader.refresh()
        away = isinstance(outcome, TableFault)
        # One line when the service goes and one when it is back, not one
        # for each look.
        if away != self._away:
            self._away = away
            log_event(
                _logger,
                logging.WARNING if away else logging.INFO,
                'table_not_read' if away else 'table_read_again',
                reason=outcome.reason if away else None,
            )
        return None if away else outcome

    def _snapshot_is_due(self) -> bool:
        if rank_in_zone(self.exchange.net) > 0:
            return False
        since = self.clock.now() - self._snapshot_at
        return since >= self.cfg.table.snapshot_interval


def _measure(follower: TableFollower) -> None:
    view = follower.view
    gauges = {
        'version': view.version,
        'rows': len(view.teams) + len(view.targets),
        'rows_rejected': len(view.rejected),
    }
    if follower.age is not None:
        gauges['age_seconds'] = follower.age
    for name, amount in gauges.items():
        follower.metrics.gauge(f'balsamreach_table_{name}', amount)
