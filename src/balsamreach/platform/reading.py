"""Reads what changed in a table of the store."""

from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.platform.pages import PageSharing
from balsamreach.platform.rows import RowStore, StoredRows
from balsamreach.services.faults import TOO_LARGE, PlatformFault

#: Bytes of changes beyond which the table is read as it is now: each change
#: of a large row holds all of it.
_MOST_CHANGES = 64 * 1024
#: Times that a router looks whether the hub of its zone has told what it
#: lacks, and seconds between them. The hub has the widest link, and tells what
#: changed in a large row.
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

    async def read(self, store: RowStore) -> StoredRows | PlatformFault:
        """Ask the store once; much is read as it is now."""
        since = self.position()
        if since is None:
            return await store.read(self.table, '')
        page = await self.look(store)
        if page != TOO_LARGE:
            return page
        if not self.pages.leads() and await self._is_told(since):
            page = await self.look(store)
        if page != TOO_LARGE:
            return page
        return await store.read(self.table, '')

    async def look(self, store: RowStore) -> StoredRows | PlatformFault:
        """Ask the store for what changed, if that is little."""
        return await store.follow(self.table, self.position(), _MOST_CHANGES)

    async def _is_told(self, since: int) -> bool:
        """Wait a while for the hub; whether it told something."""
        for _ in range(_HUB_LOOKS):
            await self.clock.sleep(_HUB_LOOK_S)
            if self.position() != since:
                return True
        return False
