"""Who changed a row, when, and from what to what."""

from typing import Any

import attrs

from balsamreach.services.base import Page, Scan, TableService
from balsamreach.table.faults import TABLE_AWAY, TableFault
from balsamreach.table.rows import TABLE_PREFIX

EDIT_PREFIX = 'edit/'
HISTORY_PREFIX = 'history/'
#: Versions are written as the distance to this, so that keys sort with the
#: newest first.
_HIGHEST = 10**18 - 1
LARGEST_PAGE = 200


@attrs.frozen
class HistoryPage:
    """One page of a row's history, newest first.

    Parameters
    ----------
    entries : tuple of dict
        The edits.
    after : str
        Where the next page starts; empty on the last one.
    """

    entries: tuple[dict[str, Any], ...]
    after: str


def history_key(key: str, version: int) -> str:
    """Return the key of the entry of an edit.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Version that the edit replaced. It grows with every commit to a row
        and needs no clock, which hosts may have set wrong.

    Returns
    -------
    str
        A key that sorts before those of the row's earlier edits.
    """
    return f'{_prefix(key)}{_HIGHEST - version:018d}'


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
        Where it is kept.
    key : str
        Key of the row.
    after : str
        End of the page before, empty for the first page.
    limit : int
        Most entries on the page.

    Returns
    -------
    HistoryPage or TableFault
        The page, or TABLE_AWAY.
    """
    prefix = _prefix(key)
    start = prefix + after if after else ''
    count = min(max(limit, 1), LARGEST_PAGE)
    page = await service.scan(Scan(prefix, after=start, limit=count))
    if not isinstance(page, Page):
        return TABLE_AWAY.because(f'table service: {page.code}')
    entries = tuple(
        {'version': row.version, **(row.value or {})} for row in page.rows
    )
    last = page.rows[-1].key.removeprefix(prefix) if page.more else ''
    return HistoryPage(entries, last)


def _prefix(key: str) -> str:
    return f'{HISTORY_PREFIX}{key.removeprefix(TABLE_PREFIX)}/'
