"""Keeps a router's view of the table up to date from the table service."""

import attrs

from balsamreach.platform.base import Page, Scan, TableService
from balsamreach.platform.faults import PlatformFault
from balsamreach.table.faults import TABLE_AWAY, TableFault
from balsamreach.table.rows import TABLE_PREFIX
from balsamreach.table.view import TableView

_PAGE_ROWS = 1000


@attrs.define
class TableReader:
    """Reads what changed in the table since the version in force."""

    service: TableService
    view: TableView

    async def refresh(self) -> int | TableFault:
        """Apply all rows written since the view's version.

        Returns
        -------
        int or TableFault
            The version now in force, or TABLE_AWAY; the view keeps what it
            had then.
        """
        if self.view.version == 0:
            return await self._read_all()
        return await self._read_changes()

    async def _read_all(self) -> int | TableFault:
        page = await self._page(Scan(TABLE_PREFIX, limit=_PAGE_ROWS))
        # A full read takes several pages, and rows may change between them.
        # Only the first page's version is sure to be covered by the whole
        # read, so the next read of changes starts there.
        first_version = page.version if isinstance(page, Page) else 0
        while isinstance(page, Page):
            self.view.apply(page.rows, 0)
            if not page.more:
                self.view.apply((), first_version)
                return first_version
            after = page.rows[-1].key
            page = await self._page(
                Scan(TABLE_PREFIX, after=after, limit=_PAGE_ROWS),
            )
        return page

    async def _read_changes(self) -> int | TableFault:
        more = True
        while more:
            page = await self._page(
                Scan(TABLE_PREFIX, since=self.view.version, limit=_PAGE_ROWS),
            )
            if isinstance(page, TableFault):
                return page
            more = page.more
            last = page.rows[-1].version if more else page.version
            self.view.apply(page.rows, last)
        return self.view.version

    async def _page(self, scan: Scan) -> Page | TableFault:
        page = await self.service.scan(scan)
        if isinstance(page, PlatformFault):
            return TABLE_AWAY.because(page.reason or page.code)
        return page
