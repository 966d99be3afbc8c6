"""Reads a table of the store, in full or only its changes."""

from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.platform.pages import PageSharing
from balsamreach.platform.row_store import RowStore, StoredRows
from balsamreach.services.faults import TOO_LARGE, PlatformFault

#: Size in bytes of changes above which the table is read in full instead: each
#: change of a large row holds the whole row.
_MAX_CHANGES_BYTES = 64 * 1024
#: Number of checks whether the hub of the zone has shared the changes, and
#: seconds between them. The hub has the fastest link, and sends patches of
#: large rows.
_HUB_CHECKS = 8
_HUB_CHECK_INTERVAL_S = 0.1


@attrs.define
class FeedReader:
    """Reads a table in full at first, then its changes.

    Parameters
    ----------
    table : str
        Name of the table.
    pages : PageSharing
        Knows whether another router shares pages with this one.
    clock : Clock
        Waits between checks.
    get_version : callable
        Returns the version up to which the rows are known; None at first.
    """

    table: str
    pages: PageSharing
    clock: Clock
    get_version: Callable[[], int | None]

    async def read(self, store: RowStore) -> StoredRows | PlatformFault:
        """Read the changes, or the full table if these are too large."""
        since = self.get_version()
        if since is None:
            return await store.read(self.table, '')
        page = await self.read_changes(store)
        if page != TOO_LARGE:
            return page
        if not self.pages.is_leader() and await self._wait_for_hub(since):
            page = await self.read_changes(store)
        if page != TOO_LARGE:
            return page
        return await store.read(self.table, '')

    async def read_changes(self, store: RowStore) -> StoredRows | PlatformFault:
        """Read the changes; TOO_LARGE if they exceed 64 KiB."""
        return await store.follow(
            self.table, self.get_version(), _MAX_CHANGES_BYTES
        )

    async def _wait_for_hub(self, since: int) -> bool:
        """Return whether the hub shares changes within 0.8 s."""
        for _ in range(_HUB_CHECKS):
            await self.clock.sleep(_HUB_CHECK_INTERVAL_S)
            if self.get_version() != since:
                return True
        return False
