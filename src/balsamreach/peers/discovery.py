"""Addresses at which routers may be found."""

import attrs

from balsamreach.peers.faults import NOT_CONNECTED, PeerFault
from balsamreach.services.base import HostList
from balsamreach.services.faults import PlatformFault

#: Service under which the platform lists the routers.
ROUTER_SERVICE = 'router'

_LIVE = 'live'


@attrs.define(eq=False)
class Discovery:
    """The platform's host list, and seeds for when it is away.

    The list lags, so an address in it says neither that a router lives
    there nor, by its absence, that none does: it is only ever tried.

    Parameters
    ----------
    hosts : HostList
        The platform's list.
    seeds : tuple of str
        ``ip:port`` of routers from the settings.
    """

    hosts: HostList
    seeds: tuple[str, ...] = ()
    _listed: tuple[str, ...] = ()

    def addresses(self) -> tuple[str, ...]:
        """Return all addresses known, each once."""
        return tuple(dict.fromkeys((*self.seeds, *self._listed)))

    async def refresh(self) -> PeerFault | None:
        """Read the host list; without an answer the last one stands."""
        entries = await self.hosts.hosts()
        if isinstance(entries, PlatformFault):
            return NOT_CONNECTED.because(entries.reason)
        self._listed = tuple(
            entry.address
            for entry in entries
            if entry.service == ROUTER_SERVICE and entry.state == _LIVE
        )
        return None
