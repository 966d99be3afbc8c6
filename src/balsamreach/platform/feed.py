"""Follows the changes of one table in the store.

In a large fleet one hub per zone polls the store and shares the changes with
the other routers of the zone, which poll only if they receive no pages. If
every router polled, the number of calls would grow with the fleet beyond what
the store can serve.
"""

import asyncio
import logging
from collections.abc import Callable

import attrs

from balsamreach.catalogue.freshness import ConfigurationSource
from balsamreach.clock import Clock
from balsamreach.platform.feed_reader import FeedReader
from balsamreach.platform.pages import PageSharing, newest_rows
from balsamreach.platform.row_store import HISTORY_GONE, RowStore, StoredRows
from balsamreach.services.faults import TOO_LARGE, PlatformFault
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

FAULTS_METRIC = 'balsamreach_store_feed_faults_total'

_logger = logging.getLogger(__name__)
_MS = 1000
#: Faults that show that the store is reachable.
_ANSWERED_FAULTS = (HISTORY_GONE, TOO_LARGE)
#: Seconds to wait after a failed call.
_RETRY_DELAY_S = 0.2
#: Seconds without a page after which a router polls the store itself. A hub
#: gets an answer from the store within 0.6 s, even if nothing changed.
_HUB_TIMEOUT_S = 1.0
#: Seconds for which a table counts as current after the call that confirmed it
#: was sent. A long poll takes 0.6 s, and another one may be in progress.
_CURRENT_S = 1.5


@attrs.frozen(kw_only=True)
class FeedParts:
    """Dependencies shared by all feeds.

    Parameters
    ----------
    store : RowStore
        Client of the store.
    probe : RowStore
        Client used while the store is unreachable, with short timeouts and
        without long polling. With ``store`` a recovery would be noticed a
        second late or more, and until then requests of teams with no budget
        left at this router would be refused.
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts failed calls.
    pages : PageSharing
        Exchanges pages with the other routers of the zone.
    """

    store: RowStore
    probe: RowStore
    clock: Clock
    metrics: Metrics
    pages: PageSharing


@attrs.define
class Feed(ConfigurationSource):
    """Reads a table in full once, then follows its changes.

    Parameters
    ----------
    table : str
        Name of the table.
    parts : FeedParts
        Shared dependencies.
    handle_rows : callable
        Called with each page that is complete or holds changed rows.
    failed_at : float
        Monotonic seconds of the last failed call.
    """

    table: str
    parts: FeedParts
    handle_rows: Callable[[StoredRows], None]
    failed_at: float = float('-inf')
    _confirmed_at: float = float('-inf')
    _version: int | None = None
    _away: bool = False
    _hub_page_at: float = float('-inf')
    _reader: FeedReader = attrs.field(init=False)
    _poll_needed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the pages that the hub of the zone shares."""
        self._reader = FeedReader(
            self.table,
            self.parts.pages,
            self.parts.clock,
            lambda: self._version,
        )
        self.parts.pages.register_handler(self.table, self.receive_page)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            await self._wait_while_hub_reports()
            requested_at = self.parts.clock.now()
            page = await self._read_next()
            if page == HISTORY_GONE:
                self._version = None
            elif isinstance(page, PlatformFault):
                self._handle_failure(page)
                await self.parts.clock.sleep(_RETRY_DELAY_S)
            else:
                self._handle_response(page, requested_at)

    async def check(self) -> None:
        """Poll the store at once, without long polling."""
        if self._version is None:
            return
        requested_at = self.parts.clock.now()
        page = await self._reader.read_changes(self.parts.probe)
        if not isinstance(page, PlatformFault):
            self._handle_response(page, requested_at)
            return
        if page not in _ANSWERED_FAULTS:
            self._handle_failure(page)
        # Without this ``run`` would poll again only after the hub timeout.
        self._poll_needed.set()

    def confirmed_at(self) -> float:
        """Return the send time of the last call that the store answered."""
        return self._confirmed_at

    def is_current(self) -> bool:
        """Return whether the store or a hub has just confirmed the table."""
        heard_at = max(self._confirmed_at, self._hub_page_at)
        return self.parts.clock.now() - heard_at <= _CURRENT_S

    def is_unavailable(self) -> bool:
        """Return whether the store is unreachable from this router."""
        return self._away

    def receive_page(self, since: int, page: StoredRows) -> None:
        """Apply a page that a hub shared.

        Parameters
        ----------
        since : int
            Version that the changes start from; unused in a complete page.
        page : StoredRows
            The page.
        """
        # A page that was lost in between may hold changes that no later page
        # repeats.
        follows_last = self._version is not None and since <= self._version
        if not page.whole and not follows_last:
            self._poll_needed.set()
            return
        self._hub_page_at = self.parts.clock.now()
        self._apply(page)

    async def _wait_while_hub_reports(self) -> None:
        """Wait while the pages of a hub keep this router up to date."""
        self._poll_needed.clear()
        while self._version is not None and not self._poll_needed.is_set():
            left = self._hub_page_at + _HUB_TIMEOUT_S - self.parts.clock.now()
            # Only a call of its own shows a router that its store is back.
            if left <= 0 or self._away or self.parts.pages.reads_store():
                return
            poll_needed = asyncio.ensure_future(self._poll_needed.wait())
            await asyncio.wait({poll_needed}, timeout=left)
            poll_needed.cancel()

    async def _read_next(self) -> StoredRows | PlatformFault:
        store = self.parts.probe if self._away else self.parts.store
        return await self._reader.read(store)

    def _handle_response(self, page: StoredRows, requested_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, requested_at)
        _log_rows(self, page, requested_at)
        if self._away:
            self._away = False
            _log_transition(self, self._version, 'store_feed_back')
        self._share(page)
        self._apply(page)

    def _share(self, page: StoredRows) -> None:
        if self._version is not None:
            self.parts.pages.share(self.table, self._version, page)

    def _apply(self, page: StoredRows) -> None:
        self.parts.pages.remember(page.rows)
        if self._version is None and not page.whole:
            return
        # A page of the hub may overtake an answer of the store.
        if self._version is not None and page.version < self._version:
            return
        self._version = page.version
        if page.whole or page.rows:
            self.handle_rows(page)

    def _handle_failure(self, fault: PlatformFault) -> None:
        self.failed_at = self.parts.clock.now()
        self.parts.metrics.count(
            FAULTS_METRIC, table=self.table, code=fault.code
        )
        if not self._away:
            self._away = True
            reason = fault.reason or fault.code
            _log_transition(self, self._version, 'store_feed_lost', reason)


def _log_rows(feed: Feed, page: StoredRows, requested_at: float) -> None:
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
        took_ms=round((feed.parts.clock.now() - requested_at) * _MS),
    )


def _log_transition(
    feed: Feed,
    version: int | None,
    event: str,
    reason: str | None = None,
) -> None:
    log_event(
        _logger,
        logging.WARNING if reason else logging.INFO,
        event,
        reason=reason,
        table=feed.table,
        version=version,
    )
