"""Reads what changed in a table of the store."""

from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.platform.pages import PageSharing
from balsamreach.platform.rows import RowStore, StoredRow, StoredRows
from balsamreach.services.faults import TOO_LARGE, PlatformFault

#: Bytes of missed changes beyond which the table is read as it is now: each
#: change of a large row holds all of it.
_MOST_CHANGES = 64 * 1024
#: Times that a router looks whether the first hub of its zone has told what
#: was missed, and seconds between them. The hub has the widest link, and tells
#: what changed in a large row.
_HUB_LOOKS = 8
_HUB_LOOK_S = 0.1


@attrs.define
class TableReading:
    """Reads one table: first all of it, then what changes.

    Parameters
    ----------
    table : str
        The table.
    pages : PageSharing
        Tells whether another router reads for this one.
    clock : Clock
        Time.
    position : callable
        Returns the version up to which the rows are known; None at first.
    """

    table: str
    pages: PageSharing
    clock: Clock
    position: Callable[[], int | None]
    _keys: set[str] = attrs.field(factory=set)

    def note(self, page: StoredRows, *, whole: bool) -> None:
        """Remember which rows there are.

        Parameters
        ----------
        page : StoredRows
            Rows that came, by any way.
        whole : bool
            Whether they are all there are.
        """
        if whole:
            self._keys.clear()
        for row in page.rows:
            if row.removed:
                self._keys.discard(row.key)
            else:
                self._keys.add(row.key)

    async def read(
        self,
        store: RowStore,
        *,
        late: bool,
    ) -> StoredRows | PlatformFault:
        """Ask the store once.

        Parameters
        ----------
        store : RowStore
            Where the table is.
        late : bool
            Whether many changes may have been missed.
        """
        since = self.position()
        if since is None:
            return await store.read(self.table, '')
        if self.pages.leads() and not late:
            return await store.follow(self.table, since)
        page = await self.look(store)
        if page == TOO_LARGE:
            return await self._catch_up(store, since)
        return page

    async def look(self, store: RowStore) -> StoredRows | PlatformFault:
        """Ask the store for what changed, if that is little."""
        return await store.follow(self.table, self.position(), _MOST_CHANGES)

    async def _catch_up(
        self,
        store: RowStore,
        since: int,
    ) -> StoredRows | PlatformFault:
        """Return what changed, each row only as it is now."""
        if not self.pages.leads() and await self._is_told(since):
            page = await self.look(store)
            if page != TOO_LARGE:
                return page
        page = await store.read(self.table, '')
        if isinstance(page, PlatformFault):
            return page
        changed = [row for row in page.rows if row.version > since]
        gone = self._keys.difference(row.key for row in page.rows)
        removed = [_removed(self.table, key, page.version) for key in gone]
        return StoredRows((*changed, *removed), page.version)

    async def _is_told(self, since: int) -> bool:
        """Wait a while for the first hub; whether it told something."""
        for _ in range(_HUB_LOOKS):
            await self.clock.sleep(_HUB_LOOK_S)
            if self.position() != since:
                return True
        return False


def _removed(table: str, key: str, version: int) -> StoredRow:
    return StoredRow(
        table=table,
        part='',
        key=key,
        fields=None,
        version=version,
        removed=True,
    )
