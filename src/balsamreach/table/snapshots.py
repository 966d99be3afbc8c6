"""Snapshots of the table in the object store."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.services.base import ObjectStore
from balsamreach.services.faults import PlatformFault
from balsamreach.table.faults import BAD_SNAPSHOT, TABLE_AWAY, TableFault
from balsamreach.table.snapshot_format import (
    Packer,
    read_header,
    read_rows,
)
from balsamreach.table.view import TableView
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

PREFIX = 'table-snapshots/'
_KEPT = 2
_logger = logging.getLogger(__name__)


@attrs.define
class Snapshots:
    """Writes snapshots when many rows changed, and reads the newest.

    Parameters
    ----------
    objects : ObjectStore
        Where they are kept.
    clock : Clock
        Lets other tasks run between two steps.
    metrics : Metrics
        Counts what is written, read and skipped.
    least_changes : int
        A snapshot is due once this many rows changed since the last one.
    """

    objects: ObjectStore
    clock: Clock
    metrics: Metrics
    least_changes: int = 500

    async def load(self, view: TableView) -> int | TableFault:
        """Bring an empty view to the newest snapshot that is sound.

        Returns
        -------
        int or TableFault
            The version reached, or a fault; the view is empty still then.
        """
        names = await self.objects.names(PREFIX)
        if isinstance(names, PlatformFault):
            return TABLE_AWAY.because(f'object store: {names.code}')
        for name in reversed(names):
            loaded = await self._load_one(name, view)
            if not isinstance(loaded, TableFault):
                self.metrics.count('balsamreach_table_snapshots_read_total')
                return loaded
            self._skip(name, loaded)
        return BAD_SNAPSHOT.because('there is no sound snapshot')

    async def write_if_due(self, view: TableView) -> str | TableFault:
        """Write a snapshot if enough rows changed since the last one.

        Several routers may find it due at once. They write whole objects of
        the same rows under names that sort by version, which harms nothing.

        Returns
        -------
        str or TableFault
            The name written, empty if none was due.
        """
        names = await self.objects.names(PREFIX)
        if isinstance(names, PlatformFault):
            return TABLE_AWAY.because(f'object store: {names.code}')
        changed = (
            view.versions.count_since(_version_in(names[-1])) if names else 0
        )
        if names and changed < self.least_changes:
            return ''
        name = f'{PREFIX}{view.version:020d}'
        fault = await self.objects.put(name, await self._packed(view))
        if fault is not None:
            return TABLE_AWAY.because(f'object store: {fault.code}')
        self.metrics.count('balsamreach_table_snapshots_written_total')
        for old in names[: 1 - _KEPT]:
            await self.objects.delete(old)
        return name

    async def _packed(self, view: TableView) -> bytes:
        packer = Packer(view.version)
        # Rows ahead of the log are left out: the log brings them to whoever
        # starts from this snapshot. So are deletions, which an empty view
        # has no use for.
        rows = (
            row
            for row in view.rows_since(0)
            if row.version <= packer.version and row.value is not None
        )
        for _ in packer.pack(rows):
            await self.clock.sleep(0)
        return packer.finish()

    async def _load_one(self, name: str, view: TableView) -> int | TableFault:
        body = await self.objects.get(name)
        if isinstance(body, PlatformFault):
            return TABLE_AWAY.because(f'object store: {body.code}')
        header = read_header(body)
        if isinstance(header, TableFault):
            return header
        listed: set[str] = set()
        for rows in read_rows(body):
            view.apply(rows, 0)
            listed.update(row.key for row in rows)
            await self.clock.sleep(0)
        view.prune(listed, header.version)
        view.apply((), header.version)
        return header.version

    def _skip(self, name: str, fault: TableFault) -> None:
        self.metrics.count('balsamreach_table_snapshots_skipped_total')
        log_event(
            _logger,
            logging.WARNING,
            'table_snapshot_skipped',
            snapshot=name,
            reason=fault.reason,
        )


def _version_in(name: str) -> int:
    digits = name.removeprefix(PREFIX)
    return int(digits) if digits.isdecimal() else 0
