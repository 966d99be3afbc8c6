"""Simulated HTTP row store of the users' platform.

It implements the calls that routers use: reading the rows of a part, following
the changes of a table, and conditional commits.
"""

import asyncio
import base64
import json
import time
from collections import Counter
from collections.abc import Callable, Collection
from http import HTTPStatus
from typing import Any

import attrs
from tornado.web import Application, RequestHandler

from balsamreach.standins.handlers import log_nothing

_Key = tuple[str, str, str]
_MS = 1000
#: Maximum number of entries, and bytes of the body, of a commit.
_MAX_ENTRIES = 100
_MAX_COMMIT_BYTES = 1_000_000
#: Tables that the system may not write to.
_OPERATOR_TABLES = frozenset(('op', 'servers'))


@attrs.define(eq=False)
class RowStoreState:
    """Rows and simulated faults of the store.

    Parameters
    ----------
    rows : dict
        Encoded value and version by table, part and key.
    changes : list
        All changes: key, encoded value or None, version.
    version : int
        Version of the newest change.
    history_from : int
        A call that follows changes after an older version gets status 410.
    status : int
        HTTP status of every response; 0 while the store works.
    served_tables : collection of str or None
        Calls that concern other tables get status 503; None for no limit.
    calls : Counter
        Number of calls by path and table, including those that got no answer.
    lose_answers : int
        How many of the next commits are applied and not answered.
    waits : list of int
        The ``wait_ms`` of each call that followed a table.
    page_rows : int
        Maximum number of rows of a page.
    on_page : callable
        Called after each page has been sent.
    """

    rows: dict[_Key, tuple[str, int]] = attrs.field(factory=dict)
    changes: list[tuple[_Key, str | None, int]] = attrs.field(factory=list)
    version: int = 0
    history_from: int = 0
    status: int = 0
    served_tables: Collection[str] | None = None
    calls: Counter = attrs.field(factory=Counter)
    lose_answers: int = 0
    waits: list[int] = attrs.field(factory=list)
    page_rows: int = 500
    on_page: Callable[[], object] = int
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    audible: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Start with answering enabled."""
        self.audible.set()

    def fall_silent(self) -> None:
        """Accept calls but answer none until ``answer`` is called."""
        self.audible.clear()

    def answer(self) -> None:
        """Answer all pending and later calls."""
        self.audible.set()

    def write(self, table: str, key: str, fields: Any, part: str = '') -> int:
        """Write a row and return the version; None deletes the row."""
        encoded = None
        if fields is not None:
            encoded = base64.b64encode(json.dumps(fields).encode()).decode()
        return self.apply([((table, part, key), encoded)])

    def read(self, table: str, key: str, part: str = '') -> Any:
        """Return the fields of a row."""
        encoded, _version = self.rows[table, part, key]
        return json.loads(base64.b64decode(encoded))

    def apply(self, writes: list[tuple[_Key, str | None]]) -> int:
        """Apply writes as one change and return its version."""
        self.version += 1
        for key, encoded in writes:
            if encoded is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (encoded, self.version)
            self.changes.append((key, encoded, self.version))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def version_of(self, key: _Key) -> int:
        """Return a row's version, 0 if it does not exist."""
        return self.rows[key][1] if key in self.rows else 0


class _StoreHandler(RequestHandler):
    def initialize(self, state: RowStoreState) -> None:
        """Set the state of the store."""
        self.state = state

    async def prepare(self) -> None:
        """Wait while the store is silent; send the set status, if any."""
        tables = self.tables()
        self.state.calls.update((self.request.path, one) for one in tables)
        await self.state.audible.wait()
        served = self.state.served_tables
        if self.state.status:
            self.set_status(self.state.status)
            self.finish()
        elif served is not None and not tables.issubset(served):
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish()

    def tables(self) -> set[str]:
        """Return the tables that the call concerns."""
        return {self.get_argument('table')}

    def reply(self, **fields: Any) -> None:
        """Respond with fields, the newest version and the store's time."""
        now_ms = round(time.monotonic() * _MS)
        common = {'ver': self.state.version, 'now_ms': now_ms}
        self.finish(json.dumps(fields | common))


class _ReadHandler(_StoreHandler):
    def get(self) -> None:
        """Return the rows of one part."""
        table_part = (self.get_argument('table'), self.get_argument('part'))
        first = self.get_argument('from', '', strip=False)
        end = self.get_argument('to', '', strip=False)
        rows = [
            _row_json(key, encoded, version)
            for key, (encoded, version) in sorted(self.state.rows.items())
            if key[:2] == table_part
            and key[2] >= first
            and (not end or key[2] < end)
        ]
        wanted = int(self.get_argument('limit', '') or self.state.page_rows)
        limit = min(wanted, self.state.page_rows)
        self.reply(rows=rows[:limit], more_pages=len(rows) > limit)
        self.state.on_page()


class _FeedHandler(_StoreHandler):
    async def get(self) -> None:
        """Return the changes after a version, waiting for the first."""
        since = int(self.get_argument('after_rev'))
        self.state.waits.append(int(self.get_argument('wait_ms')))
        if since < self.state.history_from:
            self.set_status(HTTPStatus.GONE)
            return
        rows = self._changed_rows(since)
        if not rows:
            await self._wait_for_change()
            rows = self._changed_rows(since)
        self.reply(rows=rows)

    def _changed_rows(self, since: int) -> list[dict[str, Any]]:
        table = self.get_argument('table')
        return [
            _row_json(*change)
            for change in self.state.changes
            if change[2] > since and change[0][0] == table
        ]

    async def _wait_for_change(self) -> None:
        seconds = int(self.get_argument('wait_ms')) / 1000
        change_task = asyncio.ensure_future(self.state.changed.wait())
        await asyncio.wait({change_task}, timeout=seconds)
        change_task.cancel()


class _CommitHandler(_StoreHandler):
    def tables(self) -> set[str]:
        """Return the tables of all entries."""
        return {row['table'] for row in _entries(self.request.body)}

    def post(self) -> None:
        """Apply a commit if all expected versions match."""
        status = _check_commit(self.request.body)
        if status != HTTPStatus.OK:
            self.set_status(status)
            return
        body = json.loads(self.request.body)
        for check in body['expected_rev']:
            if self.state.version_of(_parse_key(check)) != check['ver']:
                self.set_status(HTTPStatus.PRECONDITION_FAILED)
                self.reply(rows=self._current_rows(body['expected_rev']))
                return
        writes = [(_parse_key(row), row['value']) for row in body['writes']]
        removed = [(_parse_key(row), None) for row in body['remove']]
        self.state.apply([*writes, *removed])
        if self.state.lose_answers:
            self.state.lose_answers -= 1
            self.request.connection.stream.close()
            return
        self.reply()

    def _current_rows(self, checks: list[dict[str, Any]]) -> list[Any]:
        keys = [_parse_key(check) for check in checks]
        return [
            _row_json(key, *self.state.rows[key])
            for key in keys
            if key in self.state.rows
        ]


def make_row_store(state: RowStoreState) -> Application:
    """Return the application that serves a row store."""
    handler_args = {'state': state}
    return Application(
        [
            ('/v1/rows-get', _ReadHandler, handler_args),
            ('/v1/rows-feed', _FeedHandler, handler_args),
            ('/v1/rows-tx', _CommitHandler, handler_args),
        ],
        log_function=log_nothing,
    )


def _check_commit(encoded: bytes) -> HTTPStatus:
    """Return the status of a commit that the store would not even try."""
    entries = _entries(encoded)
    if len(entries) > _MAX_ENTRIES or len(encoded) > _MAX_COMMIT_BYTES:
        return HTTPStatus.BAD_REQUEST
    body = json.loads(encoded)
    if any(row['table'] in _OPERATOR_TABLES for row in _changes(body)):
        return HTTPStatus.FORBIDDEN
    parts = {row['part'] for row in entries}
    if len(parts) > 1 and not body.get('across'):
        return HTTPStatus.BAD_REQUEST
    return HTTPStatus.OK


def _entries(encoded: bytes) -> list[dict[str, Any]]:
    body = json.loads(encoded)
    return [*body['expected_rev'], *_changes(body)]


def _changes(body: dict[str, Any]) -> list[dict[str, Any]]:
    return [*body['writes'], *body['remove']]


def _parse_key(fields: dict[str, Any]) -> _Key:
    return fields['table'], fields['part'], fields['key']


def _row_json(key: _Key, encoded: str | None, version: int) -> dict[str, Any]:
    table, part, name = key
    row = {'table': table, 'part': part, 'key': name, 'ver': version}
    if encoded is None:
        return row | {'deleted': True}
    return row | {'value': encoded}
