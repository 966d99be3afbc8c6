"""The edit history of rows: who changed a row, when, and how."""

from typing import Any

import attrs

from balsamreach.services.base import Page, Scan, TableService
from balsamreach.table.faults import TABLE_UNAVAILABLE, TableFault
from balsamreach.table.rows import TABLE_PREFIX

EDIT_PREFIX = 'edit/'
HISTORY_PREFIX = 'history/'
#: Keys contain the version's distance to this, so that the newest sort first.
_MAX_VERSION = 10**18 - 1
MAX_PAGE_ENTRIES = 200


@attrs.frozen
class HistoryPage:
    """One page of a row's history, newest first.

    Parameters
    ----------
    entries : tuple of dict
        The edits, newest first.
    after : str
        Position to continue from; empty on the last page.
    """

    entries: tuple[dict[str, Any], ...]
    after: str


def history_key(key: str, version: int) -> str:
    """Return the key of a history entry.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Version of the row before the edit. It grows with every commit to the
        row, unlike timestamps of hosts with wrong clocks.

    Returns
    -------
    str
        A key that sorts before those of earlier edits of the row.
    """
    return f'{_prefix(key)}{_MAX_VERSION - version:018d}'


async def read_history(
    service: TableService,
    key: str,
    after: str,
    limit: int,
) -> HistoryPage | TableFault:
    """Read one page of a row's history.

    Parameters
    ----------
    service : TableService
        Holds the history.
    key : str
        Key of the row.
    after : str
        ``after`` of the previous page, empty for the first page.
    limit : int
        Maximum number of entries, at most 200.

    Returns
    -------
    HistoryPage or TableFault
        The page, or TABLE_UNAVAILABLE.
    """
    prefix = _prefix(key)
    start = prefix + after if after else ''
    count = min(max(limit, 1), MAX_PAGE_ENTRIES)
    page = await service.scan(Scan(prefix, after=start, limit=count))
    if not isinstance(page, Page):
        return TABLE_UNAVAILABLE.because(f'table service: {page.code}')
    entries = tuple(
        {'version': row.version, **(row.value or {})} for row in page.rows
    )
    last = page.rows[-1].key.removeprefix(prefix) if page.more else ''
    return HistoryPage(entries, last)


def _prefix(key: str) -> str:
    return f'{HISTORY_PREFIX}{key.removeprefix(TABLE_PREFIX)}/'
