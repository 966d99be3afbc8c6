"""Shares pages of changed rows between the routers of a zone."""

import json
import logging
import zlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from balsamreach.clock import Clock
from balsamreach.json_input import MAX_LEVELS, JsonFault, read_json
from balsamreach.peers.base import PeerNet
from balsamreach.platform.patches import apply_patch, make_patch
from balsamreach.platform.row_store import StoredRow, StoredRows
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.membership import Member
from balsamreach.wire.tables import TablePage

#: Size in bytes of compressed rows above which a page is only announced. The
#: other routers then read it from the store, which has a fast link. Sending
#: more to a whole zone would occupy the link of a hub for longer than that.
_MAX_PACKED_BYTES = 128 * 1024
#: Seconds without a page after which another hub shares pages. A hub that
#: reaches the store shares at least two pages in that time.
_HUB_SILENCE_S = 1.5
#: Limit in bytes for decompressed rows; no valid page is larger.
_MAX_UNPACKED_BYTES = 4 * 1024 * 1024
#: The lowest zlib level already compresses configurations to a fifth.
_COMPRESSION_LEVEL = 1
#: Number of list entries from which on an object is sent as a patch.
_LARGE_ROW_ENTRIES = 32
_ROW = 'row'
#: Sent with a row without fields: version that the patch applies to, and patch.
_BASE = 'base'
_PATCH = 'patch'
#: A row of the store lies deeper in a page: in a patch, as the entry of a list.
_PAGE_LEVELS = MAX_LEVELS + 8
#: What decoding a page of another form may raise.
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError, zlib.error)

_logger = logging.getLogger(__name__)

#: Called with the version that a page starts from, and the page.
PageHandler = Callable[[int, StoredRows], None]
RowId = tuple[str, str, str]


@attrs.define(eq=False)
class PageSharing:
    """Sends pages to the routers of the zone, and receives those of its hub.

    Parameters
    ----------
    net : PeerNet
        Network of the other routers.
    clock : Clock
        Source of the current time.
    """

    net: PeerNet
    clock: Clock
    _last_page_at: float = attrs.field(init=False)
    _handlers: dict[str, PageHandler] = attrs.field(factory=dict)
    _base_rows: dict[RowId, StoredRow] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the silence timeout of the first hub."""
        self._last_page_at = self.clock.now()

    def start(self) -> None:
        """Start to receive pages."""
        self.net.on(TablePage, self._receive)

    def register_handler(self, table: str, handler: PageHandler) -> None:
        """Register the handler for the pages of a table."""
        self._handlers[table] = handler

    def reads_store(self) -> bool:
        """Return whether this router always reads the store itself.

        All hubs do: they have to know whether the store is reachable, and the
        next one replaces the first one if that fails. Without hubs every
        router does.
        """
        hubs = self._hubs()
        return not hubs or self.net.me.incarnation in hubs

    def share(self, table: str, since: int, page: StoredRows) -> None:
        """Send a page to the zone if this router is its leader.

        Has to be called before ``remember``, since patches are made against
        the rows of earlier pages.

        Parameters
        ----------
        table : str
            Name of the table.
        since : int
            Version that the page starts from.
        page : StoredRows
            The page.
        """
        if not self._hubs() or not self.is_leader():
            return
        rows = _pack(self._encode_rows(newest_rows(page.rows)))
        message = TablePage(table, since, page.version, rows, page.whole)
        if len(rows) > _MAX_PACKED_BYTES:
            # A router below this version notices that it lacks rows.
            message = TablePage(table, page.version, page.version)
        self.net.tell_zone(message)

    def remember(self, rows: Iterable[StoredRow]) -> None:
        """Keep large rows as the base of later patches."""
        for row in rows:
            row_id = _row_id(row)
            base = self._base_rows.get(row_id)
            if base is not None and base.version >= row.version:
                continue
            if row.fields is not None and _is_large(row.fields):
                self._base_rows[row_id] = row
            elif base is not None:
                self._base_rows.pop(row_id)

    def is_leader(self) -> bool:
        """Return whether no other router shares pages with this one.

        The first hub leads, and every router if there are no hubs. Another hub
        leads as well while it receives no pages, since the store may reject
        single routers.
        """
        hubs = self._hubs()
        own = self.net.me.incarnation
        if not hubs or hubs[0] == own:
            return True
        is_silent = self.clock.now() > self._last_page_at + _HUB_SILENCE_S
        return is_silent and own in hubs

    def _hubs(self) -> list[str]:
        return [
            hub.incarnation for hub in self.net.hubs.hubs_of(self.net.me.zone)
        ]

    def _encode_rows(self, rows: Iterable[StoredRow]) -> list[dict[str, Any]]:
        return [self._encode_row(row) for row in rows]

    def _encode_row(self, row: StoredRow) -> dict[str, Any]:
        base = self._base_rows.get(_row_id(row))
        if base is None or row.fields is None:
            return {_ROW: _as_dict(row)}
        return {
            _ROW: _as_dict(attrs.evolve(row, fields=None)),
            _BASE: base.version,
            _PATCH: make_patch(base.fields, row.fields),
        }

    async def _receive(self, _member: Member, message: TablePage) -> None:
        handler = self._handlers.get(message.table)
        if handler is None:
            return
        self._last_page_at = self.clock.now()
        try:
            rows = self._decode_rows(_unpack(message.rows))
        except _MALFORMED as exc:
            log_event(
                _logger,
                logging.ERROR,
                'page_unreadable',
                reason=repr(exc),
                table=message.table,
                version=message.version,
            )
            rows = None
        if rows is None:
            # Treat it like a page that was only announced.
            handler(message.version, StoredRows((), message.version))
            return
        page = StoredRows(rows, message.version, message.whole)
        handler(message.since, page)

    def _decode_rows(
        self,
        encoded: Iterable[dict[str, Any]],
    ) -> tuple[StoredRow, ...] | None:
        """Return the decoded rows; None if the base of a patch is missing."""
        rows = []
        for item in encoded:
            row = StoredRow(**item[_ROW])
            if _BASE in item:
                base = self._base_rows.get(_row_id(row))
                # A lost page may have changed the row in between.
                if base is None or base.version != item[_BASE]:
                    return None
                whole = apply_patch(base.fields, item[_PATCH])
                row = attrs.evolve(row, fields=whole)
            rows.append(row)
        return tuple(rows)


def newest_rows(rows: Iterable[StoredRow]) -> tuple[StoredRow, ...]:
    """Return only the last version of each row."""
    newest = {_row_id(row): row for row in rows}
    return tuple(newest.values())


def _row_id(row: StoredRow) -> RowId:
    return (row.table, row.part, row.key)


def _as_dict(row: StoredRow) -> dict[str, Any]:
    return attrs.asdict(row, recurse=False)


def _is_large(fields: Any) -> bool:
    entries = sum(
        len(value) for value in fields.values() if isinstance(value, list)
    )
    return entries >= _LARGE_ROW_ENTRIES


def _pack(rows: list[dict[str, Any]]) -> bytes:
    if not rows:
        return b''
    return zlib.compress(json.dumps(rows).encode(), _COMPRESSION_LEVEL)


def _unpack(packed: bytes) -> list[dict[str, Any]]:
    if not packed:
        return []
    document = zlib.decompressobj().decompress(packed, _MAX_UNPACKED_BYTES)
    rows = read_json(document, _PAGE_LEVELS)
    if isinstance(rows, JsonFault):
        raise ValueError(rows.reason)
    return rows
