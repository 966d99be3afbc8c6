"""What routers tell each other of what the store says.

The platform's store turns single routers away at times, and cuts leave some
without it. Whatever one router learnt there, the others learn from it.
"""

import asyncio

import attrs

from balsamreach.catalogue import serialization
from balsamreach.catalogue.known import Known
from balsamreach.clock import Clock
from balsamreach.peers.base import FETCH_GAPS, PeerNet
from balsamreach.placement.evacuations import Evacuation
from balsamreach.placement.places import TargetEntry
from balsamreach.wire.membership import Heartbeat, Member
from balsamreach.wire.tables import TableAsk, TableRow, TableRows

#: Seconds that a router waits for the store to bring what a peer has. Most
#: routers see each change there within milliseconds of each other; asked at
#: once, each peer would send the whole configuration for nothing.
_STORE_FIRST_S = 0.3


@attrs.define(eq=False)
class CatalogueExchange:
    """Gives and takes configuration, targets and evacuations.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    known : Known
        What is known here.
    clock : Clock
        Time.
    """

    net: PeerNet
    known: Known
    clock: Clock
    _asking: asyncio.Task | None = None
    _neighbours: frozenset[str] = frozenset()

    def start(self) -> None:
        """Take the messages of peers from now on."""
        self.net.on(Heartbeat, self._compare)
        self.net.on(TableAsk, self._answer)
        self.net.on(TableRows, self._take)

    def tell_target(self, entry: TargetEntry) -> None:
        """Tell all peers of a target that is new or leaves."""
        self._tell(serialization.target_row(entry))

    def tell_gone(self, target_id: str, version: int) -> None:
        """Tell all peers of a target that a change of the list took away."""
        self._tell(serialization.gone_row(target_id, version))

    def tell_evacuation(self, order: Evacuation) -> None:
        """Tell all peers of an evacuation, or of the end of one."""
        self._tell(serialization.order_row(order))

    def catch_up(self) -> None:
        """Tell new neighbours of the targets that leave.

        A target may say so to one router only, while the store is away and
        others are cut off from that router.
        """
        members = self.net.neighbours()
        now = frozenset(member.incarnation for member in members)
        new = now - self._neighbours
        self._neighbours = now
        if not new:
            return
        rows = self.known.leaving_rows()
        if not rows:
            return
        for incarnation in new:
            self.net.tell(incarnation, TableRows(0, 0, rows))

    def _tell(self, row: TableRow, besides: str = '') -> None:
        self.net.spread(TableRows(0, 0, (row,)), besides)

    async def _compare(self, member: Member, beat: Heartbeat) -> None:
        self.known.view.hear(beat.table_version)
        # One ask at a time: all neighbours have the new version at the same
        # moment, and as many whole configurations would fill a small host's
        # link for seconds, in which heartbeats are late and links are lost.
        if self._asking is None and self.known.lacks(beat):
            work = self._catch_up(member.incarnation, beat)
            self._asking = asyncio.ensure_future(work)

    async def _catch_up(self, incarnation: str, beat: Heartbeat) -> None:
        try:
            await self._ask_if_behind(incarnation, beat)
        finally:
            self._asking = None

    async def _ask_if_behind(self, incarnation: str, beat: Heartbeat) -> None:
        if self.known.view.version:
            await self.clock.sleep(_STORE_FIRST_S)
        if not self.known.lacks(beat):
            return
        ask = TableAsk(self.known.view.version)
        answer = await self.net.ask(incarnation, ask, FETCH_GAPS)
        if isinstance(answer, TableRows):
            self._bring_in(incarnation, answer)

    async def _answer(self, _member: Member, ask: TableAsk) -> TableRows:
        version = self.known.view.version
        return TableRows(0, version, self.known.rows(ask.since))

    async def _take(self, member: Member, message: TableRows) -> None:
        self._bring_in(member.incarnation, message)

    def _bring_in(self, source: str, message: TableRows) -> None:
        for row in self.known.take(source, message.rows):
            self._tell(row, besides=source)
