"""Configuration, targets and evacuations of a router as table rows."""

import logging
from collections.abc import Callable, Iterable

import attrs

from balsamreach.catalogue import serialization
from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.catalogue.unreadable_targets import UnreadableTargets
from balsamreach.catalogue.view import CatalogueView
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.relay_targets import RelayTargets, TargetEntry
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.tables import TableRow

LEARNT = 'balsamreach_catalogue_learnt_total'

_logger = logging.getLogger(__name__)

#: Parses a configuration document; returns None if it is invalid.
Decode = Callable[[str], Catalogue | None]


@attrs.define(eq=False)
class RouterState:
    """Configuration, targets and evacuations known to this router.

    Parameters
    ----------
    view : CatalogueView
        The configuration in force.
    places : RelayTargets
        The targets.
    evacuations : Evacuations
        The zones that get no new work.
    decode : callable
        Parses a configuration document.
    metrics : Metrics
        Counts what was learnt from peers.
    """

    view: CatalogueView
    places: RelayTargets
    evacuations: Evacuations
    decode: Decode
    metrics: Metrics
    _packed_row: TableRow | None = None
    _unreadable: UnreadableTargets = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count what can't be read."""
        self._unreadable = UnreadableTargets(self.metrics, 'peers')

    def needs_update(self, beat: Heartbeat) -> bool:
        """Return whether the sender of a heartbeat has something newer."""
        if beat.table_version > self.view.version:
            return True
        return beat.orders not in {0, self.evacuations.digest()}

    def rows(self, since: int) -> tuple[TableRow, ...]:
        """Return all rows; the configuration only if newer than a version."""
        rows = [serialization.target_row(place.entry) for place in self.places]
        rows.extend(map(serialization.evacuation_row, self.evacuations))
        catalogue = self.view.current
        if catalogue is not None and catalogue.version > since:
            rows.append(self._pack_configuration(catalogue))
        return tuple(rows)

    def apply_rows(
        self,
        source: str,
        rows: Iterable[TableRow],
    ) -> tuple[TableRow, ...]:
        """Apply the rows of another router.

        Parameters
        ----------
        source : str
            The router's incarnation, for the log.
        rows : iterable of TableRow
            The rows.

        Returns
        -------
        tuple of TableRow
            Evacuations and leaving targets that were new, to be passed on.
        """
        new_rows = []
        for row in rows:
            if row.key == serialization.CONFIGURATION_KEY:
                self._apply_configuration(source, row)
            elif row.key.startswith(serialization.TARGET_PREFIX):
                new_rows.extend(self._apply_target(source, row))
            elif row.key.startswith(serialization.EVACUATION_PREFIX):
                new_rows.extend(self._apply_evacuation(source, row))
        return tuple(new_rows)

    def leaving_rows(self) -> tuple[TableRow, ...]:
        """Return the rows of all leaving targets."""
        entries = (place.entry for place in self.places)
        return tuple(
            map(serialization.target_row, filter(_is_leaving, entries))
        )

    def _pack_configuration(self, catalogue: Catalogue) -> TableRow:
        # The packed row is cached: reconnected peers all ask at once, and
        # packing a large configuration blocks requests for milliseconds.
        if (
            self._packed_row is None
            or self._packed_row.version != catalogue.version
        ):
            self._packed_row = serialization.configuration_row(catalogue)
        return self._packed_row

    def _apply_configuration(self, source: str, row: TableRow) -> None:
        if row.version <= self.view.version:
            return
        catalogue = self.decode(serialization.read_document(row))
        if catalogue is not None and self.view.update_if_newer(
            catalogue, source
        ):
            self.metrics.count(LEARNT, what='configuration')

    def _apply_evacuation(self, source: str, row: TableRow) -> list[TableRow]:
        evacuation = serialization.read_evacuation(row)
        if not self.evacuations.put(evacuation, source):
            return []
        self.metrics.count(LEARNT, what='evacuation')
        return [row]

    def _apply_target(self, source: str, row: TableRow) -> list[TableRow]:
        target_id = row.key.removeprefix(serialization.TARGET_PREFIX)
        if not row.body:
            self.places.remove(target_id, row.version)
            return []
        entry = serialization.read_target_row(row)
        if entry is None:
            self._unreadable.record(target_id, row.version, source)
            return []
        if not self.places.put(entry):
            return []
        self.metrics.count(LEARNT, what='target')
        log_event(
            _logger,
            logging.INFO,
            'target_learnt',
            source=source,
            target=entry.incarnation,
            service=entry.service,
            leaving=entry.leaving,
            release=entry.release,
            row_version=entry.version,
        )
        return [row] if entry.leaving else []


def _is_leaving(entry: TargetEntry) -> bool:
    return entry.leaving
