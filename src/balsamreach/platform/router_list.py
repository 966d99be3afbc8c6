"""Registers routers in the store, where they discover each other."""

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.discovery import ROUTER_SERVICE
from balsamreach.platform.row_store import RowKey, RowStore
from balsamreach.services.base import HostEntry, HostList, Write
from balsamreach.services.faults import UNAVAILABLE, PlatformFault

_TABLE = 'routers'
_RETRY_DELAY_S = 1.0


@attrs.define
class RouterList(HostList):
    """List of routers in the store, with one row per address.

    A router that crashed leaves its row behind. This is harmless: the address
    is only a candidate for a connection, and the next router at that address
    overwrites the row.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Waits between attempts to register.
    """

    store: RowStore
    clock: Clock

    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return all registered routers."""
        page = await self.store.read(_TABLE, '')
        if isinstance(page, PlatformFault):
            return page
        return tuple(
            HostEntry(row.key, ROUTER_SERVICE, row.fields.get('zone', ''))
            for row in page.rows
            if row.fields is not None
        )

    async def power(
        self,
        address: str,
        *,
        on: bool,
        fence: int,
    ) -> PlatformFault | None:
        """Return UNAVAILABLE: the platform itself powers hosts on and off."""
        return UNAVAILABLE.because(
            'the platform itself powers hosts on and off'
        )

    async def register(self, address: str, zone: str) -> None:
        """Register this router, and retry until the store accepts it."""
        write = Write(address, {'zone': zone})
        while True:
            outcome = await self._write(write)
            if not isinstance(outcome, PlatformFault):
                return
            await self.clock.sleep(_RETRY_DELAY_S)

    async def unregister(self, address: str) -> None:
        """Remove this router's row; a failure is ignored."""
        await self._write(Write(address, None))

    async def _write(self, write: Write) -> int | PlatformFault:
        row_key = RowKey(_TABLE, '', write.key)
        return await self.store.change([(row_key, write)], [])
