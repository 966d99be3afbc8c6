"""What routers tell each other of the table, and how they catch up."""

import asyncio
import json
from collections.abc import Iterable, Iterator

import attrs

from balsamreach.peers.base import FETCH_GAPS, PeerNet
from balsamreach.services.base import Row
from balsamreach.table.view import TableView, adopt
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Heartbeat, Member
from balsamreach.wire.tables import TableAsk, TableRow, TableRows

#: More rows than this are not sent to all neighbours; each of them fetches
#: them once when a heartbeat shows that it is behind.
SPREAD_ROWS = 16
#: A page is full beyond this. It is made in one turn of the event loop and
#: taken in one; with 256 KiB open streams stood still for 45 to 95 ms.
_PAGE_BYTES = 64 * 1024
_ROW_OCTETS = 64
#: Asking since a version that never comes tells the peer's version alone.
_VERSION_ONLY = 2**62


@attrs.define(eq=False)
class TableExchange:
    """Gives rows to other routers and takes rows from them.

    Parameters
    ----------
    net : PeerNet
        Reaches the other routers.
    view : TableView
        The table in force here.
    metrics : Metrics
        Counts what is exchanged.
    tasks : set of asyncio.Task
        Fetches under way.
    """

    net: PeerNet
    view: TableView
    metrics: Metrics
    tasks: set[asyncio.Task] = attrs.field(factory=set, init=False)
    _asking: set[str] = attrs.field(factory=set)

    def start(self) -> None:
        """Take the messages of the table from now on."""
        self.net.on(TableAsk, self._answer)
        self.net.on(TableRows, self._take)
        self.net.on(Heartbeat, self._compare)

    def offer(self, changed: tuple[Row, ...], since: int, version: int) -> None:
        """Send rows that came into force here to all neighbours.

        Parameters
        ----------
        changed : tuple of Row
            The rows; many at once are left for neighbours to fetch.
        since, version : int
            Versions before and after; 0 for rows ahead of the log.
        """
        if not 0 < len(changed) <= SPREAD_ROWS:
            return
        self.net.spread(TableRows(since, version, _packed(changed)))

    async def catch_up(self, incarnation: str) -> bool:
        """Fetch from a router what it has and this one lacks.

        Returns
        -------
        bool
            Whether all of it came.
        """
        # Several heartbeats of one neighbour may come while its answer is
        # on the way; one question at a time is enough.
        if incarnation in self._asking:
            return False
        self._asking.add(incarnation)
        try:
            return await self._fetch(incarnation, self.view)
        finally:
            self._asking.discard(incarnation)

    async def catch_up_with_newest(self) -> bool:
        """Fetch from the neighbour whose table is the newest.

        Returns
        -------
        bool
            Whether some neighbour with a whole table was reached and this
            view is now no older than any neighbour that answered.
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
        """Return the version in force at a router, None if it is silent.

        0 means that it has no whole table yet.
        """
        if incarnation == self.net.me.incarnation:
            return self.view.version if self.view.complete else 0
        answer = await self.net.ask(incarnation, TableAsk(_VERSION_ONLY))
        return answer.version if isinstance(answer, TableRows) else None

    async def _fetch(self, incarnation: str, into: TableView) -> bool:
        while True:
            since = into.version
            if _needs_copy(into):
                return await self._copy(incarnation, into)
            ask = TableAsk(since)
            answer = await self.net.ask(incarnation, ask, FETCH_GAPS)
            if not isinstance(answer, TableRows) or not answer.version:
                return False
            if answer.since > since:
                return await self._copy(incarnation, into)
            self._bring_in(answer, into)
            if not answer.more:
                return True

    async def _copy(self, incarnation: str, into: TableView) -> bool:
        # The peer no longer remembers all deletions since our version. A
        # whole copy shows them as rows that are missing. A copy into an
        # empty view that still meets a gap is given up, or it would go on
        # for as long as rows are deleted quickly.
        if into is not self.view:
            return False
        copy = TableView()
        if not await self._fetch(incarnation, copy):
            return False
        self.metrics.count('balsamreach_table_copies_total')
        adopt(into, copy)
        return True

    def _bring_in(self, told: TableRows, into: TableView) -> tuple[Row, ...]:
        # Rows are in force whatever came before them, but the version moves
        # only if nothing between may be missing: a lost message would else
        # hide its edit for good.
        brought = tuple(_unpacked(told.rows))
        gap = _has_gap(told, into) or len(brought) < len(told.rows)
        fresh = into.apply(brought, 0 if gap else told.version)
        if into is self.view:
            self.metrics.count(
                'balsamreach_table_rows_from_peers_total',
                len(fresh),
            )
        return fresh

    async def _answer(self, member: Member, message: Message) -> Message:
        since = message.since
        view = self.view
        # A table that is not whole yet is older than nothing, and one that
        # forgot deletions since that version can't tell of them.
        if not view.complete:
            return TableRows(since, 0)
        if 0 < since < view.versions.floor:
            return TableRows(view.versions.floor, view.version)
        return _page(view, since)

    async def _take(self, member: Member, message: Message) -> Message | None:
        gap = _has_gap(message, self.view)
        fresh = self._bring_in(message, self.view)
        # All rows go on, also those known here already: without them a
        # router farther on would move its version past what it never got.
        if fresh:
            self.net.spread(message, besides=member.incarnation)
        if gap:
            self.metrics.count('balsamreach_table_gaps_total')
            self._catch_up_soon(member)
        return None

    async def _compare(self, member: Member, message: Message) -> None:
        if message.table_version > self.view.version:
            self._catch_up_soon(member)

    def _catch_up_soon(self, member: Member) -> None:
        # The taker of a message must not wait for another message of the
        # same connection, which it would keep from being read.
        task = asyncio.create_task(self.catch_up(member.incarnation))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _needs_copy(view: TableView) -> bool:
    # Rows ahead of the log in a view that never read it may be deleted by
    # now; only a whole table shows that, as rows that are missing.
    return view.version == 0 and view.versions.newest > 0


def _has_gap(told: TableRows, into: TableView) -> bool:
    if told.since > into.version:
        return True
    return told.version > 0 and _needs_copy(into)


def _page(view: TableView, since: int) -> TableRows:
    rows: list[TableRow] = []
    octets = 0
    for row in view.rows_since(since):
        # The next page is asked for by version, so the rows of one commit
        # must stay together: the rest would never be asked for.
        full = octets > _PAGE_BYTES and rows[-1].version != row.version
        # Rows ahead of the log come last. Those that find no room come with
        # the log as well; the version stays behind them.
        if full and rows[-1].version < view.version:
            return TableRows(since, rows[-1].version, tuple(rows), more=True)
        if not full:
            rows.append(_packed_row(row))
            octets += len(rows[-1].body) + _ROW_OCTETS
    return TableRows(since, view.version, tuple(rows))


def _packed(changed: Iterable[Row]) -> tuple[TableRow, ...]:
    return tuple(map(_packed_row, changed))


def _packed_row(row: Row) -> TableRow:
    return TableRow(row.key, row.version, _body(row))


def _body(row: Row) -> str:
    if row.value is None:
        return ''
    return json.dumps(row.value, separators=(',', ':'), ensure_ascii=False)


def _unpacked(told: Iterable[TableRow]) -> Iterator[Row]:
    for row in told:
        try:
            fields = json.loads(row.body) if row.body else None
        except ValueError:
            continue
        yield Row(row.key, row.version, fields)
