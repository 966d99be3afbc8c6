"""Keeps a router's view of the table up to date from the table service."""

import asyncio
from collections.abc import Sequence

import attrs

from balsamreach.clock import Clock
from balsamreach.services.base import Page, Row, Scan, TableService
from balsamreach.services.faults import PlatformFault
from balsamreach.table.faults import TABLE_AWAY, TableFault
from balsamreach.table.rows import TABLE_PREFIX
from balsamreach.table.view import TableView

_PAGE_ROWS = 1000
#: Rows brought into force in one turn of the event loop. A whole page took
#: 40 ms, for which every open stream of the router stood still.
_ROWS_PER_TURN = 100


@attrs.define
class TableReader:
    """Reads what changed in the table since the version in force.

    Parameters
    ----------
    service : TableService
        Where the table is kept.
    view : TableView
        What is brought up to date.
    clock : Clock
        Time of the questions.
    confirmed_at : float or None
        Monotonic seconds up to which all edits are known to be in force
        here, None before the first whole reading.
    """

    service: TableService
    view: TableView
    clock: Clock
    confirmed_at: float | None = None
    # The log counts all commits, most of which are draws and bills. The
    # view's version moves with rows of the table alone, so that routers with
    # the same rows have the same version and need not ask each other; how
    # far the log was read without finding any is known here only.
    _read_to: int = 0
    _first_version: int = 0
    _first_asked: float = 0
    _after: str = ''
    _listed: set[str] = attrs.field(factory=set)

    async def refresh(self) -> tuple[Row, ...] | TableFault:
        """Apply all rows written since the view's version.

        Returns
        -------
        tuple of Row or TableFault
            The rows that were new here, or TABLE_AWAY; the view keeps what
            it had then.
        """
        if self.view.version == 0 and self._read_to == 0:
            return await self._read_all()
        return await self._read_changes()

    async def _read_all(self) -> tuple[Row, ...] | TableFault:
        fresh: list[Row] = []
        more = True
        while more:
            asked = self.clock.now()
            page = await self._page(
                Scan(TABLE_PREFIX, after=self._after, limit=_PAGE_ROWS),
            )
            if isinstance(page, TableFault):
                return page
            # A full read takes several pages, and rows may change between
            # them. Only the first page's version is sure to be covered by
            # the whole read, so the next read of changes starts there. A
            # refused page is asked for again later, not the whole table:
            # under a rate limit no start would ever get to the end.
            if not self._first_version:
                self._first_version = page.version
                self._first_asked = asked
            fresh.extend(await self._apply(page.rows))
            self._listed.update(row.key for row in page.rows)
            more = page.more
            self._after = page.rows[-1].key if more else ''
        self._read_to = self._first_version
        self.view.prune(self._listed, self._first_version)
        self.view.apply((), self._first_version)
        self._listed.clear()
        self.confirmed_at = self._first_asked
        return tuple(fresh)

    async def _read_changes(self) -> tuple[Row, ...] | TableFault:
        fresh: list[Row] = []
        more = True
        while more:
            since = max(self.view.version, self._read_to)
            asked = self.clock.now()
            page = await self._page(
                Scan(TABLE_PREFIX, since=since, limit=_PAGE_ROWS),
            )
            if isinstance(page, TableFault):
                return page
            more = page.more
            fresh.extend(await self._take(page))
        # An edit may be accepted while the answer is on its way and not be
        # in it. Counted from its arrival, a table that a slow link brings
        # would pass for newer than it is.
        self.confirmed_at = asked
        return tuple(fresh)

    async def _take(self, page: Page) -> tuple[Row, ...]:
        if not page.rows:
            self._read_to = max(self._read_to, page.version)
            return ()
        last = page.rows[-1].version
        fresh = await self._apply(page.rows)
        # Only now are all rows up to there in force.
        self.view.apply((), last)
        self._read_to = max(
            self._read_to,
            last if page.more else page.version,
        )
        return fresh

    async def _apply(self, rows: Sequence[Row]) -> tuple[Row, ...]:
        fresh: list[Row] = []
        for start in range(0, len(rows), _ROWS_PER_TURN):
            if start:
                await asyncio.sleep(0)
            part = rows[start : start + _ROWS_PER_TURN]
            fresh.extend(self.view.apply(part, 0))
        return tuple(fresh)

    async def _page(self, scan: Scan) -> Page | TableFault:
        page = await self.service.scan(scan)
        if isinstance(page, PlatformFault):
            return TABLE_AWAY.because(page.reason or page.code)
        return page
