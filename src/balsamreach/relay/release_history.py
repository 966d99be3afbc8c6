"""Keeps releases of services and streams over a restart of all routers.

Load pattern: all hosts lose power at once, and their callers take their
streams up again seconds later. What routers know of streams lies in their
memory, so that only the store and the targets still know anything then.

The row of a service changes with its releases, a few times a day. Streams are
written only while their service has several releases, in batches, and no
caller waits for it.
"""

import asyncio
import contextlib
import logging

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.relay.service_history import ServiceHistory
from balsamreach.relay.stream_history import StreamHistory
from balsamreach.services.faults import CONFLICT, PlatformFault
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.releases import StreamsBegun

_logger = logging.getLogger(__name__)
#: Maximum seconds after the start in which nothing is read unless a caller
#: needs it. A router that knows no other doesn't know whether there are hubs.
_START_S = 1.0
#: Maximum seconds by which routers that start at once differ from each other.
_JITTER_S = 0.2
_POLL_S = 0.05
_PAIR = 2
_STEPS = 1000
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
#: The same for reads of all zones, a call for each.
_ZONES_S = 5.0
#: Maximum seconds that a caller waits for the store, which answers within a
#: quarter of a second even if it is slow; a refused caller returns later.
MAX_WAIT_S = 0.8
#: Maximum seconds that another router's question waits for it. The router that
#: asks gives up after a quarter of a second.
MAX_ANSWER_WAIT_S = 0.1
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
    _tried_at: float = float('-inf')
    _zones_read_at: float = float('-inf')
    _reading: asyncio.Future[None] | None = None
    _fault: PlatformFault | None = None
    _was_current: bool = False
    _is_first_list: bool = True
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
        try:
            await self._wait_for_members()
            while True:
                await self._run_round()
                is_hub = self.part not in {None, _WHOLE_FLEET}
                await clock.sleep(_HUB_INTERVAL_S if is_hub else _INTERVAL_S)
                await self._wait_for_change()
        finally:
            if self._reading is not None:
                self._reading.cancel()

    async def refresh(self, max_wait: float) -> None:
        """Read what has been written, for a caller whose stream is unknown.

        Parameters
        ----------
        max_wait : float
            Seconds after which this returns at the latest; the read goes on.
        """
        part = self.part
        if part is None:
            return
        is_reading = self._reading is not None and not self._reading.done()
        now = self.streams.times.clock.now()
        if not is_reading and now >= self._tried_at + _READ_INTERVAL_S:
            self._tried_at = now
            self._reading = asyncio.ensure_future(self._read_for_caller(part))
        if self._reading is not None:
            await asyncio.wait({self._reading}, timeout=max_wait)

    def check_list(self) -> None:
        """Read again once the list of targets is no longer outdated.

        A release may have come and gone meanwhile, and other routers have seen
        it.
        """
        is_current = self.services.services.is_current()
        if is_current and not self._was_current:
            self.services.forget(is_first_list=self._is_first_list)
            self._is_first_list = False
            self._wake.set()
        self._was_current = is_current

    async def _wait_for_members(self) -> None:
        clock = self.streams.times.clock
        ends_at = clock.now() + _START_S
        while len(self.net.members()) < _PAIR and clock.now() < ends_at:
            await clock.sleep(_POLL_S)
        weight = rendezvous_weight(self.net.me.incarnation, 'start')
        await clock.sleep(_JITTER_S * (weight % _STEPS) / _STEPS)

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_IDLE_S):
                await self._wake.wait()

    async def _run_round(self) -> None:
        self._wake.clear()
        self.check_list()
        part = self.part
        if not self.services.is_read:
            # Routers that aren't hubs must know, too, which services have had
            # several releases: they send the records of their streams.
            self._record(await self.services.read(), 'read')
        if part is None:
            return
        if part != self._read_part:
            await self._read(part)
        await self._write(part)

    async def _read_for_caller(self, part: str) -> None:
        """Read all zones now and then: a caller may come from another one."""
        await self._read(part)
        now = self.streams.times.clock.now()
        if part == _WHOLE_FLEET or now < self._zones_read_at + _ZONES_S:
            return
        self._zones_read_at = now
        others = set(self.net.hubs.zones()).difference((part,))
        await asyncio.gather(*map(self.streams.read, sorted(others)))

    async def _read(self, part: str) -> None:
        faults = await asyncio.gather(
            self.services.read(), self.streams.read(part)
        )
        if faults[1] is None:
            self._read_part = part
        self._record(next(filter(None, faults), None), 'read')

    async def _write(self, part: str) -> None:
        fault = None
        # Rows that were never read must not be written: they may name releases
        # that this router hasn't seen. An outdated list may lack releases.
        if self.services.is_read and self._was_current:
            fault = await self.services.write()
        if fault == CONFLICT:
            # Other routers have seen the same change.
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
            reason=verb if fault is None else fault.reason or fault.code,
        )
