"""Client of the platform's row store."""

import base64
import json
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

import attrs

from balsamreach.json_input import read_json
from balsamreach.services.base import Check, Write
from balsamreach.services.faults import (
    CONFLICT,
    INVALID,
    UNAVAILABLE,
    UNKNOWN,
    PlatformFault,
)
from balsamreach.services.http import Call, PlatformClient
from balsamreach.services.times import ServiceClock

_MS = 1000
_MAX_INTEGER = 2**63 - 1
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_FAULTS = {
    400: INVALID,
    403: INVALID,
    429: UNAVAILABLE,
    503: UNAVAILABLE,
    _PRECONDITION_FAILED: CONFLICT,
}
#: The store no longer holds the changes since the requested version.
HISTORY_GONE = PlatformFault('history_gone')


@attrs.frozen(kw_only=True)
class StoredRow:
    """A row of the store.

    Parameters
    ----------
    table, part, key : str
        Key of the row. Changes within one part are serialised.
    fields : mapping or None
        JSON object of the row; None if the row was removed or holds
        something else, which only other writers produce.
    version : int
        Version of the store at which the row was written.
    removed : bool
        Whether the row was removed.
    """

    table: str
    part: str
    key: str
    fields: Mapping[str, Any] | None
    version: int
    removed: bool = False


@attrs.frozen
class StoredRows:
    """Rows, and the version of the store that they are complete up to.

    Parameters
    ----------
    rows : tuple of StoredRow
        The rows.
    version : int
        Version up to which the rows hold all changes.
    whole : bool
        Whether these are all rows, and not only the changed ones.
    """

    rows: tuple[StoredRow, ...]
    version: int
    whole: bool = False


@attrs.frozen
class _Page:
    """Rows of one answer, and whether more of the same moment follow."""

    rows: tuple[StoredRow, ...]
    version: int
    more: bool


@attrs.frozen
class RowKey:
    """Key of a row: table, part, and key within the part."""

    table: str
    part: str
    key: str


@attrs.define
class RowStore:
    """Reads, follows and changes rows.

    Parameters
    ----------
    client : PlatformClient
        HTTP client of the store.
    follow_wait : float
        Seconds that ``follow`` waits for changes.
    times : ServiceClock
        Records the time of the store from each answer.
    """

    client: PlatformClient
    follow_wait: float
    times: ServiceClock

    async def read(
        self,
        table: str,
        part: str,
        first: str = '',
        end: str = '',
    ) -> StoredRows | PlatformFault:
        """Read all rows of one part with keys in a range.

        Parameters
        ----------
        table, part : str
            Table and part to read.
        first, end : str
            First key, and end of the range (exclusive). Empty for no bound.
        """
        rows: list[StoredRow] = []
        version = None
        while True:
            query = {'table': table, 'part': part}
            query |= {'from': first} if first else {}
            query |= {'to': end} if end else {}
            page = await self._get_page('/v1/rows-get', query)
            if isinstance(page, PlatformFault):
                return page
            rows.extend(page.rows)
            # Rows of an earlier page may change before a later page is read,
            # so the rows are complete only up to the version of the first page.
            version = page.version if version is None else version
            if not page.more or not page.rows:
                return StoredRows(tuple(rows), version, whole=True)
            first = f'{page.rows[-1].key}\0'

    async def follow(
        self,
        table: str,
        since: int,
        max_bytes: int = 0,
    ) -> StoredRows | PlatformFault:
        """Long-poll for rows of a table that changed after a version.

        The rows hold every change of a row, not only the last one.

        Parameters
        ----------
        table : str
            Name of the table.
        since : int
            Version after which changes are wanted.
        max_bytes : int
            Maximum size of the answer; 0 for no limit.

        Returns
        -------
        StoredRows or PlatformFault
            HISTORY_GONE if the table must be read in full, TOO_LARGE if the
            changes exceed the maximum size.
        """
        # ``after_rev`` is a version here; elsewhere it is an object name.
        query = {
            'table': table,
            'after_rev': since,
            'wait_ms': int(self.follow_wait * _MS),
        }
        page = await self._get_page('/v1/rows-feed', query, max_bytes)
        if isinstance(page, PlatformFault):
            return page
        return StoredRows(page.rows, page.version)

    async def change(
        self,
        writes: Iterable[tuple[RowKey, Write]],
        checks: Iterable[tuple[RowKey, Check]],
    ) -> int | PlatformFault:
        """Write and remove rows in one transaction if all checks hold.

        Returns
        -------
        int or PlatformFault
            Version of the change, or a fault as in ``TableService.commit``.
        """
        written = list(writes)
        checked = list(checks)
        parts = {row_key.part for row_key, _ in (*written, *checked)}
        body = {
            'expected_rev': [
                _key_fields(row_key) | {'ver': check.version}
                for row_key, check in checked
            ],
            'writes': [
                _key_fields(row_key) | {'value': _encode(write.value)}
                for row_key, write in written
                if write.value is not None
            ],
            'remove': [
                _key_fields(row_key)
                for row_key, write in written
                if write.value is None
            ],
        }
        if len(parts) > 1:
            body['across'] = True
        call = Call('POST', '/v1/rows-tx', json.dumps(body).encode(), True)
        answer = await self._send(call)
        if isinstance(answer, PlatformFault):
            return answer
        version = answer.get('ver')
        if _is_integer(version):
            return version
        return UNKNOWN.because('the answer has no version')

    async def _get_page(
        self,
        path: str,
        query: dict[str, Any],
        max_bytes: int = 0,
    ) -> _Page | PlatformFault:
        path_and_query = f'{path}?{urlencode(query)}'
        answer = await self._send(
            Call('GET', path_and_query, most_bytes=max_bytes)
        )
        if isinstance(answer, PlatformFault):
            return answer
        page = _read_page(answer)
        if page is None:
            return UNKNOWN.because('the answer is not a page of rows')
        return page

    async def _send(self, call: Call) -> dict[str, Any] | PlatformFault:
        sent_at = self.times.clock.now()
        answer = await self.client.exchange(call)
        if isinstance(answer, PlatformFault):
            return answer
        if answer.code == _GONE:
            return HISTORY_GONE
        if answer.code != _OK:
            fault = _FAULTS.get(answer.code, UNKNOWN)
            return fault.because(f'the store answered {answer.code}')
        fields = read_json(answer.body)
        if not isinstance(fields, dict):
            return UNKNOWN.because('the answer is not a JSON object')
        self._record_time(fields, sent_at)
        return fields

    def _record_time(self, fields: Mapping[str, Any], sent_at: float) -> None:
        server_ms = fields.get('now_ms')
        if isinstance(server_ms, bool) or not isinstance(
            server_ms, int | float
        ):
            return
        if 0 <= server_ms <= _MAX_INTEGER:
            self.times.note(server_ms / _MS, sent_at, self.times.clock.now())


def _key_fields(row_key: RowKey) -> dict[str, Any]:
    return attrs.asdict(row_key)


def _encode(fields: Mapping[str, Any]) -> str:
    text = json.dumps(fields, separators=(',', ':'))
    return base64.b64encode(text.encode()).decode()


def _is_integer(value: object) -> bool:
    """Return whether a value is an integer of at most 63 bits, not negative."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value <= _MAX_INTEGER
    )


def _read_page(answer: Mapping[str, Any]) -> _Page | None:
    """Return the page that an answer holds; None if it holds none."""
    version = answer.get('ver')
    try:
        rows = tuple(map(_read_row, answer['rows']))
    except (AttributeError, KeyError, TypeError):
        return None
    if not _is_integer(version) or not all(map(_has_key, rows)):
        return None
    return _Page(rows, version, bool(answer.get('more_pages')))


def _has_key(row: StoredRow) -> bool:
    texts = (row.table, row.part, row.key)
    return _is_integer(row.version) and all(
        isinstance(text, str) for text in texts
    )


def _read_row(fields: Mapping[str, Any]) -> StoredRow:
    removed = bool(fields.get('deleted')) or fields.get('value') is None
    return StoredRow(
        table=fields['table'],
        part=fields.get('part', ''),
        key=fields['key'],
        fields=None if removed else decode_value(fields['value']),
        version=fields['ver'],
        removed=removed,
    )


def decode_value(encoded: object) -> Mapping[str, Any] | None:
    """Return the object that a row holds; None if it holds none."""
    try:
        fields = read_json(base64.b64decode(encoded))
    except (TypeError, ValueError):
        # Only rows of other writers can hold invalid values.
        return None
    return fields if isinstance(fields, dict) else None
