"""Remembers which release began each stream, in case its caller returns.

Load pattern: targets of two releases of a service run side by side for the
minutes of a roll-out, streams break, and their callers take them up again at
any router, mostly because the one that they were connected to has died.

A service of one release costs no message and no record.
"""

import asyncio
from collections import defaultdict

import attrs
import xxhash

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.service_releases import ServiceReleases
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.local_releases import LocalReleases, RunningStream
from balsamreach.relay.record_keepers import RecordKeepers
from balsamreach.relay.release_check import CONFIRM_S
from balsamreach.relay.release_history import (
    MAX_ANSWER_WAIT_S,
    MAX_WAIT_S,
    ReleaseHistory,
)
from balsamreach.relay.release_inquiry import (
    Origin,
    ReleaseInquiry,
    conclude,
)
from balsamreach.relay.release_log import ReleaseLog
from balsamreach.relay.release_records import ReleaseRecords
from balsamreach.relay.service_history import ServiceHistory
from balsamreach.relay.stream_history import StreamHistory
from balsamreach.services.release_store import NoReleaseStore, ReleaseStore
from balsamreach.services.times import ServiceClock
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Member
from balsamreach.wire.releases import (
    ReleaseAsk,
    ReleaseTold,
    StreamsBegun,
)

#: Minimum seconds for which a caller may return.
_MIN_KEEP_S = 30.0
#: The same in time limits of the route. One attempt lasts as long as that at
#: most, and the caller's own limit may be longer.
_KEEP_TIME_LIMITS = 2
#: Minimum seconds between two rounds of messages, so that a burst of streams
#: doesn't cost a message each.
_MIN_INTERVAL_S = 0.02


def _make_times(releases: 'StreamReleases') -> ServiceClock:
    return ServiceClock(releases.clock)


@attrs.define(eq=False)
class StreamReleases:
    """Finds the release that began a stream, here or at other routers.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    services : ServiceReleases
        The releases of the listed targets.
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts streams that are taken up again.
    store : ReleaseStore
        What survives a restart of all routers.
    times : ServiceClock
        Bounds on the clock of the store.
    is_first_start : bool
        Whether no router can have begun a stream before this one started.
    log : ReleaseLog
        Logs streams that begin or are taken up again.
    records : ReleaseRecords
        Streams of which this router knows the release.
    keepers : RecordKeepers
        Chooses the routers that keep records.
    history : ReleaseHistory
        Reads and writes the store.
    local : LocalReleases
        Tells what this router knows by itself.
    """

    net: PeerNet
    services: ServiceReleases
    clock: Clock
    metrics: Metrics
    store: ReleaseStore = attrs.field(factory=NoReleaseStore)
    times: ServiceClock = attrs.Factory(_make_times, takes_self=True)
    is_first_start: bool = False
    log: ReleaseLog = attrs.field(init=False)
    records: ReleaseRecords = attrs.field(init=False)
    keepers: RecordKeepers = attrs.field(init=False)
    history: ReleaseHistory = attrs.field(init=False)
    local: LocalReleases = attrs.field(init=False)
    _running: dict[int, RunningStream] = attrs.field(factory=dict)
    _unsent: dict[int, RunningStream] = attrs.field(factory=dict)
    _sent: set[int] = attrs.field(factory=set)
    _sent_at: float = float('-inf')
    _known_changes: int = 0
    _is_complete: bool = True

    def __attrs_post_init__(self) -> None:
        """Create the records, and choose keepers by the current members."""
        self.log = ReleaseLog(self.services, self.metrics)
        self.records = ReleaseRecords(self.clock)
        self.keepers = RecordKeepers(self.net)
        name = self.net.me.incarnation
        self.history = ReleaseHistory(
            self.net,
            ServiceHistory(
                self.store, self.services, self.times, self.is_first_start
            ),
            StreamHistory(self.store, self.records, self.times, name),
        )
        self.local = LocalReleases(
            self.services,
            self.records,
            self._running,
            self.history.check_list,
            self.clock,
        )

    def start(self) -> None:
        """Begin to receive the messages of other routers."""
        self.net.on(StreamsBegun, self._on_streams_begun)
        self.net.on(ReleaseAsk, self._on_ask)

    def record_begun(self, call: RelayCall) -> None:
        """Record that a caller has events of the release of its stream."""
        if not call.route.resumable:
            return
        key = stream_key(call)
        keep = _keep_seconds(call)
        stream = RunningStream(call.service, call.release, keep)
        self._running[key] = stream
        is_mixed = self.services.is_mixed(call.service, keep)
        self.log.log_begun(call, keep, is_recorded=is_mixed)
        if is_mixed:
            self._enqueue(key, stream)
            self._flush()

    def record_end(self, call: RelayCall) -> None:
        """Record that an attempt has ended, and that its caller may return."""
        if call.release is None or not call.route.resumable:
            return
        key = stream_key(call)
        stream = self._running.pop(key, None)
        self._sent.discard(key)
        if stream and self.services.is_mixed(call.service, stream.keep):
            self.records.put(key, stream.release, stream.keep)

    async def find(self, call: RelayCall) -> Origin | RelayFault:
        """Return the release that began a stream that its caller takes up.

        Parameters
        ----------
        call : RelayCall
            The request.

        Returns
        -------
        Origin or RelayFault
            The release; the fault if it can't be known.
        """
        ask = ReleaseAsk(
            key=stream_key(call) if call.resumes else 0,
            service=call.service,
            within_s=round(_keep_seconds(call)),
        )
        is_confirmed = await self.local.confirm(ask, CONFIRM_S)
        told = self.local.tell(ask, is_confirmed=is_confirmed)
        origin = conclude(told, {}) if told.basis else None
        if origin is None:
            origin = await self._find_elsewhere(
                call, ask, is_confirmed=is_confirmed
            )
        self.log.log_taken_up(call, _keep_seconds(call), origin)
        return origin

    def run_round(self) -> None:
        """Send what was held back, and what new keepers lack."""
        self.history.check_list()
        if self.keepers.refresh():
            self._sent.clear()
            self._is_complete = False
        if self.services.changes != self._known_changes:
            self._known_changes = self.services.changes
            self._is_complete = False
        # Hundreds of streams are in progress at a busy router, and nearly
        # always there is nothing to send again.
        if not self._is_complete:
            self._is_complete = True
            self._enqueue_running()
        self._flush()

    def _enqueue_running(self) -> None:
        for key, stream in self._running.items():
            if key not in self._sent and self.services.is_mixed(
                stream.service, stream.keep
            ):
                self._enqueue(key, stream)

    def _enqueue(self, key: int, stream: RunningStream) -> None:
        self.records.put(key, stream.release, stream.keep)
        self._sent.add(key)
        self._unsent[key] = stream

    def _flush(self) -> None:
        now = self.clock.now()
        if not self._unsent or now < self._sent_at + _MIN_INTERVAL_S:
            return
        self._sent_at = now
        batches: defaultdict[str, list[int]] = defaultdict(list)
        for key, stream in self._unsent.items():
            batches[stream.release].append(key)
        keep_s = round(max(one.keep for one in self._unsent.values()))
        self._unsent.clear()
        for release, keys in batches.items():
            message = StreamsBegun(release, tuple(keys), keep_s)
            self.history.add(message)
            if not self.keepers.tell(message):
                self._sent.difference_update(keys)
                self._is_complete = False

    async def _find_elsewhere(
        self, call: RelayCall, ask: ReleaseAsk, *, is_confirmed: bool
    ) -> Origin | RelayFault:
        inquiry = ReleaseInquiry(self.net, ask)
        refreshing = asyncio.ensure_future(self.history.refresh(MAX_WAIT_S))
        await inquiry.run(self.keepers.of(stream_key(call)))
        told = self.local.tell(ask, is_confirmed=is_confirmed)
        origin = conclude(told, inquiry.answers)
        if origin is None:
            await refreshing
            told = self.local.tell(ask, is_confirmed=is_confirmed)
            origin = conclude(told, inquiry.answers)
        if origin is not None:
            return origin
        return faults.UNKNOWN_RELEASE.because(
            'no router that answers knows which release began the stream'
        )

    async def _on_streams_begun(
        self, _member: Member, message: StreamsBegun
    ) -> None:
        for key in message.keys:
            self.records.put(key, message.release, message.keep_s)
        if message.forward:
            self.history.add(message)
            self.keepers.forward(message)

    async def _on_ask(self, _member: Member, ask: ReleaseAsk) -> ReleaseTold:
        is_confirmed = await self.local.confirm(ask, MAX_ANSWER_WAIT_S)
        told = self.local.tell(ask, is_confirmed=is_confirmed)
        # Without hubs, the router that asks reads the store itself.
        if not told.basis and self.net.hubs.hubs_of(self.net.me.zone):
            await self.history.refresh(MAX_ANSWER_WAIT_S)
            told = self.local.tell(ask, is_confirmed=is_confirmed)
        return told


def stream_key(call: RelayCall) -> int:
    """Return the digest of a stream's identity.

    All attempts of a caller at one stream have the same, and those of another
    team, or at another service, a different one. It is never 0.
    """
    first = call.resumes or call.request_id
    text = f'{call.team_name}\n{call.service}\n{first}'
    return xxhash.xxh3_64_intdigest(text.encode()) or 1


def _keep_seconds(call: RelayCall) -> float:
    return max(_MIN_KEEP_S, _KEEP_TIME_LIMITS * call.route.timeout)
