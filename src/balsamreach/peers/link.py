"""One connection to another router after its handshake."""

import asyncio
from collections.abc import Callable

import attrs
from tornado.iostream import IOStream

from balsamreach.clock import Clock
from balsamreach.config.settings import PeersSettings
from balsamreach.peers.faults import (
    LINK_CLOSED,
    LINK_MALFORMED,
    LINK_RELEASED,
    LINK_SILENT,
    NO_ANSWER,
    PEER_REFUSED,
    PeerFault,
)
from balsamreach.peers.heartbeats import HeartbeatSchedule
from balsamreach.peers.inbound import InboundMessages, MessageHandler
from balsamreach.peers.outbox import Outbox
from balsamreach.peers.peer_counters import PeerCounters
from balsamreach.peers.pending_requests import PendingRequests
from balsamreach.telemetry import hops
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.base import Message
from balsamreach.wire.codec import MAX_MESSAGE_BYTES, Envelope, decode, encode
from balsamreach.wire.faults import CLOSED, UNKNOWN_KIND, WireFault
from balsamreach.wire.framing import FrameReader, frame, write
from balsamreach.wire.membership import Heartbeat, Member
from balsamreach.wire.replies import Refused

#: Code with which one end closes a connection that it no longer needs.
RELEASED = 'parted'

_PAUSE_FACTOR = 2


@attrs.frozen
class LinkContext:
    """What all connections of a router share.

    Parameters
    ----------
    cfg : PeersSettings
        Heartbeat interval and gap timeout.
    clock : Clock
        Source of time.
    counters : PeerCounters
        Counts messages and bytes.
    handle : callable
        Handles a member's message and returns the answer.
    heartbeat : callable
        Returns the heartbeat to send now.
    tracing : Tracing or None
        Starts the spans of answers to traced requests of peers.
    """

    cfg: PeersSettings
    clock: Clock
    counters: PeerCounters
    handle: MessageHandler
    heartbeat: Callable[[], Heartbeat] = Heartbeat
    tracing: Tracing | None = None


@attrs.define(eq=False, repr=False)
class Link:
    """A connection on which the handshake is done.

    Parameters
    ----------
    context : LinkContext
        What all connections share.
    stream : IOStream
        The connection.
    peer : Member
        The router at the other end.
    dialled : bool
        Whether this end opened the connection.
    first_frame : bytes
        A frame that was already read; empty for none.
    last_received_at, last_used_at : float
        Monotonic seconds when something was last received, and when the link
        was last used for more than heartbeats.
    """

    context: LinkContext
    stream: IOStream
    peer: Member
    dialled: bool
    first_frame: bytes = b''
    last_received_at: float = 0
    last_used_at: float = 0
    _outbox: Outbox = attrs.field(factory=Outbox)
    _pending: PendingRequests = attrs.field(factory=PendingRequests)
    _inbound: InboundMessages = attrs.field(init=False)
    _released: bool = False
    _heartbeats: HeartbeatSchedule = attrs.field(factory=HeartbeatSchedule)

    def __attrs_post_init__(self) -> None:
        """Start the timeouts for silence and idleness."""
        self.last_received_at = self.context.clock.now()
        self.last_used_at = self.last_received_at
        self._inbound = InboundMessages(
            self.peer,
            self.context.handle,
            self.send,
            self.context.tracing,
        )

    async def run(self) -> PeerFault:
        """Serve the connection until it ends.

        Returns
        -------
        PeerFault
            Why it ended.
        """
        self._inbound.start()
        try:
            ended = await self._serve()
        finally:
            self._inbound.stop()
        return ended

    async def ask(
        self, message: Message, timeout_gaps: int = 1
    ) -> Message | PeerFault:
        """Send a request and wait for the answer.

        Parameters
        ----------
        message : Message
            The request.
        timeout_gaps : int
            Gap timeouts that the answer may take while the connection is open.

        Returns
        -------
        Message or PeerFault
            The answer; NO_ANSWER if it took too long or the connection ended,
            PEER_REFUSED if the peer refused.
        """
        now = self.context.clock.now()
        self.last_used_at = now
        timeout = timeout_gaps * self.context.cfg.gap_timeout
        number, fut = self._pending.add(now + timeout)
        traceparent = hops.current_traceparent()
        refused = self.send(Envelope(message, number, 0, traceparent))
        if refused is not None:
            self._pending.discard(number)
            return refused
        return await fut

    def tell(self, message: Message) -> bool:
        """Send a one-way message; False if it can't be queued."""
        self.last_used_at = self.context.clock.now()
        return self.send(Envelope(message)) is None

    def send(self, envelope: Envelope) -> PeerFault | None:
        """Queue a message for the writer.

        Returns
        -------
        PeerFault or None
            Why it can't be queued; None if it is.
        """
        packed = encode(envelope)
        if isinstance(packed, WireFault):
            self.context.counters.count_dropped(packed.code)
            return PEER_REFUSED.because(packed.reason)
        if self.stream.closed() or not self._outbox.put(frame(packed)):
            self.context.counters.count_dropped('queue_full')
            return NO_ANSWER.because(
                'connection closed, or the queue to the peer is full'
            )
        self._heartbeats.note_sent(envelope.message)
        self.context.counters.count_message(
            'out', envelope.message, len(packed)
        )
        return None

    def release(self) -> None:
        """Tell the peer that this connection is no longer needed."""
        self._released = True
        self.send(Envelope(Refused(RELEASED, 'not needed any more')))

    async def _serve(self) -> PeerFault:
        tasks = [
            asyncio.create_task(self._read()),
            asyncio.create_task(self._write()),
            asyncio.create_task(self._run_heartbeat()),
        ]
        try:
            done, _ = await asyncio.wait(
                tasks,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            _shut_down(self.stream, tasks)
            self._pending.fail_all('the connection ended')
        # The last messages of a peer may still wait behind a slow handler.
        gap = self.context.cfg.gap_timeout
        await self._inbound.drain(self.context.clock, gap)
        # After a release the peer closes the connection. Counted as a loss,
        # that would make this end redial what it has just released.
        return LINK_RELEASED if self._released else done.pop().result()

    async def _write(self) -> PeerFault:
        while True:
            octets = await self._outbox.get()
            fault = await write(self.stream, octets)
            if fault is not None:
                return LINK_CLOSED.because(fault.reason)

    async def _read(self) -> PeerFault:
        # A large message takes longer than the gap timeout on a slow link, so
        # each received part counts as activity. Counted as silence until it is
        # whole, the message would end the link each time, be sent again on the
        # next one, and never arrive.
        frames = FrameReader(
            self.stream, MAX_MESSAGE_BYTES, progress=self._note_received
        )
        packed = self.first_frame or await frames.next()
        while not isinstance(packed, WireFault):
            ended = self._handle_frame(packed)
            if ended is not None:
                return ended
            packed = await frames.next()
        return _as_link_fault(packed)

    def _note_received(self) -> None:
        self.last_received_at = self.context.clock.now()

    def _handle_frame(self, packed: bytes) -> PeerFault | None:
        """Handle a received frame; a fault if it ends the connection."""
        envelope = decode(packed)
        if isinstance(envelope, WireFault):
            self.context.counters.count_refused(envelope.code)
            malformed = envelope != UNKNOWN_KIND
            return (
                LINK_MALFORMED.because(envelope.reason) if malformed else None
            )
        self.context.counters.count_message('in', envelope.message, len(packed))
        if _is_release(envelope.message):
            return LINK_RELEASED
        self._dispatch(envelope)
        return None

    async def _run_heartbeat(self) -> PeerFault:
        """Send heartbeats, and end when the peer falls silent."""
        clock = self.context.clock
        heartbeat = self.context.cfg.heartbeat
        while True:
            before = clock.now()
            beat = self.context.heartbeat()
            if self._heartbeats.check_due(beat):
                self.send(Envelope(beat))
            await clock.sleep(heartbeat)
            now = clock.now()
            if now - before > _PAUSE_FACTOR * heartbeat:
                # This process itself was paused, and what peers sent meanwhile
                # is unread. Counted as silence of the peers, the pause would
                # end every connection at once and every peer would be declared
                # dead.
                self.context.counters.count_pause()
                self.last_received_at = now
            if now - self.last_received_at > self.context.cfg.gap_timeout:
                return LINK_SILENT.because(
                    'nothing received within the gap timeout'
                )
            self._pending.expire(now)
            # An answer may take longer than the idle timeout of a link, and a
            # release would cut it off, so a link with open requests counts as
            # used.
            if self._pending.any_pending or self._inbound.has_open_requests:
                self.last_used_at = now

    def _dispatch(self, envelope: Envelope) -> None:
        message = envelope.message
        if envelope.answers:
            if not self._pending.resolve(envelope.answers, message):
                self.context.counters.count_dropped('late_answer')
        elif envelope.ask:
            self.last_used_at = self.context.clock.now()
            if not self._inbound.answer_request(envelope):
                self.context.counters.count_refused('busy')
        elif not self._inbound.enqueue(message):
            self.context.counters.count_dropped('inbox_full')


def _shut_down(stream: IOStream, tasks: list[asyncio.Task]) -> None:
    stream.close()
    for task in tasks:
        task.cancel()


def _as_link_fault(fault: WireFault) -> PeerFault:
    ended = LINK_CLOSED if fault == CLOSED else LINK_MALFORMED
    return ended.because(fault.reason)


def _is_release(message: Message) -> bool:
    return isinstance(message, Refused) and message.code == RELEASED
