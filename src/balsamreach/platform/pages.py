"""Passes on what one router of a zone hears from the store."""

import json
from collections.abc import Callable
from typing import Any

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.platform.rows import StoredRow, StoredRows
from balsamreach.wire.messages import Member, TablePage

#: Bytes of rows beyond which a page is only announced. The others then read
#: it from the store, whose link is wide; a large configuration sent to a
#: whole zone would fill the link of a small host for seconds.
_MOST_BYTES = 16 * 1024

#: Takes a page, and the version after which its rows changed.
TakePage = Callable[[int, StoredRows], None]


@attrs.define(eq=False)
class PageSharing:
    """Tells the routers of the zone, or hands over what its hub tells.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    """

    net: PeerNet
    _takers: dict[str, TakePage] = attrs.field(factory=dict)

    def start(self) -> None:
        """Take the pages of the hub from now on."""
        self.net.on(TablePage, self._take)

    def on(self, table: str, take: TakePage) -> None:
        """Name who takes the pages of a table."""
        self._takers[table] = take

    def follows(self) -> bool:
        """Return whether this router follows the store whoever tells.

        All hubs do: they need to know whether it answers, and one of them
        takes the place of the first one when that is gone.
        """
        hubs = self.net.hubs.of(self.net.me.zone)
        return not hubs or self.net.me in hubs

    def tell(self, table: str, since: int, page: StoredRows) -> None:
        """Tell the zone, if this router is the one that does."""
        if not self._is_first():
            return
        rows = tuple(_encode(row) for row in page.rows)
        if sum(map(len, rows)) > _MOST_BYTES:
            # Who has not this version yet sees that rows are missing.
            since, rows = page.version, ()
        message = TablePage(table, since, page.version, rows)
        me = self.net.me
        for member in self.net.members():
            if member.zone == me.zone and member.incarnation != me.incarnation:
                self.net.tell(member.incarnation, message)

    def _is_first(self) -> bool:
        hubs = self.net.hubs.of(self.net.me.zone)
        return bool(hubs) and hubs[0].incarnation == self.net.me.incarnation

    async def _take(self, _member: Member, message: TablePage) -> None:
        take = self._takers.get(message.table)
        if take is None:
            return
        rows = tuple(map(_decode, message.rows))
        take(message.since, StoredRows(rows, message.version))


def _encode(row: StoredRow) -> str:
    return json.dumps(attrs.asdict(row), separators=(',', ':'))


def _decode(document: str) -> StoredRow:
    fields: dict[str, Any] = json.loads(document)
    return StoredRow(**fields)
