"""HTTP client of the table service."""

from typing import Any
from urllib.parse import urlencode

import attrs

from balsamreach.services.base import Commit, Page, Row, Scan, TableService
from balsamreach.services.faults import UNKNOWN, PlatformFault
from balsamreach.services.http import Call, PlatformClient, json_call


@attrs.frozen
class HttpTableService(TableService):
    """HTTP client of the table service.

    Parameters
    ----------
    client : PlatformClient
        Client for the service's base URL.
    """

    client: PlatformClient

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        body = attrs.asdict(change)
        call = json_call('/table/commit', body, writes=True)
        answer = await self.client.send_json(call)
        if isinstance(answer, PlatformFault):
            return answer
        try:
            return int(answer['version'])
        except (KeyError, TypeError, ValueError):
            return UNKNOWN.because('the answer has no version')

    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows by key in one consistent view."""
        body = {'keys': keys}
        call = json_call('/table/read', body, writes=False)
        answer = await self.client.send_json(call)
        if isinstance(answer, PlatformFault):
            return answer
        try:
            return _rows(answer)
        except (KeyError, TypeError):
            return UNKNOWN.because('the answer has no rows')

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Read one page of the rows whose keys start with a prefix."""
        query = urlencode(attrs.asdict(scan))
        call = Call('GET', f'/table/scan?{query}')
        answer = await self.client.send_json(call)
        if isinstance(answer, PlatformFault):
            return answer
        try:
            return Page(_rows(answer), answer['version'], answer['more'])
        except (KeyError, TypeError):
            return UNKNOWN.because('the answer is not a page')


def _rows(answer: Any) -> tuple[Row, ...]:
    return tuple(Row(**row) for row in answer['rows'])
