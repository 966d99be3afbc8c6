"""A way to a table service that tests come between."""

import attrs

from balsamreach.services.base import Commit, Scan, TableService


@attrs.define(eq=False)
class PassingTable(TableService):
    """Passes every call on; subclasses hold, cut or lose some.

    Parameters
    ----------
    service : TableService
        Where calls are passed on to.
    """

    service: TableService

    async def commit(self, change: Commit):
        """Commit."""
        return await self.service.commit(change)

    async def read(self, keys: tuple[str, ...]):
        """Read rows."""
        return await self.service.read(keys)

    async def scan(self, scan: Scan):
        """Scan rows."""
        return await self.service.scan(scan)
