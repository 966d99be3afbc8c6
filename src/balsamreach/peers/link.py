"""One connection to another router, from its greeting to its end."""

import asyncio
from collections.abc import Callable

import attrs
from tornado.iostream import IOStream

from balsamreach.clock import Clock
from balsamreach.config.settings import PeersSettings
from balsamreach.peers.asks import Asks
from balsamreach.peers.faults import (
    LINK_CLOSED,
    LINK_GARBLED,
    LINK_PARTED,
    LINK_SILENT,
    NO_ANSWER,
    PEER_REFUSED,
    PeerFault,
)
from balsamreach.peers.incoming import Incoming, MessageTaker
from balsamreach.peers.outbox import Outbox
from balsamreach.peers.pulse import Pulse
from balsamreach.peers.tally import Tally
from balsamreach.telemetry import hops
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.base import Message
from balsamreach.wire.codec import MOST_BYTES, Envelope, decode, encode
from balsamreach.wire.faults import CLOSED, UNKNOWN_KIND, WireFault
from balsamreach.wire.framing import FrameReader, frame, write
from balsamreach.wire.membership import Heartbeat, Member
from balsamreach.wire.replies import Refused

#: Code with which one end parts from a connection it no longer needs.
PARTED = 'parted'

_PAUSE_FACTOR = 2


@attrs.frozen
class LinkContext:
    """What all connections of a router share.

    Parameters
    ----------
    cfg : PeersSettings
        Heartbeat and gap timeout.
    clock : Clock
        Source of time.
    tally : Tally
        Counts messages and bytes.
    take : callable
        Takes a member's message and returns the answer to it.
    heartbeat : callable
        Returns the heartbeat to send now.
    tracing : Tracing or None
        Starts the spans of answers to others' traced asks.
    """

    cfg: PeersSettings
    clock: Clock
    tally: Tally
    take: MessageTaker
    heartbeat: Callable[[], Heartbeat] = Heartbeat
    tracing: Tracing | None = None


@attrs.define(eq=False, repr=False)
class Link:
    """A connection that both ends have greeted each other on.

    Parameters
    ----------
    context : LinkContext
        What all connections share.
    stream : IOStream
        The connection.
    peer : Member
        Who is at the other end.
    dialled : bool
        Whether this end opened it.
    first : bytes
        A message that was read already; empty for none.
    """

    context: LinkContext
    stream: IOStream
    peer: Member
    dialled: bool
    first: bytes = b''
    heard_at: float = 0
    used_at: float = 0
    _outbox: Outbox = attrs.field(factory=Outbox)
    _asks: Asks = attrs.field(factory=Asks)
    _incoming: Incoming = attrs.field(init=False)
    _parted: bool = False
    _pulse: Pulse = attrs.field(factory=Pulse)

    def __attrs_post_init__(self) -> None:
        """Count silence and idleness from now."""
        self.heard_at = self.context.clock.now()
        self.used_at = self.heard_at
        self._incoming = Incoming(
            self.peer,
            self.context.take,
            self.send,
            self.context.tracing,
        )

    async def run(self) -> PeerFault:
        """Serve the connection to its end.

        Returns
        -------
        PeerFault
            Why it ended.
        """
        self._incoming.start()
        try:
            ended = await self._serve()
        finally:
            self._incoming.stop()
        return ended

    async def ask(self, message: Message, gaps: int = 1) -> Message | PeerFault:
        """Send a message and wait for the answer to it.

        Parameters
        ----------
        message : Message
            What to ask.
        gaps : int
            Gap timeouts that the answer may take while the connection
            stands.

        Returns
        -------
        Message or PeerFault
            The answer; NO_ANSWER if it took too long or the connection
            ended, PEER_REFUSED if the peer said no.
        """
        now = self.context.clock.now()
        self.used_at = now
        patience = gaps * self.context.cfg.gap_timeout
        number, fut = self._asks.open(now + patience)
        traceparent = hops.current_traceparent()
        refused = self.send(Envelope(message, number, 0, traceparent))
        if refused is not None:
            self._asks.close(number)
            return refused
        return await fut

    def tell(self, message: Message) -> bool:
        """Send a message; False if it can't be queued."""
        self.used_at = self.context.clock.now()
        return self.send(Envelope(message)) is None

    def send(self, envelope: Envelope) -> PeerFault | None:
        """Queue a message for the writer."""
        packed = encode(envelope)
        if isinstance(packed, WireFault):
            self.context.tally.dropped(packed.code)
            return PEER_REFUSED.because(packed.reason)
        if self.stream.closed() or not self._outbox.put(frame(packed)):
            self.context.tally.dropped('queue_full')
            return NO_ANSWER.because('the queue to the peer is full')
        self._pulse.sent(envelope.message)
        self.context.tally.message('out', envelope.message, len(packed))
        return None

    def part(self) -> None:
        """Tell the peer that this connection isn't needed any more."""
        self._parted = True
        self.send(Envelope(Refused(PARTED, 'not needed any more')))

    async def _serve(self) -> PeerFault:
        tasks = [
            asyncio.create_task(self._read()),
            asyncio.create_task(self._write()),
            asyncio.create_task(self._watch()),
        ]
        try:
            done, _ = await asyncio.wait(
                tasks,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            _end(self.stream, tasks)
            self._asks.fail('the connection ended')
        # A peer's last words may still wait behind a slower message.
        gap = self.context.cfg.gap_timeout
        await self._incoming.finish(self.context.clock, gap)
        # The peer closes when it is parted from. Taken for a loss, that
        # would make this end dial at once what it has just given up.
        return LINK_PARTED if self._parted else done.pop().result()

    async def _write(self) -> PeerFault:
        while True:
            octets = await self._outbox.take()
            fault = await write(self.stream, octets)
            if fault is not None:
                return LINK_CLOSED.because(fault.reason)

    async def _read(self) -> PeerFault:
        # A large message takes longer than the gap timeout on a small link.
        # Counted as silence until it is whole, it would end the link each
        # time, be sent anew on the next one, and never arrive.
        frames = FrameReader(self.stream, MOST_BYTES, progress=self._hear)
        packed = self.first or await frames.next()
        while not isinstance(packed, WireFault):
            ended = self._take(packed)
            if ended is not None:
                return ended
            packed = await frames.next()
        return _ended_by(packed)

    def _hear(self) -> None:
        self.heard_at = self.context.clock.now()

    def _take(self, packed: bytes) -> PeerFault | None:
        """Take what was read; a fault if it ends the connection."""
        envelope = decode(packed)
        if isinstance(envelope, WireFault):
            self.context.tally.refused(envelope.code)
            garbled = envelope != UNKNOWN_KIND
            return LINK_GARBLED.because(envelope.reason) if garbled else None
        self.context.tally.message('in', envelope.message, len(packed))
        if _is_parting(envelope.message):
            return LINK_PARTED
        self._dispatch(envelope)
        return None

    async def _watch(self) -> PeerFault:
        """Send heartbeats, and notice when none come."""
        clock = self.context.clock
        heartbeat = self.context.cfg.heartbeat
        while True:
            before = clock.now()
            beat = self.context.heartbeat()
            if self._pulse.due(beat):
                self.send(Envelope(beat))
            await clock.sleep(heartbeat)
            now = clock.now()
            if now - before > _PAUSE_FACTOR * heartbeat:
                # This process stood still itself: what peers sent meanwhile
                # waits unread. Counted as their silence, every connection
                # would end at once and every peer be called dead.
                self.context.tally.paused()
                self.heard_at = now
            if now - self.heard_at > self.context.cfg.gap_timeout:
                return LINK_SILENT.because('nothing came for too long')
            self._asks.expire(now)
            # An answer may take longer than an unused link is kept, and
            # would be cut off by the parting from it.
            if self._asks.are_open or self._incoming.is_answering:
                self.used_at = now

    def _dispatch(self, envelope: Envelope) -> None:
        message = envelope.message
        if envelope.answers:
            if not self._asks.answer(envelope.answers, message):
                self.context.tally.dropped('late_answer')
        elif envelope.ask:
            self.used_at = self.context.clock.now()
            if not self._incoming.ask(envelope):
                self.context.tally.refused('busy')
        elif not self._incoming.tell(message):
            self.context.tally.dropped('inbox_full')


def _end(stream: IOStream, tasks: list[asyncio.Task]) -> None:
    stream.close()
    for task in tasks:
        task.cancel()


def _ended_by(fault: WireFault) -> PeerFault:
    ended = LINK_CLOSED if fault == CLOSED else LINK_GARBLED
    return ended.because(fault.reason)


def _is_parting(message: Message) -> bool:
    return isinstance(message, Refused) and message.code == PARTED
