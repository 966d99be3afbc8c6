"""Passes on what one router of a zone hears from the store."""

import json
import zlib
from collections.abc import Callable

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.platform.rows import StoredRow, StoredRows
from balsamreach.wire.messages import Member, TablePage

#: Bytes of packed rows beyond which a page is only announced. The others then
#: read it from the store, whose link is wide; a large configuration sent to a
#: whole zone would fill the link of a small host for seconds.
_MOST_BYTES = 32 * 1024
#: Bytes that packed rows may grow to; more is no page of ours.
_MOST_UNPACKED = 4 * 1024 * 1024
#: Configurations shrink to a fifth already at the least effort.
_EFFORT = 1

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
        mine = self.net.me.incarnation
        return not hubs or any(hub.incarnation == mine for hub in hubs)

    def tell(self, table: str, since: int, page: StoredRows) -> None:
        """Tell the zone, if this router is the one that does."""
        if not self._is_first():
            return
        rows = _pack(page.rows)
        if len(rows) > _MOST_BYTES:
            # Who has not this version yet sees that rows are missing.
            since, rows = page.version, b''
        self.net.tell_zone(TablePage(table, since, page.version, rows))

    def _is_first(self) -> bool:
        hubs = self.net.hubs.of(self.net.me.zone)
        return bool(hubs) and hubs[0].incarnation == self.net.me.incarnation

    async def _take(self, _member: Member, message: TablePage) -> None:
        take = self._takers.get(message.table)
        if take is not None:
            rows = _unpack(message.rows)
            take(message.since, StoredRows(rows, message.version))


def _pack(rows: tuple[StoredRow, ...]) -> bytes:
    if not rows:
        return b''
    fields = [attrs.asdict(row) for row in rows]
    return zlib.compress(json.dumps(fields).encode(), _EFFORT)


def _unpack(packed: bytes) -> tuple[StoredRow, ...]:
    if not packed:
        return ()
    document = zlib.decompressobj().decompress(packed, _MOST_UNPACKED)
    return tuple(StoredRow(**fields) for fields in json.loads(document))
