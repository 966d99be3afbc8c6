"""Reads the table from the table service into a router's view."""

import asyncio
from collections.abc import Sequence

import attrs

from balsamreach.clock import Clock
from balsamreach.services.base import Page, Row, Scan, TableService
from balsamreach.services.faults import PlatformFault
from balsamreach.table.faults import TABLE_UNAVAILABLE, TableFault
from balsamreach.table.rows import TABLE_PREFIX
from balsamreach.table.view import TableView

_PAGE_ROWS = 1000
#: Rows applied per iteration of the event loop. A whole page took 40 ms, which
#: blocked every open stream of the router.
_ROWS_PER_TURN = 100


@attrs.define
class TableReader:
    """Reads the rows that changed since the view's version.

    Parameters
    ----------
    service : TableService
        Holds the table.
    view : TableView
        View that the rows are applied to.
    clock : Clock
        Monotonic time of the requests.
    confirmed_at : float or None
        Monotonic time in seconds up to which all edits are known to be in
        force here, None before the first complete read.
    """

    service: TableService
    view: TableView
    clock: Clock
    confirmed_at: float | None = None
    # The log counts all commits, most of which are draws and bills. The view's
    # version advances only with rows of the table, so that routers with the
    # same rows have the same version and don't fetch from each other. The
    # position up to which the log was read is kept here only.
    _log_position: int = 0
    _first_page_version: int = 0
    _first_page_requested_at: float = 0
    _resume_after: str = ''
    _listed_keys: set[str] = attrs.field(factory=set)

    async def refresh(self) -> tuple[Row, ...] | TableFault:
        """Apply all rows written after the view's version.

        Returns
        -------
        tuple of Row or TableFault
            The rows that were new, or TABLE_UNAVAILABLE; rows read before the
            fault stay applied.
        """
        if self.view.version == 0 and self._log_position == 0:
            return await self._read_all()
        return await self._read_changes()

    async def _read_all(self) -> tuple[Row, ...] | TableFault:
        applied: list[Row] = []
        more = True
        while more:
            requested_at = self.clock.now()
            page = await self._scan(
                Scan(TABLE_PREFIX, after=self._resume_after, limit=_PAGE_ROWS),
            )
            if isinstance(page, TableFault):
                return page
            # A full read takes several pages, between which rows may change.
            # It surely covers only the version of the first page, so the next
            # read of changes starts there. After a refused page the read
            # resumes at that page: a restart from the first one might never
            # finish under a rate limit.
            if not self._first_page_version:
                self._first_page_version = page.version
                self._first_page_requested_at = requested_at
            applied.extend(await self._apply_rows(page.rows))
            self._listed_keys.update(row.key for row in page.rows)
            more = page.more
            self._resume_after = page.rows[-1].key if more else ''
        self._log_position = self._first_page_version
        self.view.prune(self._listed_keys, self._first_page_version)
        self.view.apply((), self._first_page_version)
        self._listed_keys.clear()
        self.confirmed_at = self._first_page_requested_at
        return tuple(applied)

    async def _read_changes(self) -> tuple[Row, ...] | TableFault:
        applied: list[Row] = []
        more = True
        while more:
            since = max(self.view.version, self._log_position)
            requested_at = self.clock.now()
            page = await self._scan(
                Scan(TABLE_PREFIX, since=since, limit=_PAGE_ROWS),
            )
            if isinstance(page, TableFault):
                return page
            more = page.more
            applied.extend(await self._apply_page(page))
        # An edit may be committed while the answer is on its way and be missing
        # from it. With the time of arrival, a table received over a slow link
        # would count as newer than it is.
        self.confirmed_at = requested_at
        return tuple(applied)

    async def _apply_page(self, page: Page) -> tuple[Row, ...]:
        if not page.rows:
            self._log_position = max(self._log_position, page.version)
            return ()
        last = page.rows[-1].version
        applied = await self._apply_rows(page.rows)
        # Advance the version only after all rows up to it are applied.
        self.view.apply((), last)
        self._log_position = max(
            self._log_position,
            last if page.more else page.version,
        )
        return applied

    async def _apply_rows(self, rows: Sequence[Row]) -> tuple[Row, ...]:
        applied: list[Row] = []
        for start in range(0, len(rows), _ROWS_PER_TURN):
            if start:
                await asyncio.sleep(0)
            part = rows[start : start + _ROWS_PER_TURN]
            applied.extend(self.view.apply(part, 0))
        return tuple(applied)

    async def _scan(self, scan: Scan) -> Page | TableFault:
        page = await self.service.scan(scan)
        if isinstance(page, PlatformFault):
            return TABLE_UNAVAILABLE.because(page.reason or page.code)
        return page
