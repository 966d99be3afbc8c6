"""Calls to the platform's store of rows."""

import base64
import json
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

import attrs

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
#: The store no longer has the history that was asked for.
HISTORY_GONE = PlatformFault('history_gone')


@attrs.frozen(kw_only=True)
class StoredRow:
    """A row of the store.

    Parameters
    ----------
    table, part, key : str
        Where it lies. Rows of one part are changed one after the other.
    fields : mapping or None
        Its JSON object; None for a row that was removed, and for one of
        another writer that holds none.
    version : int
        Number of the change that wrote it.
    removed : bool
        Whether it was removed.
    """

    table: str
    part: str
    key: str
    fields: Mapping[str, Any] | None
    version: int
    removed: bool = False


@attrs.frozen
class StoredRows:
    """Rows and the newest version of the store at their moment.

    Parameters
    ----------
    rows : tuple of StoredRow
        The rows.
    version : int
        Version up to which nothing else changed.
    whole : bool
        Whether they are all there are, and not only what changed.
    """

    rows: tuple[StoredRow, ...]
    version: int
    whole: bool = False


@attrs.frozen
class RowPlace:
    """Where a row lies."""

    table: str
    part: str
    key: str


@attrs.define
class RowStore:
    """Reads, follows and changes rows.

    Parameters
    ----------
    client : PlatformClient
        Sends the calls.
    follow_wait : float
        Seconds that a call that follows a table may wait for news.
    times : ServiceClock
        Gets the store's time of each answer.
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
        """Read all rows of one part whose keys lie in a range.

        Parameters
        ----------
        table, part : str
            Where to read.
        first, end : str
            Keys; the range leaves the second out. Empty for no bound.
        """
        rows: list[StoredRow] = []
        version = None
        while True:
            query = {'table': table, 'part': part}
            query |= {'from': first} if first else {}
            query |= {'to': end} if end else {}
            page = await self._get('/v1/rows-get', query)
            if isinstance(page, PlatformFault):
                return page
            rows.extend(map(_read_row, page['rows']))
            # Rows of an earlier page may have changed before a later one was
            # read: only up to the first one's version all changes are here.
            version = page['ver'] if version is None else version
            if not page.get('more_pages') or not page['rows']:
                return StoredRows(tuple(rows), version, whole=True)
            last = page['rows'][-1]['key']
            first = f'{last}\0'

    async def follow(
        self,
        table: str,
        since: int,
        most_bytes: int = 0,
    ) -> StoredRows | PlatformFault:
        """Wait a while for rows of a table that changed after a version.

        Each change of a row is told, not only its last one.

        Parameters
        ----------
        table : str
            The table.
        since : int
            The version.
        most_bytes : int
            Size of an answer that is wanted; 0 for any.

        Returns
        -------
        StoredRows or PlatformFault
            HISTORY_GONE where the whole table must be read anew, TOO_LARGE
            where the changes are larger than wanted.
        """
        # ``after_rev`` holds a version here; elsewhere a name of an object.
        query = {
            'table': table,
            'after_rev': since,
            'wait_ms': int(self.follow_wait * _MS),
        }
        page = await self._get('/v1/rows-feed', query, most_bytes)
        if isinstance(page, PlatformFault):
            return page
        return StoredRows(tuple(map(_read_row, page['rows'])), page['ver'])

    async def change(
        self,
        writes: Iterable[tuple[RowPlace, Write]],
        checks: Iterable[tuple[RowPlace, Check]],
    ) -> int | PlatformFault:
        """Write and remove rows if all checks hold.

        Returns
        -------
        int or PlatformFault
            The number of the change, or as ``TableService.commit``.
        """
        written = list(writes)
        checked = list(checks)
        parts = {place.part for place, _ in (*written, *checked)}
        body = {
            'expected_rev': [
                _place_fields(place) | {'ver': check.version}
                for place, check in checked
            ],
            'writes': [
                _place_fields(place) | {'value': _encode(write.value)}
                for place, write in written
                if write.value is not None
            ],
            'remove': [
                _place_fields(place)
                for place, write in written
                if write.value is None
            ],
        }
        if len(parts) > 1:
            body['across'] = True
        call = Call('POST', '/v1/rows-tx', json.dumps(body).encode(), True)
        answer = await self._exchange(call)
        return answer if isinstance(answer, PlatformFault) else answer['ver']

    async def _get(
        self,
        path: str,
        query: dict[str, Any],
        most_bytes: int = 0,
    ) -> dict[str, Any] | PlatformFault:
        asked = f'{path}?{urlencode(query)}'
        return await self._exchange(Call('GET', asked, most_bytes=most_bytes))

    async def _exchange(self, call: Call) -> dict[str, Any] | PlatformFault:
        sent = self.times.clock.now()
        answer = await self.client.exchange(call)
        if isinstance(answer, PlatformFault):
            return answer
        if answer.code == _GONE:
            return HISTORY_GONE
        if answer.code != _OK:
            fault = _FAULTS.get(answer.code, UNKNOWN)
            return fault.because(f'the store answered {answer.code}')
        try:
            fields = json.loads(answer.body)
        except ValueError:
            return UNKNOWN.because('the answer is not JSON')
        self._note_time(fields, sent)
        return fields

    def _note_time(self, fields: Mapping[str, Any], sent: float) -> None:
        told = fields.get('now_ms')
        if told is not None:
            self.times.note(told / _MS, sent, self.times.clock.now())


def _place_fields(place: RowPlace) -> dict[str, Any]:
    return attrs.asdict(place)


def _encode(fields: Mapping[str, Any]) -> str:
    text = json.dumps(fields, separators=(',', ':'))
    return base64.b64encode(text.encode()).decode()


def _read_row(fields: Mapping[str, Any]) -> StoredRow:
    removed = bool(fields.get('deleted')) or fields.get('value') is None
    return StoredRow(
        table=fields['table'],
        part=fields.get('part', ''),
        key=fields['key'],
        fields=None if removed else _decode(fields['value']),
        version=fields['ver'],
        removed=removed,
    )


def _decode(encoded: object) -> Mapping[str, Any] | None:
    try:
        fields = json.loads(base64.b64decode(encoded))
    except (TypeError, ValueError, RecursionError):
        # Rows of others may hold anything; none of ours is like that.
        return None
    return fields if isinstance(fields, dict) else None
