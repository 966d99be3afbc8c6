"""Reads of the table service that take more than one page."""

from balsamreach.services.base import Row, Scan, TableService
from balsamreach.services.faults import PlatformFault


async def scan_all(
    service: TableService,
    prefix: str,
) -> tuple[Row, ...] | PlatformFault:
    """Return all rows under a prefix.

    Parameters
    ----------
    service : TableService
        Where they are.
    prefix : str
        Start of their keys.

    Returns
    -------
    tuple of Row or PlatformFault
        The rows in the order of their keys; the fault of the first page
        that could not be read.
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
