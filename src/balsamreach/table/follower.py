"""Keeps the table of a router up to date from snapshots, log and peers."""

import logging
import random
from itertools import islice

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.services.base import Row
from balsamreach.table.exchange import MAX_BROADCAST_ROWS, TableExchange
from balsamreach.table.faults import TableFault
from balsamreach.table.pruning import Pruner
from balsamreach.table.reader import TableReader
from balsamreach.table.reader_rank import rank_in_zone
from balsamreach.table.snapshots import Snapshots
from balsamreach.table.view import TableView
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

#: Routers that are not readers poll this many times less often, in case the
#: readers or neighbours are cut off from the platform.
NON_READER_POLL_FACTOR = 5
#: Seconds allowed for a poll, beyond the longest interval between polls. With
#: the default interval a confirmation expires within the 5 s in which an edit
#: must be in force everywhere.
POLL_ALLOWANCE_S = 2
_JITTER = 0.2
_MAX_DOUBLINGS = 4
_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class TableFollower:
    """Keeps the table of one router up to date.

    Parameters
    ----------
    cfg : Settings
        Poll interval and readers per zone.
    reader : TableReader
        Reads the table service's log.
    exchange : TableExchange
        Exchanges rows with other routers.
    snapshots : Snapshots
        Reads and writes snapshots in the object store.
    pruner : Pruner
        Deletes old edit records.
    """

    cfg: Settings
    reader: TableReader
    exchange: TableExchange
    snapshots: Snapshots
    pruner: Pruner
    clock: Clock
    rng: random.Random
    metrics: Metrics
    _snapshot_checked_at: float = 0
    _unreachable: bool = False
    _start_attempts: int = 0

    @property
    def view(self) -> TableView:
        """The table of this router."""
        return self.reader.view

    @property
    def confirmed_age(self) -> float | None:
        """Seconds since the last confirmation, None if never confirmed.

        All edits that are older than this are in force here.
        """
        confirmed_at = self.reader.confirmed_at
        if confirmed_at is None:
            return None
        return self.clock.now() - confirmed_at

    def is_confirmed(self) -> bool:
        """Return whether the table was confirmed recently enough.

        Only the table service confirms it: peers may be cut off as well.
        """
        max_age = (
            self.cfg.table.poll_interval * NON_READER_POLL_FACTOR
            + POLL_ALLOWANCE_S
        )
        return self.confirmed_age is not None and self.confirmed_age <= max_age

    def heartbeat_version(self) -> int:
        """Return the version for heartbeats, 0 while it is incomplete."""
        return self.view.version if self.view.complete else 0

    def publish(self, changed: tuple[Row, ...]) -> None:
        """Apply rows committed by this router at once and broadcast them."""
        applied = self.view.apply(changed, 0)
        self.exchange.broadcast(applied, 0, 0)

    def start(self) -> None:
        """Register the handlers of table messages from other routers."""
        self.exchange.start()

    async def step(self) -> None:
        """Poll once, and write a snapshot if one is due."""
        if not self.view.complete:
            await self._start_up()
        else:
            await self._update()
        _set_gauges(self)

    def is_reader(self) -> bool:
        """Return whether this router is one of its zone's readers."""
        rank = rank_in_zone(self.exchange.net)
        return rank < self.cfg.table.readers_per_zone

    async def pause(self) -> None:
        """Sleep until the next step is due."""
        factor = NON_READER_POLL_FACTOR
        if not self.view.complete:
            # Back off, so that routers that all start during an outage don't
            # add load to it.
            factor = 2 ** min(self._start_attempts, _MAX_DOUBLINGS)
        elif self.is_reader():
            factor = 1
        jitter = self.rng.uniform(1 - _JITTER, 1)
        interval = self.cfg.table.poll_interval * factor * jitter
        await self.clock.sleep(interval)

    async def _start_up(self) -> None:
        # A router that starts with an old table would revert changes such as a
        # paused team or a revoked key. It becomes ready only after reading the
        # log or, if the table service is unreachable, after catching up with
        # the newest neighbour. A snapshot alone isn't enough.
        if self.view.version == 0:
            await self.snapshots.load(self.view)
        read = await self._read()
        self.view.complete = read is not None or (
            await self.exchange.catch_up_with_newest()
        )
        self._start_attempts += 1
        if self.view.complete:
            log_event(
                _logger,
                logging.INFO,
                'table_in_force',
                version=self.view.version,
            )

    async def _update(self) -> None:
        before = self.view.version
        # Rows that peers had sent before are not broadcast again; routers that
        # missed them notice by the version in heartbeats.
        if await self._read() and before:
            # One more than the limit is enough to show that there are too many
            # to broadcast; an import has thousands.
            newer = self.view.rows_since(before)
            changed = tuple(islice(newer, MAX_BROADCAST_ROWS + 1))
            self.exchange.broadcast(changed, before, self.view.version)
        if self._snapshot_is_due():
            self._snapshot_checked_at = self.clock.now()
            await self.snapshots.write_if_due(self.view)
            await self.pruner.step()

    async def _read(self) -> tuple[Row, ...] | None:
        outcome = await self.reader.refresh()
        unreachable = isinstance(outcome, TableFault)
        # Log only when the service becomes unreachable or reachable again, not
        # at every poll.
        if unreachable != self._unreachable:
            self._unreachable = unreachable
            log_event(
                _logger,
                logging.WARNING if unreachable else logging.INFO,
                'table_not_read' if unreachable else 'table_read_again',
                reason=outcome.reason if unreachable else None,
            )
        return None if unreachable else outcome

    def _snapshot_is_due(self) -> bool:
        if rank_in_zone(self.exchange.net) > 0:
            return False
        elapsed = self.clock.now() - self._snapshot_checked_at
        return elapsed >= self.cfg.table.snapshot_interval


def _set_gauges(follower: TableFollower) -> None:
    view = follower.view
    gauges = {
        'version': view.version,
        'rows': len(view.teams) + len(view.targets),
        'rows_rejected': len(view.rejected),
    }
    if follower.confirmed_age is not None:
        gauges['age_seconds'] = follower.confirmed_age
    for name, value in gauges.items():
        follower.metrics.gauge(f'balsamreach_table_{name}', value)
