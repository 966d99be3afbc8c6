"""Our table service on the platform's rows."""

import asyncio

import attrs

from balsamreach.platform.rows import RowPlace, RowStore, StoredRow
from balsamreach.services.base import (
    ABSENT,
    Commit,
    Page,
    Row,
    Scan,
    TableService,
)
from balsamreach.services.faults import INVALID, PlatformFault

_END = '\x7f'


@attrs.define
class RowTableService(TableService):
    """Keeps rows named ``kind/.../owner`` in the platform's tables.

    The first word of a key is the table. The last one is the part, so that
    all rows of one team share a part: a change of them is one transaction,
    and teams don't wait for each other.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    """

    store: RowStore

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        return await self.store.change(
            [(_place(write.key), write) for write in change.writes],
            [(_place(check.key), check) for check in change.checks],
        )

    async def read(
        self,
        keys: tuple[str, ...],
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows by key; those of different keys may be moments apart.

        A commit on them checks their versions, so a row that changed between
        two of the reads makes it fail rather than do harm.
        """
        read = await asyncio.gather(*map(self._read_one, keys))
        for row in read:
            if isinstance(row, PlatformFault):
                return row
        return tuple(read)

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Refuse: no part of the product that runs there scans its rows."""
        return INVALID.because(f'rows under {scan.prefix} are not scanned')

    async def _read_one(self, key: str) -> Row | PlatformFault:
        place = _place(key)
        end = place.key + _END
        page = await self.store.read(place.table, place.part, place.key, end)
        if isinstance(page, PlatformFault):
            return page
        found = [row for row in page.rows if row.key == place.key]
        return _row(key, found[0] if found else None)


def _place(key: str) -> RowPlace:
    table, _, rest = key.partition('/')
    middle, _, part = rest.rpartition('/')
    return RowPlace(table, part, middle or table)


def _row(key: str, stored: StoredRow | None) -> Row:
    if stored is None:
        return Row(key, ABSENT, None)
    return Row(key, stored.version, stored.fields)
