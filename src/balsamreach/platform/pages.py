"""Passes on what one router of a zone hears from the store."""

import json
import zlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.platform.patches import apply_patch, make_patch
from balsamreach.platform.rows import StoredRow, StoredRows
from balsamreach.wire.membership import Member
from balsamreach.wire.tables import TablePage

#: Bytes of packed rows beyond which a page is only announced. The others then
#: read it from the store, whose link is wide; more sent to a whole zone would
#: fill the link of a hub for longer than they take for that.
_MOST_BYTES = 128 * 1024
#: Seconds without a page after which another hub tells. A hub that hears from
#: the store tells something twice in that time.
_SILENT_S = 1.5
#: Bytes that packed rows may grow to; more is no page of ours.
_MOST_UNPACKED = 4 * 1024 * 1024
#: Configurations shrink to a fifth already at the least effort.
_EFFORT = 1
#: Entries from which on an object is told by what changed in it.
_LARGE = 32
_ROW = 'row'
#: Beside a row without its object: version of the row before, and the changes.
_BASE = 'base'
_PATCH = 'patch'

#: Takes a page, and the version after which its rows changed.
TakePage = Callable[[int, StoredRows], None]
RowName = tuple[str, str, str]


@attrs.define(eq=False)
class PageSharing:
    """Tells the routers of the zone, or hands over what its hub tells.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    clock : Clock
        Time.
    """

    net: PeerNet
    clock: Clock
    _heard_at: float = attrs.field(init=False)
    _takers: dict[str, TakePage] = attrs.field(factory=dict)
    _known: dict[RowName, StoredRow] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Give the first hub its time to tell something."""
        self._heard_at = self.clock.now()

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
        hubs = self._hubs()
        return not hubs or self.net.me.incarnation in hubs

    def tell(self, table: str, since: int, page: StoredRows) -> None:
        """Tell the zone, if this router is the one that does.

        To be called before ``note``: changes are told against what was known
        before.
        """
        if not self._hubs() or not self.leads():
            return
        rows = _pack(self._shorten(newest_rows(page.rows)))
        message = TablePage(table, since, page.version, rows, page.whole)
        if len(rows) > _MOST_BYTES:
            # Who has not this version yet sees that rows are missing.
            message = TablePage(table, page.version, page.version)
        self.net.tell_zone(message)

    def note(self, rows: Iterable[StoredRow]) -> None:
        """Remember large rows, which changes are told against."""
        for row in rows:
            name = _name(row)
            known = self._known.get(name)
            if known is not None and known.version >= row.version:
                continue
            if row.fields is not None and _is_large(row.fields):
                self._known[name] = row
            elif known is not None:
                self._known.pop(name)

    def leads(self) -> bool:
        """Return whether no other router reads the store for this one.

        Another hub takes the first one's part while that tells nothing: the
        store may turn single routers away.
        """
        hubs = self._hubs()
        mine = self.net.me.incarnation
        if not hubs or hubs[0] == mine:
            return True
        is_silent = self.clock.now() > self._heard_at + _SILENT_S
        return is_silent and mine in hubs

    def _hubs(self) -> list[str]:
        return [hub.incarnation for hub in self.net.hubs.of(self.net.me.zone)]

    def _shorten(self, rows: Iterable[StoredRow]) -> list[dict[str, Any]]:
        return [self._shorten_one(row) for row in rows]

    def _shorten_one(self, row: StoredRow) -> dict[str, Any]:
        known = self._known.get(_name(row))
        if known is None or row.fields is None:
            return {_ROW: _as_fields(row)}
        return {
            _ROW: _as_fields(attrs.evolve(row, fields=None)),
            _BASE: known.version,
            _PATCH: make_patch(known.fields, row.fields),
        }

    async def _take(self, _member: Member, message: TablePage) -> None:
        take = self._takers.get(message.table)
        if take is None:
            return
        self._heard_at = self.clock.now()
        rows = self._restore(_unpack(message.rows))
        if rows is None:
            # The same as a page that was only announced.
            take(message.version, StoredRows((), message.version))
            return
        page = StoredRows(rows, message.version, message.whole)
        take(message.since, page)

    def _restore(
        self,
        told: Iterable[dict[str, Any]],
    ) -> tuple[StoredRow, ...] | None:
        """Return the rows that were told, None if one can't be made."""
        rows = []
        for one in told:
            row = StoredRow(**one[_ROW])
            if _BASE in one:
                known = self._known.get(_name(row))
                # A page that was lost may have changed it in between.
                if known is None or known.version != one[_BASE]:
                    return None
                whole = apply_patch(known.fields, one[_PATCH])
                row = attrs.evolve(row, fields=whole)
            rows.append(row)
        return tuple(rows)


def newest_rows(rows: Iterable[StoredRow]) -> tuple[StoredRow, ...]:
    """Return the last of each row's versions; a page may hold several."""
    newest = {_name(row): row for row in rows}
    return tuple(newest.values())


def _name(row: StoredRow) -> RowName:
    return (row.table, row.part, row.key)


def _as_fields(row: StoredRow) -> dict[str, Any]:
    return attrs.asdict(row, recurse=False)


def _is_large(fields: Any) -> bool:
    entries = sum(
        len(value) for value in fields.values() if isinstance(value, list)
    )
    return entries >= _LARGE


def _pack(rows: list[dict[str, Any]]) -> bytes:
    if not rows:
        return b''
    return zlib.compress(json.dumps(rows).encode(), _EFFORT)


def _unpack(packed: bytes) -> list[dict[str, Any]]:
    if not packed:
        return []
    document = zlib.decompressobj().decompress(packed, _MOST_UNPACKED)
    return json.loads(document)
