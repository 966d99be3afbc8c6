"""Stand-in for the users' store of rows, over HTTP.

It speaks as much of the store's protocol as routers use: reading a part,
following a table, and changing rows under conditions.
"""

import asyncio
import base64
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
from tornado.web import Application, RequestHandler

from balsamreach.standins.handlers import log_nothing

_Key = tuple[str, str, str]


@attrs.define(eq=False)
class RowStoreState:
    """The rows, and the weather.

    Parameters
    ----------
    rows : dict
        Value and version by table, part and key.
    changes : list
        Every change: key, value or None, version.
    version : int
        Newest version.
    history_from : int
        Versions up to this one can't be followed any more.
    status : int
        Status that every call gets; 0 while the store works.
    lose_answers : int
        Changes that are made and not answered.
    waits : list of int
        Milliseconds that each call which followed a table would wait.
    page_rows : int
        Most rows of one page.
    on_page : callable
        Called after each page that was read.
    """

    rows: dict[_Key, tuple[str, int]] = attrs.field(factory=dict)
    changes: list[tuple[_Key, str | None, int]] = attrs.field(factory=list)
    version: int = 0
    history_from: int = 0
    status: int = 0
    lose_answers: int = 0
    waits: list[int] = attrs.field(factory=list)
    page_rows: int = 500
    on_page: Callable[[], object] = int
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    audible: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Begin to answer."""
        self.audible.set()

    def fall_silent(self) -> None:
        """Take calls and answer none until ``answer``."""
        self.audible.clear()

    def answer(self) -> None:
        """Answer all calls that came meanwhile, and later ones."""
        self.audible.set()

    def write(self, table: str, key: str, fields: Any, part: str = '') -> int:
        """Write a row as its owner would; None removes it."""
        encoded = None
        if fields is not None:
            encoded = base64.b64encode(json.dumps(fields).encode()).decode()
        return self.apply([((table, part, key), encoded)])

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
        """Return a row's version, 0 if there is none."""
        return self.rows[key][1] if key in self.rows else 0


class _Handler(RequestHandler):
    def initialize(self, state: RowStoreState) -> None:
        """Take the store's state."""
        self.state = state

    async def prepare(self) -> None:
        """Let the weather answer."""
        await self.state.audible.wait()
        if self.state.status:
            self.set_status(self.state.status)
            self.finish()

    def tell(self, **fields: Any) -> None:
        """Answer with fields and the newest version."""
        self.finish(json.dumps(fields | {'ver': self.state.version}))


class _Read(_Handler):
    def get(self) -> None:
        """Answer with the rows of one part."""
        place = (self.get_argument('table'), self.get_argument('part'))
        first = self.get_argument('from', '', strip=False)
        end = self.get_argument('to', '', strip=False)
        rows = [
            _shown(key, encoded, version)
            for key, (encoded, version) in sorted(self.state.rows.items())
            if key[:2] == place
            and key[2] >= first
            and (not end or key[2] < end)
        ]
        most = self.state.page_rows
        self.tell(rows=rows[:most], more_pages=len(rows) > most)
        self.state.on_page()


class _Follow(_Handler):
    async def get(self) -> None:
        """Answer with what changed, waiting a while for the first."""
        since = int(self.get_argument('after_rev'))
        self.state.waits.append(int(self.get_argument('wait_ms')))
        if since < self.state.history_from:
            self.set_status(HTTPStatus.GONE)
            return
        rows = self._changed(since)
        if not rows:
            await self._wait()
            rows = self._changed(since)
        self.tell(rows=rows)

    def _changed(self, since: int) -> list[dict[str, Any]]:
        table = self.get_argument('table')
        return [
            _shown(*change)
            for change in self.state.changes
            if change[2] > since and change[0][0] == table
        ]

    async def _wait(self) -> None:
        seconds = int(self.get_argument('wait_ms')) / 1000
        waiting = asyncio.ensure_future(self.state.changed.wait())
        await asyncio.wait({waiting}, timeout=seconds)
        waiting.cancel()


class _Change(_Handler):
    def post(self) -> None:
        """Apply a change if its conditions hold."""
        body = json.loads(self.request.body)
        for check in body['expected_rev']:
            if self.state.version_of(_key(check)) != check['ver']:
                self.set_status(HTTPStatus.PRECONDITION_FAILED)
                self.tell(rows=[])
                return
        writes = [(_key(row), row['value']) for row in body['writes']]
        removed = [(_key(row), None) for row in body['remove']]
        self.state.apply([*writes, *removed])
        if self.state.lose_answers:
            self.state.lose_answers -= 1
            self.request.connection.stream.close()
            return
        self.tell()


def make_row_store(state: RowStoreState) -> Application:
    """Return the store's application."""
    arguments = {'state': state}
    return Application(
        [
            ('/v1/rows-get', _Read, arguments),
            ('/v1/rows-feed', _Follow, arguments),
            ('/v1/rows-tx', _Change, arguments),
        ],
        log_function=log_nothing,
    )


def _key(fields: dict[str, Any]) -> _Key:
    return fields['table'], fields['part'], fields['key']


def _shown(key: _Key, encoded: str | None, version: int) -> dict[str, Any]:
    table, part, name = key
    row = {'table': table, 'part': part, 'key': name, 'ver': version}
    if encoded is None:
        return row | {'deleted': True}
    return row | {'value': encoded}
