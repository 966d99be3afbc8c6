"""A table service that tests can intercept."""

import attrs

from balsamreach.services.base import Commit, Scan, TableService


@attrs.define(eq=False)
class ForwardingTable(TableService):
    """Forwards every call; subclasses delay, refuse or lose some.

    Parameters
    ----------
    service : TableService
        The service that calls are forwarded to.
    """

    service: TableService

    async def commit(self, change: Commit):
        """Forward a commit."""
        return await self.service.commit(change)

    async def read(self, keys: tuple[str, ...]):
        """Forward a read."""
        return await self.service.read(keys)

    async def scan(self, scan: Scan):
        """Forward a scan."""
        return await self.service.scan(scan)
