"""What this router knows of what the store says, given and taken as rows."""

import logging
from collections.abc import Callable, Iterable

import attrs

from balsamreach.catalogue import serialization
from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.catalogue.view import CatalogueView
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.places import Places, TargetEntry
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.tables import TableRow

LEARNT = 'balsamreach_catalogue_learnt_total'

_logger = logging.getLogger(__name__)

#: Reads a configuration's document; None if it is none.
Decode = Callable[[str], Catalogue | None]


@attrs.define(eq=False)
class Known:
    """Configuration, targets and evacuations.

    Parameters
    ----------
    view : CatalogueView
        The configuration in force here.
    places : Places
        The targets.
    evacuations : Evacuations
        The zones that get no new work.
    decode : callable
        Reads a configuration's document.
    metrics : Metrics
        Counts what came from peers.
    """

    view: CatalogueView
    places: Places
    evacuations: Evacuations
    decode: Decode
    metrics: Metrics
    _packed: TableRow | None = None

    def lacks(self, beat: Heartbeat) -> bool:
        """Return whether the sender of a heartbeat knows more than this."""
        if beat.table_version > self.view.version:
            return True
        return beat.orders not in {0, self.evacuations.digest()}

    def rows(self, since: int) -> tuple[TableRow, ...]:
        """Return all that is known; the configuration if it is newer."""
        rows = [serialization.target_row(place.entry) for place in self.places]
        rows.extend(map(serialization.order_row, self.evacuations))
        catalogue = self.view.current
        if catalogue is not None and catalogue.version > since:
            rows.append(self._pack(catalogue))
        return tuple(rows)

    def take(
        self,
        source: str,
        rows: Iterable[TableRow],
    ) -> tuple[TableRow, ...]:
        """Take in the rows of another router.

        Parameters
        ----------
        source : str
            Its incarnation, for the log.
        rows : iterable of TableRow
            What it sent.

        Returns
        -------
        tuple of TableRow
            Evacuations and leaving targets that were news, to be passed on.
        """
        news = []
        for row in rows:
            if row.key == serialization.CONFIGURATION:
                self._take_configuration(source, row)
            elif row.key.startswith(serialization.TARGET):
                news.extend(self._take_target(source, row))
            elif row.key.startswith(serialization.EVACUATION):
                news.extend(self._take_order(source, row))
        return tuple(news)

    def leaving_rows(self) -> tuple[TableRow, ...]:
        """Return the rows of all targets that leave."""
        entries = (place.entry for place in self.places)
        return tuple(
            map(serialization.target_row, filter(_is_leaving, entries))
        )

    def _pack(self, catalogue: Catalogue) -> TableRow:
        # Peers that were cut off ask all at once, and each packing of a large
        # configuration holds up requests for milliseconds.
        if self._packed is None or self._packed.version != catalogue.version:
            self._packed = serialization.configuration_row(catalogue)
        return self._packed

    def _take_configuration(self, source: str, row: TableRow) -> None:
        if row.version <= self.view.version:
            return
        catalogue = self.decode(serialization.read_document(row))
        if catalogue is not None and self.view.offer(catalogue, source):
            self.metrics.count(LEARNT, what='configuration')

    def _take_order(self, source: str, row: TableRow) -> list[TableRow]:
        order = serialization.read_order(row)
        if not self.evacuations.put(order, source):
            return []
        self.metrics.count(LEARNT, what='evacuation')
        return [row]

    def _take_target(self, source: str, row: TableRow) -> list[TableRow]:
        if not row.body:
            target_id = row.key.removeprefix(serialization.TARGET)
            self.places.remove(target_id, row.version)
            return []
        entry = serialization.read_target_row(row)
        if entry is None or not self.places.put(entry):
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
            row_version=entry.version,
        )
        return [row] if entry.leaving else []


def _is_leaving(entry: TargetEntry) -> bool:
    return entry.leaving
