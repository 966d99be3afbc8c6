"""Exchange of configuration, targets and evacuations between routers.

The platform's store sometimes refuses single routers, and others are
disconnected from it. They learn from their peers what those read from it.
"""

import asyncio

import attrs

from balsamreach.catalogue import serialization
from balsamreach.catalogue.router_state import RouterState
from balsamreach.clock import Clock
from balsamreach.peers.base import FETCH_GAPS, PeerNet
from balsamreach.placement.evacuations import Evacuation
from balsamreach.placement.relay_targets import TargetEntry
from balsamreach.wire.membership import Heartbeat, Member
from balsamreach.wire.tables import TableAsk, TableRow, TableRows

#: Seconds to wait for the store to deliver a version that a peer has. Most
#: routers get each change from the store within milliseconds of each other; if
#: asked at once, each peer would send the complete configuration needlessly.
_STORE_HEAD_START_S = 0.3


@attrs.define(eq=False)
class CatalogueExchange:
    """Sends and receives configuration, targets and evacuations.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    known : RouterState
        What this router knows.
    clock : Clock
        Clock of the wait for the store.
    """

    net: PeerNet
    known: RouterState
    clock: Clock
    _catch_up_task: asyncio.Task | None = None
    _neighbours: frozenset[str] = frozenset()

    def start(self) -> None:
        """Register the message handlers."""
        self.net.on(Heartbeat, self._on_heartbeat)
        self.net.on(TableAsk, self._on_table_ask)
        self.net.on(TableRows, self._on_table_rows)

    def send_target(self, entry: TargetEntry) -> None:
        """Send a target that is new or is leaving to all peers."""
        self._spread(serialization.target_row(entry))

    def send_removed_target(self, target_id: str, version: int) -> None:
        """Send the removal of a target from the list to all peers."""
        self._spread(serialization.removed_target_row(target_id, version))

    def send_evacuation(self, evacuation: Evacuation) -> None:
        """Send an evacuation, or the end of one, to all peers."""
        self._spread(serialization.evacuation_row(evacuation))

    def send_leaving_targets(self) -> None:
        """Send the leaving targets to new neighbours.

        A target may report that it is leaving to one router only, while the
        store is unavailable and other routers are disconnected from that
        router.
        """
        members = self.net.neighbours()
        current = frozenset(member.incarnation for member in members)
        new = current - self._neighbours
        self._neighbours = current
        if not new:
            return
        rows = self.known.leaving_rows()
        if not rows:
            return
        for incarnation in new:
            self.net.tell(incarnation, TableRows(0, 0, rows))

    def _spread(self, row: TableRow, exclude: str = '') -> None:
        self.net.spread(TableRows(0, 0, (row,)), exclude)

    async def _on_heartbeat(self, member: Member, beat: Heartbeat) -> None:
        self.known.view.record_version(beat.table_version)
        # One query at a time: all neighbours get a new version at the same
        # moment, and as many complete configurations would saturate a small
        # host's link for seconds, so that heartbeats are late and links are
        # lost.
        if self._catch_up_task is None and self.known.needs_update(beat):
            work = self._run_catch_up(member.incarnation, beat)
            self._catch_up_task = asyncio.ensure_future(work)

    async def _run_catch_up(self, incarnation: str, beat: Heartbeat) -> None:
        try:
            await self._fetch_if_behind(incarnation, beat)
        finally:
            self._catch_up_task = None

    async def _fetch_if_behind(self, incarnation: str, beat: Heartbeat) -> None:
        if self.known.view.version:
            await self.clock.sleep(_STORE_HEAD_START_S)
        if not self.known.needs_update(beat):
            return
        ask = TableAsk(self.known.view.version)
        answer = await self.net.ask(incarnation, ask, FETCH_GAPS)
        if isinstance(answer, TableRows):
            self._apply_rows(incarnation, answer)

    async def _on_table_ask(self, _member: Member, ask: TableAsk) -> TableRows:
        version = self.known.view.version
        return TableRows(0, version, self.known.rows(ask.since))

    async def _on_table_rows(self, member: Member, message: TableRows) -> None:
        self._apply_rows(member.incarnation, message)

    def _apply_rows(self, source: str, message: TableRows) -> None:
        for row in self.known.apply_rows(source, message.rows):
            self._spread(row, exclude=source)
