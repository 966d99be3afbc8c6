"""Brings what the store says of configuration and targets into force."""

import logging
from collections.abc import Callable

import attrs

from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock
from balsamreach.placement.evacuations import Evacuation, Evacuations
from balsamreach.placement.places import Places, TargetEntry
from balsamreach.platform.configuration import CatalogueReader
from balsamreach.platform.feed import Feed, FeedParts
from balsamreach.platform.pages import newest_rows
from balsamreach.platform.rows import StoredRow, StoredRows
from balsamreach.platform.targets import read_target
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
#: Seconds after the last failed call in which entries that vanished while the
#: store was away may come back; targets write there again once it answers.
#: Source: the users' pages.
_BACK_WITHIN_S = 2.2

_CONFIG_TABLE = 'op'
_CONFIG_KEY = 'config'
_EVACUATE = 'evacuate/'
_STORE = 'store'
#: The platform calls targets servers.
_TARGETS_TABLE = 'servers'


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

    def _take(self, page: StoredRows) -> None:
        rows = newest_rows(page.rows)
        for row in rows:
            if row.key == _CONFIG_KEY and row.fields is not None:
                self._offer(row)
        orders = list(filter(None, map(_read_order, rows)))
        news = [order for order in orders if self._put(order)]
        if page.whole:
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
            self._hear_of(row)
            return
        self.view.offer(catalogue, _STORE)

    def _hear_of(self, row: StoredRow) -> None:
        # What is in force is not the newest one any more.
        version = row.fields.get('version')
        if isinstance(version, int):
            self.view.hear(version)


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

    def _take(self, page: StoredRows) -> None:
        # A row may come twice; the later one holds.
        newest = {row.key: row for row in page.rows}
        listed = list(filter(None, map(self._read, newest.values())))
        for entry in listed:
            self._put(entry)
        present = {found.target_id for found in listed}
        if page.whole:
            missing = self.places.besides(present, page.version)
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
    leaves = entry.leaving and not known.leaving
    return leaves or known.born != entry.born
