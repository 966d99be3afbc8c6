"""Feeds that apply configuration and target changes from the store."""

import logging
from collections.abc import Callable

import attrs

from balsamreach.catalogue.unreadable_targets import UnreadableTargets
from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock
from balsamreach.placement.evacuations import Evacuation, Evacuations
from balsamreach.placement.relay_targets import RelayTargets, TargetEntry
from balsamreach.platform.configuration import (
    MALFORMED,
    CatalogueReader,
    read_version,
)
from balsamreach.platform.feed import Feed, FeedParts
from balsamreach.platform.pages import newest_rows
from balsamreach.platform.row_store import StoredRow, StoredRows
from balsamreach.platform.targets import read_target
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
#: Seconds after the last failed call during which targets whose entries are
#: missing are kept; targets write their entries again once the store is back.
_RESTORE_GRACE_S = 2.2

_CONFIG_TABLE = 'op'
_CONFIG_KEY = 'config'
_EVACUATION_PREFIX = 'evacuate/'
_SOURCE = 'store'
#: The platform calls targets servers.
_TARGETS_TABLE = 'servers'


def _discard(_evacuation: Evacuation) -> None:
    """Do nothing."""


@attrs.define
class ConfigurationFeed:
    """Applies the configuration and evacuations that operators write.

    Parameters
    ----------
    view : CatalogueView
        Configuration in force at this router.
    evacuations : Evacuations
        Zones whose targets get no new requests.
    announce : callable
        Sends the start or end of an evacuation to other routers.
    reader : CatalogueReader
        Parses configurations.
    """

    view: CatalogueView
    evacuations: Evacuations
    announce: Callable[[Evacuation], None] = _discard
    reader: CatalogueReader = attrs.field(factory=CatalogueReader)
    feed: Feed = attrs.field(init=False)

    def create_feed(self, parts: FeedParts) -> Feed:
        """Create the feed; the caller has to run it."""
        self.feed = Feed(_CONFIG_TABLE, parts, self._apply)
        return self.feed

    def _apply(self, page: StoredRows) -> None:
        rows = newest_rows(page.rows)
        for row in rows:
            if row.key == _CONFIG_KEY and row.fields is not None:
                self._apply_configuration(row)
        evacuations = list(filter(None, map(_read_evacuation, rows)))
        changed = [
            evacuation
            for evacuation in evacuations
            if self._apply_evacuation(evacuation)
        ]
        if page.whole:
            listed = {
                evacuation.zone
                for evacuation in evacuations
                if evacuation.in_force
            }
            lifted = self.evacuations.end_missing(listed, page.version, _SOURCE)
            changed.extend(lifted)
        for evacuation in changed:
            self.announce(evacuation)

    def _apply_evacuation(self, evacuation: Evacuation) -> bool:
        return self.evacuations.put(evacuation, _SOURCE)

    def _apply_configuration(self, row: StoredRow) -> None:
        try:
            catalogue = self.reader.read(row.fields)
        except MALFORMED as exc:
            # Keep the configuration in force; the log entry alerts an operator.
            log_event(
                _logger,
                logging.ERROR,
                'configuration_unreadable',
                reason=f'{type(exc).__name__}: {exc}',
                row_version=row.version,
            )
            self._note_unread_version(row)
            return
        self.view.update_if_newer(catalogue, _SOURCE)

    def _note_unread_version(self, row: StoredRow) -> None:
        # The configuration in force is now known to be outdated.
        try:
            version = read_version(row.fields.get('version'))
        except MALFORMED:
            return
        self.view.record_version(version)


@attrs.define
class TargetsFeed:
    """Keeps the list of targets up to date with the store.

    Parameters
    ----------
    places : RelayTargets
        The list of targets.
    clock : Clock
        Source of the current time.
    announce : callable
        Sends a new or changed entry to other routers.
    announce_removal : callable
        Sends the id of a removed target and the version of its removal to
        other routers.
    """

    places: RelayTargets
    clock: Clock
    announce: Callable[[TargetEntry], None]
    announce_removal: Callable[[str, int], None]
    feed: Feed = attrs.field(init=False)
    _unreadable: UnreadableTargets = attrs.field(init=False)

    def create_feed(self, parts: FeedParts) -> Feed:
        """Create the feed; the caller has to run it."""
        self._unreadable = UnreadableTargets(parts.metrics, _SOURCE)
        self.feed = Feed(_TARGETS_TABLE, parts, self._apply)
        return self.feed

    def remove_expired(self) -> tuple[str, ...]:
        """Drop targets that stayed missing, and return their ids."""
        return self.places.remove_expired(self.clock.now())

    def _apply(self, page: StoredRows) -> None:
        # A page may hold several versions of a row; the last one is current.
        newest = {row.key: row for row in page.rows}
        entries = list(filter(None, map(self._read_entry, newest.values())))
        for entry in entries:
            self._update_target(entry)
        present = {found.target_id for found in entries}
        if page.whole:
            missing = self.places.missing_from(present, page.version)
        else:
            missing = set(newest).difference(present)
        self.places.mark_missing(missing, self._removal_time())
        for target_id in self.remove_expired():
            self.announce_removal(target_id, page.version)

    def _read_entry(self, row: StoredRow) -> TargetEntry | None:
        entry = read_target(row.key, row.fields, row.version)
        # Anyone can write this table. If an invalid entry raised an error, it
        # would end the feed, and the list would no longer change.
        if entry is None and not row.removed:
            self._unreadable.record(row.key, row.version)
        else:
            self._unreadable.forget(row.key)
        return entry

    def _update_target(self, entry: TargetEntry) -> None:
        known = self.places.find(entry.target_id)
        if known is None or _needs_announcement(known.entry, entry):
            self.announce(entry)
            log_event(
                _logger,
                logging.INFO,
                'target_listed',
                target=entry.incarnation,
                service=entry.service,
                address=entry.address,
                target_zone=entry.zone,
                leaving=entry.leaving,
                release=entry.release,
                row_version=entry.version,
            )
        self.places.put(entry)

    def _removal_time(self) -> float:
        # Targets can't renew their entries during an outage of the store, so
        # that healthy ones are missing for a moment after it. Dropping them at
        # once would leave a service without targets.
        # The grace time runs from the last failed call and not from this page,
        # so that a target removed later is not kept for longer.
        return max(self.clock.now(), self.feed.failed_at + _RESTORE_GRACE_S)


def _read_evacuation(row: StoredRow) -> Evacuation | None:
    # The existence of the row is the order; its contents are ignored.
    zone = row.key.removeprefix(_EVACUATION_PREFIX)
    if zone == row.key or not zone:
        return None
    return Evacuation(
        zone=zone,
        version=row.version,
        in_force=not row.removed,
    )


def _needs_announcement(known: TargetEntry, entry: TargetEntry) -> bool:
    leaves = entry.leaving and not known.leaving
    return leaves or known.born != entry.born
