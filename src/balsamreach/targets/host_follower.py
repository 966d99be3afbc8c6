"""Reads the platform's host list and marks the hosts that leave."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import HostEntry, HostList
from balsamreach.services.faults import PlatformFault
from balsamreach.targets.leaving_marks import LeavingMarks
from balsamreach.telemetry.logs import log_event

_HOME_KEY = 'host-list'
_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class HostFollower:
    """Reads the list if this router is responsible for that in its zone.

    Parameters
    ----------
    hosts : HostList
        The platform's host list.
    marks : LeavingMarks
        Sets leaving marks.
    net : PeerNet
        Chooses the responsible router.
    latest : tuple of HostEntry
        Entries of the last successful read; empty before the first.
    """

    cfg: Settings
    hosts: HostList
    marks: LeavingMarks
    net: PeerNet
    clock: Clock
    latest: tuple[HostEntry, ...] = ()

    async def run(self) -> None:
        """Read the list at regular intervals, until cancelled."""
        while True:
            if self.net.home(_HOME_KEY) == self.net.me:
                await self.read_once()
            await self.clock.sleep(self.cfg.targets.host_list_interval)

    async def read_once(self) -> None:
        """Read the list and mark the incarnations it shows as leaving."""
        listed = await self.hosts.hosts()
        if isinstance(listed, PlatformFault):
            log_event(
                _logger,
                logging.WARNING,
                'host_list_not_read',
                reason=listed.reason or listed.code,
            )
            return
        self.latest = listed
        self.marks.mark_listed(listed)
