"""Scan of the table service over all pages."""

from balsamreach.services.base import Row, Scan, TableService
from balsamreach.services.faults import PlatformFault


async def scan_all(
    service: TableService,
    prefix: str,
) -> tuple[Row, ...] | PlatformFault:
    """Return all rows whose keys start with a prefix.

    Parameters
    ----------
    service : TableService
        Table service to read.
    prefix : str
        Prefix of the keys.

    Returns
    -------
    tuple of Row or PlatformFault
        The rows in key order, or the fault of the first page that could not
        be read.
    """
    found: list[Row] = []
    scan = Scan(prefix)
    while True:
        page = await service.scan(scan)
        if isinstance(page, PlatformFault):
            return page
        found.extend(page.rows)
        if not page.more:
            return tuple(found)
        scan = Scan(prefix, after=page.rows[-1].key)
