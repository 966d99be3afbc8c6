"""Routers enter themselves in the store, and find each other there."""

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.discovery import ROUTER_SERVICE
from balsamreach.platform.rows import RowPlace, RowStore
from balsamreach.services.base import HostEntry, HostList, Write
from balsamreach.services.faults import UNAVAILABLE, PlatformFault

_TABLE = 'routers'
_RETRY_S = 1.0


@attrs.define
class RouterList(HostList):
    """The routers' own rows, one for each address.

    A router that died leaves its row behind; the address is only ever tried,
    and the next router there writes over it.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Time between tries.
    """

    store: RowStore
    clock: Clock

    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return all routers that have entered themselves."""
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
        """Refuse: hosts are switched by the platform itself."""
        return UNAVAILABLE.because('the platform switches hosts itself')

    async def enter(self, address: str, zone: str) -> None:
        """Enter this router, trying until the store has taken it."""
        write = Write(address, {'zone': zone})
        while True:
            done = await self._write(write)
            if not isinstance(done, PlatformFault):
                return
            await self.clock.sleep(_RETRY_S)

    async def leave(self, address: str) -> None:
        """Take this router's row away, as far as the store answers."""
        await self._write(Write(address, None))

    async def _write(self, write: Write) -> int | PlatformFault:
        place = RowPlace(_TABLE, '', write.key)
        return await self.store.change([(place, write)], [])
