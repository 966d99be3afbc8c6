"""Messages that came over one connection and wait to be taken."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.waiting import within
from balsamreach.telemetry import hops
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.base import Message
from balsamreach.wire.codec import Envelope
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Refused

#: Takes a member's message and returns the answer to it.
MessageTaker = Callable[[Member, Message], Awaitable[Message]]
#: Most asks of one peer that are worked on at the same time.
MOST_ANSWERING = 256
#: Most told messages of one peer that wait to be taken.
MOST_WAITING = 1000


@attrs.define(eq=False)
class Incoming:
    """Hands messages over without keeping the connection's reader waiting.

    A taker may wait for the platform. If the reader waited with it, it
    would miss heartbeats and call a healthy connection silent, and an ask
    within a taker could never get its answer.

    Parameters
    ----------
    peer : Member
        Who sent the messages.
    take : callable
        Takes them.
    send : callable
        Queues an answer.
    tracing : Tracing or None
        Starts the spans of answers to traced asks.
    """

    peer: Member
    take: MessageTaker
    send: Callable[[Envelope], object]
    tracing: Tracing | None = None
    _told: asyncio.Queue[Message] = attrs.field(
        factory=lambda: asyncio.Queue(MOST_WAITING),
    )
    _answering: set[asyncio.Task] = attrs.field(factory=set)
    _worker: asyncio.Task | None = None

    @property
    def is_answering(self) -> bool:
        """Whether an ask is worked on."""
        return bool(self._answering)

    def tell(self, message: Message) -> bool:
        """Queue a message that asks for no answer; False if full."""
        if self._told.full():
            return False
        self._told.put_nowait(message)
        return True

    def ask(self, envelope: Envelope) -> bool:
        """Work on an ask; False if there are too many, which is told."""
        if len(self._answering) >= MOST_ANSWERING:
            busy = Refused('busy', 'too many asks at the same time')
            self.send(Envelope(busy, answers=envelope.ask))
            return False
        task = asyncio.create_task(self._answer(envelope))
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)
        return True

    def start(self) -> None:
        """Begin to hand over told messages, one after the other."""
        self._worker = asyncio.create_task(self._work())

    async def finish(self, clock: Clock, seconds: float) -> None:
        """Wait until what was told is handed over, but not for ever."""
        await within(clock, seconds, self._told.join())

    def stop(self) -> None:
        """Stop working on messages."""
        for task in self._answering:
            task.cancel()
        if self._worker is not None:
            self._worker.cancel()

    async def _work(self) -> None:
        while True:
            message = await self._told.get()
            await self.take(self.peer, message)
            self._told.task_done()

    async def _answer(self, envelope: Envelope) -> None:
        with hops.continuing(
            self.tracing,
            envelope.traceparent,
            'peer_answer',
            kind=type(envelope.message).__name__,
        ):
            answer = await self.take(self.peer, envelope.message)
        self.send(Envelope(answer, answers=envelope.ask))
