"""Exchange of table rows between routers."""

import asyncio
import json
from collections.abc import Iterable, Iterator

import attrs

from balsamreach.json_input import JsonFault, read_json
from balsamreach.peers.base import LARGE_ANSWER_GAPS, PeerNet
from balsamreach.services.base import Row
from balsamreach.table.view import TableView, apply_copy
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Heartbeat, Member
from balsamreach.wire.tables import TableAsk, TableRow, TableRows

#: Larger changes are not sent to all neighbours. Each neighbour fetches the
#: rows once, when a heartbeat shows that it is behind.
MAX_BROADCAST_ROWS = 16
#: Size after which a page is full. A page is built and applied without a
#: pause of the event loop; 256 KiB blocked open streams for 45 to 95 ms.
_PAGE_BYTES = 64 * 1024
_ROW_OVERHEAD_BYTES = 64
#: No version is this high, so an answer contains the peer's version only.
_VERSION_ONLY = 2**62


@attrs.define(eq=False)
class TableExchange:
    """Sends table rows to other routers and applies rows from them.

    Parameters
    ----------
    net : PeerNet
        Connections to the other routers.
    view : TableView
        The table of this router.
    metrics : Metrics
        Counts rows, copies and gaps.
    tasks : set of asyncio.Task
        Running fetches.
    """

    net: PeerNet
    view: TableView
    metrics: Metrics
    tasks: set[asyncio.Task] = attrs.field(factory=set, init=False)
    _fetching_from: set[str] = attrs.field(factory=set)

    def start(self) -> None:
        """Register the handlers of table messages."""
        self.net.on(TableAsk, self._handle_ask)
        self.net.on(TableRows, self._handle_rows)
        self.net.on(Heartbeat, self._handle_heartbeat)

    def broadcast(
        self,
        changed: tuple[Row, ...],
        since: int,
        version: int,
    ) -> None:
        """Send rows that this router applied to all neighbours.

        Parameters
        ----------
        changed : tuple of Row
            The rows; nothing is sent for more than ``MAX_BROADCAST_ROWS``.
        since, version : int
            Table versions before and after; 0 for rows ahead of the log.
        """
        if not 0 < len(changed) <= MAX_BROADCAST_ROWS:
            return
        self.net.tell_neighbours(TableRows(since, version, _pack_rows(changed)))

    async def catch_up(self, incarnation: str) -> bool:
        """Fetch the rows that another router has and this one lacks.

        Returns
        -------
        bool
            Whether all rows were fetched.
        """
        # Several heartbeats of a neighbour may arrive before its answer does;
        # one fetch at a time is enough.
        if incarnation in self._fetching_from:
            return False
        self._fetching_from.add(incarnation)
        try:
            return await self._fetch(incarnation, self.view)
        finally:
            self._fetching_from.discard(incarnation)

    async def catch_up_with_newest(self) -> bool:
        """Fetch from the neighbour with the newest table.

        Returns
        -------
        bool
            Whether the rows of a complete table were fetched, so that this
            view is no older than that of any neighbour that answered.
        """
        neighbours = self.net.neighbours()
        versions = await asyncio.gather(
            *(self.version_of(member.incarnation) for member in neighbours),
        )
        ranked = sorted(
            zip(versions, neighbours, strict=True),
            key=lambda pair: pair[0] or 0,
            reverse=True,
        )
        for version, member in ranked:
            if version and await self.catch_up(member.incarnation):
                return True
        return False

    async def version_of(self, incarnation: str) -> int | None:
        """Return the table version of a router, None if it doesn't answer.

        0 means that its table is not complete yet.
        """
        if incarnation == self.net.me.incarnation:
            return self.view.version if self.view.complete else 0
        answer = await self.net.ask(incarnation, TableAsk(_VERSION_ONLY))
        return answer.version if isinstance(answer, TableRows) else None

    async def _fetch(self, incarnation: str, view: TableView) -> bool:
        while True:
            since = view.version
            if _needs_copy(view):
                return await self._fetch_copy(incarnation, view)
            ask = TableAsk(since)
            answer = await self.net.ask(incarnation, ask, LARGE_ANSWER_GAPS)
            if not isinstance(answer, TableRows) or not answer.version:
                return False
            if answer.since > since:
                return await self._fetch_copy(incarnation, view)
            self._apply_rows(answer, view)
            if not answer.more:
                return True

    async def _fetch_copy(self, incarnation: str, view: TableView) -> bool:
        # The peer has dropped deletions that are newer than our version. In a
        # whole copy, deleted rows are missing. A copy into an empty view that
        # meets such a gap again fails, because it would be retried for as long
        # as rows are deleted quickly.
        if view is not self.view:
            return False
        copy = TableView()
        if not await self._fetch(incarnation, copy):
            return False
        self.metrics.count('balsamreach_table_copies_total')
        apply_copy(view, copy)
        return True

    def _apply_rows(
        self,
        message: TableRows,
        view: TableView,
    ) -> tuple[Row, ...]:
        # Rows can be applied in any order, but the version may advance only
        # if no earlier row can be missing. Otherwise the edit in a lost
        # message would never be fetched.
        rows = tuple(_unpack_rows(message.rows))
        gap = _has_gap(message, view) or len(rows) < len(message.rows)
        applied = view.apply(rows, 0 if gap else message.version)
        if view is self.view:
            self.metrics.count(
                'balsamreach_table_rows_from_peers_total',
                len(applied),
            )
        return applied

    async def _handle_ask(self, member: Member, message: Message) -> Message:
        since = message.since
        view = self.view
        # An incomplete table can't be a source, and a table that has dropped
        # deletions newer than ``since`` can't report them.
        if not view.complete:
            return TableRows(since, 0)
        if 0 < since < view.versions.floor:
            return TableRows(view.versions.floor, view.version)
        return _make_page(view, since)

    async def _handle_rows(
        self,
        member: Member,
        message: Message,
    ) -> Message | None:
        gap = _has_gap(message, self.view)
        applied = self._apply_rows(message, self.view)
        # Known rows are forwarded too. Without them the next router would
        # advance its version past a row that it never received.
        if applied:
            self.net.tell_neighbours(message, exclude=member.incarnation)
        if gap:
            self.metrics.count('balsamreach_table_gaps_total')
            self._start_catch_up(member)
        return None

    async def _handle_heartbeat(self, member: Member, message: Message) -> None:
        if message.table_version > self.view.version:
            self._start_catch_up(member)

    def _start_catch_up(self, member: Member) -> None:
        # The handler of a message must not wait for another message on the
        # same connection: that one is read only after the handler returns.
        task = asyncio.create_task(self.catch_up(member.incarnation))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _needs_copy(view: TableView) -> bool:
    # The view has rows ahead of the log but never read the log. They may be
    # deleted by now, which only a whole copy shows, by their absence.
    return view.version == 0 and view.versions.newest > 0


def _has_gap(message: TableRows, view: TableView) -> bool:
    if message.since > view.version:
        return True
    return message.version > 0 and _needs_copy(view)


def _make_page(view: TableView, since: int) -> TableRows:
    rows: list[TableRow] = []
    size = 0
    for row in view.rows_since(since):
        # The next page is requested by version, so the rows of one commit must
        # be on the same page: the rest would never be requested.
        full = size > _PAGE_BYTES and rows[-1].version != row.version
        # Rows ahead of the log come last. If they don't fit they are left out:
        # they follow with the log, as the version doesn't cover them.
        if full and rows[-1].version < view.version:
            return TableRows(since, rows[-1].version, tuple(rows), more=True)
        if not full:
            rows.append(_pack_row(row))
            size += len(rows[-1].body) + _ROW_OVERHEAD_BYTES
    return TableRows(since, view.version, tuple(rows))


def _pack_rows(changed: Iterable[Row]) -> tuple[TableRow, ...]:
    return tuple(map(_pack_row, changed))


def _pack_row(row: Row) -> TableRow:
    return TableRow(row.key, row.version, _encode_value(row))


def _encode_value(row: Row) -> str:
    if row.value is None:
        return ''
    return json.dumps(row.value, separators=(',', ':'), ensure_ascii=False)


def _unpack_rows(packed_rows: Iterable[TableRow]) -> Iterator[Row]:
    for row in packed_rows:
        fields = read_json(row.body) if row.body else None
        if not isinstance(fields, JsonFault):
            yield Row(row.key, row.version, fields)
