"""Table service on top of the platform's row store."""

import asyncio

import attrs

from balsamreach.platform.row_store import RowKey, RowStore, StoredRow
from balsamreach.services.base import (
    ABSENT,
    Commit,
    Page,
    Row,
    Scan,
    TableService,
)
from balsamreach.services.faults import INVALID, PlatformFault

_KEY_END = '\x7f'


@attrs.define
class RowTableService(TableService):
    """Stores rows with keys ``kind/.../owner`` in the platform's tables.

    The first segment of a key is the table and the last one is the part. All
    rows of one team are thus in one part: they can be changed in a single
    transaction, and teams don't wait for each other.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    """

    store: RowStore

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        return await self.store.change(
            [(_row_key(write.key), write) for write in change.writes],
            [(_row_key(check.key), check) for check in change.checks],
        )

    async def read(
        self,
        keys: tuple[str, ...],
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows by key, each in a call of its own.

        The rows are no consistent snapshot. A commit checks their versions, so
        it fails if a row changed between two of the reads.
        """
        rows = await asyncio.gather(*map(self._read_one, keys))
        for row in rows:
            if isinstance(row, PlatformFault):
                return row
        return tuple(rows)

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Return INVALID: nothing that runs on the platform scans rows."""
        return INVALID.because(f'rows under {scan.prefix} can not be scanned')

    async def _read_one(self, key: str) -> Row | PlatformFault:
        row_key = _row_key(key)
        end = row_key.key + _KEY_END
        page = await self.store.read(
            row_key.table, row_key.part, row_key.key, end
        )
        if isinstance(page, PlatformFault):
            return page
        found = [row for row in page.rows if row.key == row_key.key]
        return _make_row(key, found[0] if found else None)


def _row_key(key: str) -> RowKey:
    table, _, rest = key.partition('/')
    middle, _, part = rest.rpartition('/')
    return RowKey(table, part, middle or table)


def _make_row(key: str, stored: StoredRow | None) -> Row:
    if stored is None:
        return Row(key, ABSENT, None)
    return Row(key, stored.version, stored.fields)
