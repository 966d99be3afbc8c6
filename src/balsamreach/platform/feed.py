"""Follows one table of the store.

In a large fleet one router of each zone follows it for the others, and these
ask the store only where they hear nothing. Did each ask for itself, the calls
would grow with the fleet beyond what the store takes.
"""

import asyncio
import logging
from collections.abc import Callable

import attrs

from balsamreach.catalogue.currency import ConfigurationSource
from balsamreach.clock import Clock
from balsamreach.platform.pages import PageSharing, newest_rows
from balsamreach.platform.reading import TableReading
from balsamreach.platform.rows import HISTORY_GONE, RowStore, StoredRows
from balsamreach.services.faults import TOO_LARGE, PlatformFault
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

FAULTS = 'balsamreach_store_feed_faults_total'

_logger = logging.getLogger(__name__)
_MS = 1000
#: Faults of a store that does answer.
_ANSWERED = (HISTORY_GONE, TOO_LARGE)
#: Seconds between two tries at a store that refuses.
_PAUSE_S = 0.2
#: Seconds after which a router that has heard nothing asks the store itself.
#: Who follows it hears within 0.6 s, also where nothing changes.
_FRESH_S = 1.0


@attrs.frozen(kw_only=True)
class FeedParts:
    """What every feed runs on.

    Parameters
    ----------
    store : RowStore
        Where the tables are.
    probe : RowStore
        The same, asked while it does not answer: with short timeouts, and
        without a wait for news. Asked the usual way, a store that is back
        would be noticed a second late or more, and requests of teams that
        have nothing left here would be refused meanwhile.
    clock : Clock
        Time.
    metrics : Metrics
        Counts calls that failed.
    pages : PageSharing
        Passes on what is heard, and hands over what others heard.
    """

    store: RowStore
    probe: RowStore
    clock: Clock
    metrics: Metrics
    pages: PageSharing


@attrs.define
class Feed(ConfigurationSource):
    """Follows one table: first all of it, then what changes.

    Parameters
    ----------
    table : str
        The table.
    parts : FeedParts
        What it runs on.
    take : callable
        Takes a page of rows.
    failed_at : float
        When the last call failed.
    """

    table: str
    parts: FeedParts
    take: Callable[[StoredRows], None]
    failed_at: float = float('-inf')
    _answered_at: float = float('-inf')
    _since: int | None = None
    _away: bool = False
    _told_at: float = float('-inf')
    _reading: TableReading = attrs.field(init=False)
    _missed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Take from now on what another router hears."""
        self._reading = TableReading(
            self.table,
            self.parts.pages,
            self.parts.clock,
            lambda: self._since,
        )
        self.parts.pages.on(self.table, self.hear)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._while_told()
            asked_at = self.parts.clock.now()
            page = await self._next()
            if page == HISTORY_GONE:
                self._since = None
            elif isinstance(page, PlatformFault):
                self._fail(page)
                await self.parts.clock.sleep(_PAUSE_S)
            else:
                self._take_answer(page, asked_at)

    async def check(self) -> None:
        """Ask the store at once, without a wait for news."""
        if self._since is None:
            return
        asked_at = self.parts.clock.now()
        page = await self._reading.look(self.parts.probe)
        if not isinstance(page, PlatformFault):
            self._take_answer(page, asked_at)
            return
        if page not in _ANSWERED:
            self._fail(page)
        # Otherwise it would ask again only when the hub is silent.
        self._missed.set()

    def confirmed_at(self) -> float:
        """Return when the last call was sent that the store answered."""
        return self._answered_at

    def is_away(self) -> bool:
        """Return whether the store does not answer this router."""
        return self._away

    def hear(self, since: int, page: StoredRows) -> None:
        """Take what the router that follows the store has heard.

        Parameters
        ----------
        since : int
            Version after which the rows changed, if they aren't all.
        page : StoredRows
            The rows.
        """
        # A page that is missing between this one and the last may have told
        # of a change that nobody would tell of again.
        known = self._since is not None and since <= self._since
        if not page.whole and not known:
            self._missed.set()
            return
        self._told_at = self.parts.clock.now()
        self._take(page)

    async def _while_told(self) -> None:
        """Wait as long as another router tells all that there is."""
        self._missed.clear()
        while self._since is not None and not self._missed.is_set():
            left = self._told_at + _FRESH_S - self.parts.clock.now()
            # Whether the store answers this router, no other one can tell.
            if left <= 0 or self._away or self.parts.pages.follows():
                return
            missed = asyncio.ensure_future(self._missed.wait())
            await asyncio.wait({missed}, timeout=left)
            missed.cancel()

    async def _next(self) -> StoredRows | PlatformFault:
        store = self.parts.probe if self._away else self.parts.store
        return await self._reading.read(store)

    def _take_answer(self, page: StoredRows, asked_at: float) -> None:
        self._answered_at = max(self._answered_at, asked_at)
        _log_rows(self, page, asked_at)
        if self._away:
            self._away = False
            _log_state(self, self._since, 'store_feed_back')
        self._pass_on(page)
        self._take(page)

    def _pass_on(self, page: StoredRows) -> None:
        if self._since is not None:
            self.parts.pages.tell(self.table, self._since, page)

    def _take(self, page: StoredRows) -> None:
        self.parts.pages.note(page.rows)
        if self._since is None and not page.whole:
            return
        # An answer of the store may come behind what another router told.
        if self._since is not None and page.version < self._since:
            return
        self._since = page.version
        if page.whole or page.rows:
            self.take(page)

    def _fail(self, fault: PlatformFault) -> None:
        self.failed_at = self.parts.clock.now()
        self.parts.metrics.count(FAULTS, table=self.table, code=fault.code)
        if not self._away:
            self._away = True
            reason = fault.reason or fault.code
            _log_state(self, self._since, 'store_feed_lost', reason)


def _log_rows(feed: Feed, page: StoredRows, asked_at: float) -> None:
    if not page.rows:
        return
    log_event(
        _logger,
        logging.INFO,
        'store_rows_read',
        table=feed.table,
        version=page.version,
        rows=len(page.rows),
        distinct_rows=len(newest_rows(page.rows)),
        took_ms=round((feed.parts.clock.now() - asked_at) * _MS),
    )


def _log_state(
    feed: Feed,
    since: int | None,
    event: str,
    reason: str | None = None,
) -> None:
    log_event(
        _logger,
        logging.WARNING if reason else logging.INFO,
        event,
        reason=reason,
        table=feed.table,
        version=since,
    )
