"""Messages received over one connection that wait to be handled."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.timeouts import run_with_timeout
from balsamreach.telemetry import hops
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.base import Message
from balsamreach.wire.codec import Envelope
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Refused

#: Handles a member's message and returns the answer.
MessageHandler = Callable[[Member, Message], Awaitable[Message]]
#: Maximum number of concurrent requests of one peer.
MAX_OPEN_REQUESTS = 256
#: Maximum number of queued one-way messages of one peer.
MAX_QUEUED_MESSAGES = 1000


@attrs.define(eq=False)
class InboundMessages:
    """Runs the handlers without blocking the reader of the connection.

    A handler may wait for the platform. If the reader waited for it, it would
    miss heartbeats and treat a healthy connection as silent, and a request sent
    by a handler would never get its answer.

    Parameters
    ----------
    peer : Member
        The sender.
    handle : callable
        Handles a message.
    send : callable
        Queues an answer.
    tracing : Tracing or None
        Starts the spans of answers to traced requests.
    """

    peer: Member
    handle: MessageHandler
    send: Callable[[Envelope], object]
    tracing: Tracing | None = None
    _queue: asyncio.Queue[Message] = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES),
    )
    _request_tasks: set[asyncio.Task] = attrs.field(factory=set)
    _worker: asyncio.Task | None = None

    @property
    def has_open_requests(self) -> bool:
        """Whether a request is being handled."""
        return bool(self._request_tasks)

    def enqueue(self, message: Message) -> bool:
        """Queue a one-way message; False if the queue is full."""
        if self._queue.full():
            return False
        self._queue.put_nowait(message)
        return True

    def answer_request(self, envelope: Envelope) -> bool:
        """Handle a request in a task.

        Returns
        -------
        bool
            False if there are too many; the peer is told that it was refused.
        """
        if len(self._request_tasks) >= MAX_OPEN_REQUESTS:
            busy = Refused('busy', 'too many requests at the same time')
            self.send(Envelope(busy, answers=envelope.ask))
            return False
        task = asyncio.create_task(self._answer(envelope))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)
        return True

    def start(self) -> None:
        """Start to handle one-way messages, one at a time."""
        self._worker = asyncio.create_task(self._process_queue())

    async def drain(self, clock: Clock, seconds: float) -> None:
        """Wait until the queued messages are handled, with a timeout."""
        await run_with_timeout(clock, seconds, self._queue.join())

    def stop(self) -> None:
        """Cancel all handlers."""
        for task in self._request_tasks:
            task.cancel()
        if self._worker is not None:
            self._worker.cancel()

    async def _process_queue(self) -> None:
        while True:
            message = await self._queue.get()
            await self.handle(self.peer, message)
            self._queue.task_done()

    async def _answer(self, envelope: Envelope) -> None:
        with hops.continuing(
            self.tracing,
            envelope.traceparent,
            'peer_answer',
            kind=type(envelope.message).__name__,
        ):
            answer = await self.handle(self.peer, envelope.message)
        self.send(Envelope(answer, answers=envelope.ask))
