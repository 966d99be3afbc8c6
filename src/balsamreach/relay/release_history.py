"""Keeps releases of services and streams over a restart of all routers.

Load pattern: all hosts lose power at once, and their callers take their
streams up again seconds later. What routers know of streams lies in their
memory, so that only the store and the targets still know anything then.

The row of a service changes with its releases, a few times a day. Streams are
written only while their service has several releases, in batches, and no
caller waits for it.
"""

import asyncio
import logging

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.relay.service_history import ServiceHistory
from balsamreach.relay.stream_history import StreamHistory
from balsamreach.services.faults import CONFLICT, PlatformFault
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.releases import StreamsBegun

_logger = logging.getLogger(__name__)
#: Seconds after the start in which nothing is read unless a caller needs it.
#: Members are known by then, so that routers of a large fleet know the hubs.
_START_S = 1.0
#: Seconds between two batches. Streams that began since the last one are
#: refused after a restart of all routers; most streams last for seconds.
_INTERVAL_S = 0.2
#: The same for a hub, which writes the streams of some dozen routers. The
#: calls of all hubs of the largest fleet share what the store allows.
_HUB_INTERVAL_S = 0.5
#: Seconds until the next round where nothing has changed.
_IDLE_S = 1.0
#: Minimum seconds between two reads for callers whose stream is unknown.
_READ_INTERVAL_S = 0.5
#: Maximum seconds that a caller waits for the store.
_MAX_WAIT_S = 0.25
#: Part of the streams of a fleet without hubs.
_WHOLE_FLEET = 'fleet'


@attrs.define(eq=False)
class ReleaseHistory:
    """Reads and writes what survives a restart of all routers.

    In a fleet without hubs every router does, each for its own streams; with
    hubs, these do it for the streams of their zone.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    services : ServiceHistory
        The rows of the services.
    streams : StreamHistory
        The rows of the streams.
    """

    net: PeerNet
    services: ServiceHistory
    streams: StreamHistory
    _read_part: str | None = None
    _read_at: float = float('-inf')
    _reading: asyncio.Future[None] | None = None
    _fault: PlatformFault | None = None
    _was_current: bool = True
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Write soon after a release has appeared or gone."""
        self.services.services.on_edit = self._wake.set

    @property
    def part(self) -> str | None:
        """Part of the fleet whose streams are kept here; None if none are."""
        me = self.net.me
        hubs = self.net.hubs.hubs_of(me.zone)
        if not hubs:
            return _WHOLE_FLEET
        is_hub = any(hub.incarnation == me.incarnation for hub in hubs)
        return me.zone if is_hub else None

    def add(self, message: StreamsBegun) -> None:
        """Add streams to the next batch, if they are kept here."""
        if self.part is not None:
            self.streams.add(message)
            self._wake.set()

    async def run(self) -> None:
        """Read once, and write what changes, until cancelled."""
        clock = self.streams.times.clock
        await clock.sleep(_START_S)
        while True:
            await self._run_round()
            part = self.part
            is_hub = part not in {None, _WHOLE_FLEET}
            await clock.sleep(_HUB_INTERVAL_S if is_hub else _INTERVAL_S)
            waiting = asyncio.ensure_future(self._wake.wait())
            await asyncio.wait({waiting}, timeout=_IDLE_S)
            waiting.cancel()

    async def refresh(self) -> None:
        """Read what has been written, for a caller whose stream is unknown.

        Returns after a quarter of a second at most; the read goes on.
        """
        now = self.streams.times.clock.now()
        part = self.part
        is_fresh = now < self._read_at + _READ_INTERVAL_S
        if part is None or (is_fresh and part == self._read_part):
            return
        if self._reading is None or self._reading.done():
            self._reading = asyncio.ensure_future(self._read(part))
        await asyncio.wait({self._reading}, timeout=_MAX_WAIT_S)

    async def _run_round(self) -> None:
        self._wake.clear()
        part = self.part
        if part is None:
            return
        self._check_list()
        if part != self._read_part:
            await self._read(part)
        # Rows that were never read must not be written: they may name
        # releases that this router hasn't seen.
        if part == self._read_part:
            await self._write(part)

    def _check_list(self) -> None:
        """Read again after the list of targets was outdated.

        A release may have come and gone meanwhile, and other routers have seen
        it.
        """
        is_current = self.services.services.is_current()
        if is_current and not self._was_current:
            self.services.services.forget()
            self._read_part = None
        self._was_current = is_current

    async def _read(self, part: str) -> None:
        faults = await asyncio.gather(
            self.services.read(), self.streams.read(part)
        )
        fault = next(filter(None, faults), None)
        self._record(fault, 'read')
        if fault is None:
            self._read_part = part
            self._read_at = self.streams.times.clock.now()

    async def _write(self, part: str) -> None:
        fault = None
        # Before the list is there, all releases would seem to have gone.
        if self._was_current:
            fault = await self.services.write()
        if fault == CONFLICT:
            self._wake.set()
            fault = None
        fault = await self.streams.write(part) or fault
        self._record(fault, 'written')

    def _record(self, fault: PlatformFault | None, verb: str) -> None:
        if fault == self._fault:
            return
        self._fault = fault
        log_event(
            _logger,
            logging.INFO if fault is None else logging.WARNING,
            'release_history',
            reason=f'{verb}' if fault is None else fault.reason or fault.code,
        )
