"""Follows the configuration and the list of targets in the store.

In a large fleet one router of each zone follows it for the others, and these
ask the store only where they hear nothing. Did each ask for itself, the calls
would grow with the fleet beyond what the store takes.
"""

import asyncio
import logging
from collections.abc import Callable

import attrs

from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock
from balsamreach.placement.evacuations import Evacuation, Evacuations
from balsamreach.placement.places import Places, TargetEntry
from balsamreach.platform.configuration import CatalogueReader
from balsamreach.platform.pages import PageSharing, newest_rows
from balsamreach.platform.rows import (
    HISTORY_GONE,
    RowStore,
    StoredRow,
    StoredRows,
)
from balsamreach.platform.targets import read_target
from balsamreach.services.faults import PlatformFault
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

FAULTS = 'balsamreach_store_feed_faults_total'

_logger = logging.getLogger(__name__)
#: Seconds between two tries at a store that refuses.
_PAUSE_S = 0.2
#: Seconds after which a router that has heard nothing asks the store itself.
#: Who follows it hears within 0.6 s, also where nothing changes.
_FRESH_S = 1.0
#: Seconds after the last failed call in which entries that vanished while the
#: store was away may come back; targets write there again once it answers.
#: Source: the users' pages.
_BACK_WITHIN_S = 2.2

_CONFIG_TABLE = 'op'
_CONFIG_KEY = 'config'
_EVACUATE = 'evacuate/'
_STORE = 'store'
_MS = 1000
#: The platform calls targets servers.
_TARGETS_TABLE = 'servers'


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
class Feed:
    """Follows one table: first all of it, then what changes.

    Parameters
    ----------
    table : str
        The table.
    parts : FeedParts
        What it runs on.
    take : callable
        Takes rows, and whether they are all there are.
    answered_at : float
        When the last call was sent that the store answered.
    failed_at : float
        When the last call failed.
    """

    table: str
    parts: FeedParts
    take: Callable[[StoredRows, bool], None]
    answered_at: float = float('-inf')
    failed_at: float = float('-inf')
    _since: int | None = None
    _away: bool = False
    _told_at: float = float('-inf')
    _missed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Take from now on what another router hears."""
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
                self.answered_at = asked_at
                self._log_rows(page, asked_at)
                self._pass_on(page)
                self._take(page)

    def is_away(self) -> bool:
        """Return whether the store does not answer this router."""
        return self._away

    def hear(self, since: int, page: StoredRows) -> None:
        """Take what the router that follows the store has heard.

        Parameters
        ----------
        since : int
            Version after which the rows changed.
        page : StoredRows
            The rows.
        """
        # A page that is missing between this one and the last may have told
        # of a change that nobody would tell of again.
        if self._since is None or since > self._since:
            self._missed.set()
            return
        self._told_at = self.parts.clock.now()
        self._take(page)

    async def _while_told(self) -> None:
        """Wait as long as another router tells all that there is."""
        self._missed.clear()
        while self._since is not None and not self._missed.is_set():
            left = self._told_at + _FRESH_S - self.parts.clock.now()
            if left <= 0 or self.parts.pages.follows():
                return
            missed = asyncio.ensure_future(self._missed.wait())
            await asyncio.wait({missed}, timeout=left)
            missed.cancel()

    async def _next(self) -> StoredRows | PlatformFault:
        store = self.parts.probe if self._away else self.parts.store
        if self._since is None:
            return await store.read(self.table, '')
        return await store.follow(self.table, self._since)

    def _pass_on(self, page: StoredRows) -> None:
        if self._since is not None:
            self.parts.pages.tell(self.table, self._since, page)

    def _take(self, page: StoredRows) -> None:
        if self._away:
            self._away = False
            self._log('store_feed_back')
        whole = self._since is None
        self.parts.pages.note(page.rows)
        # An answer of the store may come behind what another router told.
        if not whole and page.version < self._since:
            return
        self._since = page.version
        if whole or page.rows:
            self.take(page, whole)

    def _fail(self, fault: PlatformFault) -> None:
        self.failed_at = self.parts.clock.now()
        self.parts.metrics.count(FAULTS, table=self.table, code=fault.code)
        if not self._away:
            self._away = True
            self._log('store_feed_lost', fault.reason or fault.code)

    def _log_rows(self, page: StoredRows, asked_at: float) -> None:
        if not page.rows:
            return
        log_event(
            _logger,
            logging.INFO,
            'store_rows_read',
            table=self.table,
            since=self._since,
            version=page.version,
            rows=len(page.rows),
            distinct_rows=len(newest_rows(page.rows)),
            took_ms=round((self.parts.clock.now() - asked_at) * _MS),
        )

    def _log(self, event: str, reason: str | None = None) -> None:
        log_event(
            _logger,
            logging.WARNING if reason else logging.INFO,
            event,
            reason=reason,
            table=self.table,
            version=self._since,
        )


def _ignore(_order: Evacuation) -> None:
    """Tell nobody."""


@attrs.define
class ConfigurationFeed:
    """Brings what the operators write into force.

    Parameters
    ----------
    view : CatalogueView
        The configuration.
    evacuations : Evacuations
        Zones whose targets get no new work.
    tell : callable
        Tells other routers of an evacuation, or the end of one.
    reader : CatalogueReader
        Reads configurations.
    """

    view: CatalogueView
    evacuations: Evacuations
    tell: Callable[[Evacuation], None] = _ignore
    reader: CatalogueReader = attrs.field(factory=CatalogueReader)
    feed: Feed = attrs.field(init=False)

    def open(self, parts: FeedParts) -> Feed:
        """Return the feed, to be run."""
        self.feed = Feed(_CONFIG_TABLE, parts, self._take)
        return self.feed

    def _take(self, page: StoredRows, whole: bool) -> None:
        rows = newest_rows(page.rows)
        for row in rows:
            if row.key == _CONFIG_KEY and row.fields is not None:
                self._offer(row)
        orders = list(filter(None, map(_read_order, rows)))
        news = [order for order in orders if self._put(order)]
        if whole:
            listed = {order.zone for order in orders if order.in_force}
            over = self.evacuations.lift_besides(listed, page.version, _STORE)
            news.extend(over)
        for order in news:
            self.tell(order)

    def _put(self, order: Evacuation) -> bool:
        return self.evacuations.put(order, _STORE)

    def _offer(self, row: StoredRow) -> None:
        try:
            catalogue = self.reader.read(row.fields)
        except (KeyError, TypeError, ValueError) as exc:
            # The one in force is the best there is; an operator sees this.
            log_event(
                _logger,
                logging.ERROR,
                'configuration_unreadable',
                reason=f'{type(exc).__name__}: {exc}',
                row_version=row.version,
            )
            return
        self.view.offer(catalogue, _STORE)


@attrs.define
class TargetsFeed:
    """Keeps the list of targets up to date.

    Parameters
    ----------
    places : Places
        The list.
    clock : Clock
        Time.
    tell : callable
        Tells other routers of an entry that is news.
    tell_gone : callable
        Tells other routers of a target that is gone, and by which change.
    """

    places: Places
    clock: Clock
    tell: Callable[[TargetEntry], None]
    tell_gone: Callable[[str, int], None]
    feed: Feed = attrs.field(init=False)

    def open(self, parts: FeedParts) -> Feed:
        """Return the feed, to be run."""
        self.feed = Feed(_TARGETS_TABLE, parts, self._take)
        return self.feed

    def expire(self) -> tuple[str, ...]:
        """Forget targets that stayed missing, and return them."""
        return self.places.expire(self.clock.now())

    def _take(self, page: StoredRows, whole: bool) -> None:
        # A row may come twice; the later one holds.
        newest = {row.key: row for row in page.rows}
        listed = list(filter(None, map(self._read, newest.values())))
        for entry in listed:
            self._put(entry)
        present = {found.target_id for found in listed}
        if whole:
            missing = self.places.besides(present)
        else:
            missing = set(newest).difference(present)
        self.places.miss(missing, self._gone_at())
        for target_id in self.expire():
            self.tell_gone(target_id, page.version)

    def _read(self, row: StoredRow) -> TargetEntry | None:
        entry = read_target(row.key, row.fields, row.version)
        # Were a broken entry an error, one of another writer would end this
        # feed; it would show as a list that no longer changes.
        if entry is None and not row.removed:
            log_event(
                _logger,
                logging.WARNING,
                'target_unreadable',
                target=row.key,
                row_version=row.version,
            )
        return entry

    def _put(self, entry: TargetEntry) -> None:
        known = self.places.find(entry.target_id)
        if known is None or _is_news(known.entry, entry):
            self.tell(entry)
            log_event(
                _logger,
                logging.INFO,
                'target_listed',
                target=entry.incarnation,
                service=entry.service,
                address=entry.address,
                target_zone=entry.zone,
                leaving=entry.leaving,
                row_version=entry.version,
            )
        self.places.put(entry)

    def _gone_at(self) -> float:
        # While the store was away targets could not keep their entries, and
        # at its return the list lacks sound ones for a moment. Taken at its
        # word it would leave a service without any target.
        # The time runs from the store's return, not from this list: a target
        # that leaves a little later must not be kept beyond that.
        return max(self.clock.now(), self.feed.failed_at + _BACK_WITHIN_S)


def _read_order(row: StoredRow) -> Evacuation | None:
    # That the row is there is the order, whatever it holds.
    zone = row.key.removeprefix(_EVACUATE)
    if zone == row.key or not zone:
        return None
    return Evacuation(
        zone=zone,
        version=row.version,
        in_force=not row.removed,
    )


def _is_news(known: TargetEntry, entry: TargetEntry) -> bool:
    return known.leaving != entry.leaving or known.born != entry.born
