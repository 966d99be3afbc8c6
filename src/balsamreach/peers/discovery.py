"""Candidate addresses of routers."""

import attrs

from balsamreach.peers.faults import NOT_CONNECTED, PeerFault
from balsamreach.services.base import HostList
from balsamreach.services.faults import PlatformFault

#: Service name of the routers in the platform's host list.
ROUTER_SERVICE = 'router'

_LIVE = 'live'


@attrs.define(eq=False)
class Discovery:
    """Addresses from the platform's host list and from the settings.

    The seeds of the settings serve while the platform is unavailable. The list
    lags: an address in it may be dead and a live router may be missing, so the
    addresses are only candidates for connection attempts.

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
        """Return all candidate addresses without duplicates."""
        return tuple(dict.fromkeys((*self.seeds, *self._listed)))

    async def refresh(self) -> PeerFault | None:
        """Read the host list; if that fails, keep the previous one."""
        entries = await self.hosts.hosts()
        if isinstance(entries, PlatformFault):
            return NOT_CONNECTED.because(entries.reason)
        self._listed = tuple(
            entry.address
            for entry in entries
            if entry.service == ROUTER_SERVICE and entry.state == _LIVE
        )
        return None
