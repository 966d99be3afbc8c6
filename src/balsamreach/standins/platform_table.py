"""HTTP interface of the simulated table service."""

from typing import Any

import attrs
from tornado.web import HTTPError

from balsamreach.services.base import Check, Commit, Row, Scan, Write
from balsamreach.services.faults import CONFLICT, PlatformFault
from balsamreach.standins.platform_handler import PlatformHandler


class CommitHandler(PlatformHandler):
    """``POST /table/commit``."""

    async def post(self) -> None:
        """Apply a commit."""
        change = _parse_commit(self.json_body())
        if change is None:
            self.reply(400, {'error': 'malformed commit'})
            return
        outcome = await self.platform.table.commit(change)
        if outcome == CONFLICT:
            conflicting = self.platform.table.conflicts(change.checks)
            self.reply(
                409, {'conflicts': [_row_version(row) for row in conflicting]}
            )
        elif isinstance(outcome, PlatformFault):
            self.reply_fault(outcome)
        else:
            self.reply(200, {'version': outcome})


class ReadHandler(PlatformHandler):
    """``POST /table/read``."""

    async def post(self) -> None:
        """Read rows by key."""
        keys = self.json_body().get('keys')
        if not isinstance(keys, list):
            self.reply(400, {'error': 'keys must be a list'})
            return
        rows = await self.platform.table.read(tuple(keys))
        if isinstance(rows, PlatformFault):
            self.reply_fault(rows)
        else:
            self.reply(200, {'rows': [attrs.asdict(row) for row in rows]})


class ScanHandler(PlatformHandler):
    """``GET /table/scan``."""

    async def get(self) -> None:
        """Read one page of rows."""
        page = await self.platform.table.scan(self._parse_scan())
        if isinstance(page, PlatformFault):
            self.reply_fault(page)
        else:
            self.reply(200, attrs.asdict(page))

    def _parse_scan(self) -> Scan:
        try:
            return Scan(
                prefix=self.get_query_argument('prefix', '', strip=False),
                since=int(self.get_query_argument('since', '0')),
                after=self.get_query_argument('after', '', strip=False),
                limit=int(self.get_query_argument('limit', '1000')),
            )
        except ValueError:
            raise HTTPError(400) from None


def _row_version(row: Row) -> dict[str, Any]:
    return {'key': row.key, 'version': row.version}


def _parse_commit(body: dict[str, Any]) -> Commit | None:
    try:
        return Commit(
            writes=tuple(Write(**write) for write in body['writes']),
            checks=tuple(Check(**check) for check in body.get('checks', ())),
        )
    except (KeyError, TypeError):
        return None
