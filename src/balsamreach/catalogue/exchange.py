"""What routers tell each other of the configuration and the targets.

The platform's store turns single routers away at times, and cuts leave some
without it. Whatever one router learnt there, the others learn from it.
"""

import asyncio
import json
import logging
from collections.abc import Callable

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.places import Places, TargetEntry
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.messages import (
    Heartbeat,
    Member,
    TableAsk,
    TableRow,
    TableRows,
)

LEARNT = 'balsamreach_catalogue_learnt_total'

_logger = logging.getLogger(__name__)
_CONFIGURATION = 'configuration'
_TARGET = 'target/'
#: Seconds that a router waits for the store to bring what a peer has. Most
#: routers see each change there within milliseconds of each other; asked at
#: once, each peer would send the whole configuration for nothing.
_STORE_FIRST_S = 0.3

#: Reads a configuration's document; None if it is none.
Decode = Callable[[str], Catalogue | None]


@attrs.define(eq=False)
class CatalogueExchange:
    """Gives and takes the configuration and the list of targets.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    view : CatalogueView
        The configuration in force here.
    places : Places
        The targets known here.
    decode : callable
        Reads a configuration's document.
    clock : Clock
        Time.
    metrics : Metrics
        Counts what came from peers.
    """

    net: PeerNet
    view: CatalogueView
    places: Places
    decode: Decode
    clock: Clock
    metrics: Metrics
    _asking: set[str] = attrs.field(factory=set)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def start(self) -> None:
        """Take the messages of peers from now on."""
        self.net.on(Heartbeat, self._compare)
        self.net.on(TableAsk, self._answer)
        self.net.on(TableRows, self._take)

    def tell_target(self, entry: TargetEntry) -> None:
        """Tell all peers of a target that is new or leaves."""
        self.net.spread(TableRows(0, 0, (_target_row(entry),)))

    def tell_gone(self, target_id: str, version: int) -> None:
        """Tell all peers of a target that a change of the list took away."""
        row = TableRow(f'{_TARGET}{target_id}', version)
        self.net.spread(TableRows(0, 0, (row,)))

    async def _compare(self, member: Member, beat: Heartbeat) -> None:
        name = member.incarnation
        if beat.table_version <= self.view.version or name in self._asking:
            return
        self._asking.add(name)
        task = asyncio.ensure_future(self._catch_up(name, beat.table_version))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _catch_up(self, incarnation: str, version: int) -> None:
        try:
            await self._ask_if_behind(incarnation, version)
        finally:
            self._asking.discard(incarnation)

    async def _ask_if_behind(self, incarnation: str, version: int) -> None:
        if self.view.version:
            await self.clock.sleep(_STORE_FIRST_S)
        if version <= self.view.version:
            return
        ask = TableAsk(self.view.version)
        answer = await self.net.ask(incarnation, ask)
        if isinstance(answer, TableRows):
            self._bring_in(incarnation, answer)

    async def _answer(self, _member: Member, _ask: TableAsk) -> TableRows:
        rows = [_target_row(place.entry) for place in self.places]
        catalogue = self.view.current
        if catalogue is not None:
            rows.append(
                TableRow(
                    _CONFIGURATION,
                    catalogue.version,
                    catalogue.document,
                ),
            )
        return TableRows(0, self.view.version, tuple(rows))

    async def _take(self, member: Member, message: TableRows) -> None:
        self._bring_in(member.incarnation, message)

    def _bring_in(self, source: str, message: TableRows) -> None:
        for row in message.rows:
            if row.key == _CONFIGURATION:
                self._bring_configuration(source, row)
            elif row.key.startswith(_TARGET):
                self._bring_target(source, row)

    def _bring_configuration(self, source: str, row: TableRow) -> None:
        if row.version <= self.view.version:
            return
        catalogue = self.decode(row.body)
        if catalogue is not None and self.view.offer(catalogue, source):
            self.metrics.count(LEARNT, what=_CONFIGURATION)

    def _bring_target(self, source: str, row: TableRow) -> None:
        if not row.body:
            self.places.remove(row.key.removeprefix(_TARGET), row.version)
            return
        entry = _decode_entry(row.body)
        if entry is None or not self.places.put(entry):
            return
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


def _target_row(entry: TargetEntry) -> TableRow:
    body = json.dumps(attrs.asdict(entry))
    return TableRow(f'{_TARGET}{entry.target_id}', entry.version, body)


def _decode_entry(document: str) -> TargetEntry | None:
    # A router of another version may tell of fields that this one lacks.
    try:
        return TargetEntry(**json.loads(document))
    except (TypeError, ValueError):
        return None
