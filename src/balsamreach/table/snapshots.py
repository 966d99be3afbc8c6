"""Snapshots of the table in the object store."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.services.base import ObjectStore
from balsamreach.services.faults import PlatformFault
from balsamreach.table.faults import BAD_SNAPSHOT, TABLE_UNAVAILABLE, TableFault
from balsamreach.table.snapshot_format import (
    SnapshotBuilder,
    read_header,
    read_rows,
)
from balsamreach.table.view import TableView
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

SNAPSHOT_PREFIX = 'table-snapshots/'
_MAX_SNAPSHOTS = 2
_logger = logging.getLogger(__name__)


@attrs.define
class Snapshots:
    """Writes snapshots after many changes and loads the newest one.

    Parameters
    ----------
    objects : ObjectStore
        Holds the snapshots.
    clock : Clock
        Lets other tasks run between two steps.
    metrics : Metrics
        Counts snapshots that are written, read and skipped.
    least_changes : int
        Number of changed rows after which the next snapshot is due.
    """

    objects: ObjectStore
    clock: Clock
    metrics: Metrics
    least_changes: int = 500

    async def load(self, view: TableView) -> int | TableFault:
        """Load the newest valid snapshot into an empty view.

        Returns
        -------
        int or TableFault
            The version loaded, or a fault; the view is still empty then.
        """
        names = await self.objects.names(SNAPSHOT_PREFIX)
        if isinstance(names, PlatformFault):
            return TABLE_UNAVAILABLE.because(f'object store: {names.code}')
        for name in reversed(names):
            loaded = await self._load_one(name, view)
            if not isinstance(loaded, TableFault):
                self.metrics.count('balsamreach_table_snapshots_read_total')
                return loaded
            self._record_skipped(name, loaded)
        return BAD_SNAPSHOT.because('there is no valid snapshot')

    async def write_if_due(self, view: TableView) -> str | TableFault:
        """Write a snapshot if enough rows changed since the last one.

        Several routers may find it due at once. This is harmless: each writes
        a complete object with the same rows, named by version.

        Returns
        -------
        str or TableFault
            Name of the object, empty if none was due.
        """
        names = await self.objects.names(SNAPSHOT_PREFIX)
        if isinstance(names, PlatformFault):
            return TABLE_UNAVAILABLE.because(f'object store: {names.code}')
        changed = (
            view.versions.count_since(_parse_version(names[-1])) if names else 0
        )
        if names and changed < self.least_changes:
            return ''
        name = f'{SNAPSHOT_PREFIX}{view.version:020d}'
        fault = await self.objects.put(name, await self._build(view))
        if fault is not None:
            return TABLE_UNAVAILABLE.because(f'object store: {fault.code}')
        self.metrics.count('balsamreach_table_snapshots_written_total')
        for old in names[: 1 - _MAX_SNAPSHOTS]:
            await self.objects.delete(old)
        return name

    async def _build(self, view: TableView) -> bytes:
        builder = SnapshotBuilder(view.version)
        # Rows ahead of the log are left out: routers that start from this
        # snapshot get them with the log. Deletions are left out because the
        # snapshot is loaded into an empty view.
        rows = (
            row
            for row in view.rows_since(0)
            if row.version <= builder.version and row.value is not None
        )
        for _ in builder.add_rows(rows):
            await self.clock.sleep(0)
        return builder.finish()

    async def _load_one(self, name: str, view: TableView) -> int | TableFault:
        body = await self.objects.get(name)
        if isinstance(body, PlatformFault):
            return TABLE_UNAVAILABLE.because(f'object store: {body.code}')
        header = read_header(body)
        if isinstance(header, TableFault):
            return header
        listed_keys: set[str] = set()
        for rows in read_rows(body):
            view.apply(rows, 0)
            listed_keys.update(row.key for row in rows)
            await self.clock.sleep(0)
        view.prune(listed_keys, header.version)
        view.apply((), header.version)
        return header.version

    def _record_skipped(self, name: str, fault: TableFault) -> None:
        self.metrics.count('balsamreach_table_snapshots_skipped_total')
        log_event(
            _logger,
            logging.WARNING,
            'table_snapshot_skipped',
            snapshot=name,
            reason=fault.reason,
        )


def _parse_version(name: str) -> int:
    digits = name.removeprefix(SNAPSHOT_PREFIX)
    return int(digits) if digits.isdecimal() else 0
