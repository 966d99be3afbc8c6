"""Simulated HTTP target from the target list of the users' platform.

It answers every request: with an event stream if the request has the header
``Token-Counts``, otherwise with a single body. A stream goes on after the event
that ``Last-Event-Id`` names, and each event holds the target's release. The
settings can be changed at any time.
"""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from http import HTTPStatus

import attrs
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import Application, RequestHandler

from balsamreach.clock import Clock
from balsamreach.standins.handlers import log_nothing

#: Header with the router that a caller chose; routers forward it.
SENDER = 'X-Sender'
#: Seconds for which a target that fell over is down.
_DOWN_S = 1.0
#: Closes a socket by a reset, as a host does whose process has been killed.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that the target received.

    Parameters
    ----------
    sender : str
        Router that sent the request.
    request_id : str
        Value of the header ``Attempt-Id``.
    at : float
        Time of arrival in monotonic seconds.
    ran : bool
        Whether the target ran the request.
    retry_after : float
        ``Retry-After`` of the rejection in seconds; 0 for none.
    shared_parts : frozenset of str
        Parts of its prompt, without the last one.
    """

    sender: str
    request_id: str
    at: float
    ran: bool = True
    retry_after: float = 0
    shared_parts: frozenset[str] = frozenset()


@attrs.define(eq=False, kw_only=True)
class ListedTarget:
    """A target and the requests that it received.

    Parameters
    ----------
    target_id : str
        Identity of this incarnation of the target.
    clock : Clock
        Clock for arrival times.
    slots : int
        Maximum number of concurrent requests; others are rejected.
    work : float
        Seconds per plain request, or per event of a stream.
    events : int
        Number of events of a stream.
    release : str
        Release of the target's software.
    breaks_after : int
        Event of a stream after which the target closes the connection, unless
        the stream began later; 0 for none.
    pause : float
        Seconds for which a stream stands still once.
    pauses_after : int
        Event of a stream after which it does; 0 for before its head.
    resumed : asyncio.Event or None
        If set, a stream stands still until this event instead.
    awake : asyncio.Event
        Cleared while the target, with all its requests, stands still.
    leaving : bool
        Whether the responses say that the target is leaving.
    rejects : bool
        Whether every request is rejected.
    retry_after : float
        ``Retry-After`` of a rejection in seconds; 0 for none.
    max_rejections : int
        Rejections in a second beyond which the target falls over, as each of
        its responses says; 0 for no bound.
    fallen_at : list of float
        Monotonic seconds at which it fell over. It closes all connections
        for a while then.
    crashing_parts : set of str
        Parts of prompts that crash the target when it begins to answer.
    crash_delay : float
        Seconds from the arrival of such a request to the crash.
    on_crash : callable
        Called with the target when it crashes.
    delimited : bool
        Whether streams are sent in chunks; otherwise they end with their
        connection.
    streams : set of IOStream
        Connections of the requests in progress.
    """

    target_id: str
    clock: Clock
    slots: int = 64
    work: float = 0
    events: int = 1
    release: str = 'v1'
    breaks_after: int = 0
    pause: float = 0
    pauses_after: int = 0
    resumed: asyncio.Event | None = None
    awake: asyncio.Event = attrs.field(factory=asyncio.Event)
    leaving: bool = False
    rejects: bool = False
    retry_after: float = 0
    max_rejections: int = 0
    fallen_at: list[float] = attrs.field(factory=list)
    crashing_parts: set[str] = attrs.field(factory=set)
    crash_delay: float = 0
    on_crash: Callable[['ListedTarget'], None] | None = None
    delimited: bool = True
    streams: set[IOStream] = attrs.field(factory=set)
    running: int = 0
    arrivals: list[Arrival] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start with answering enabled."""
        self.awake.set()

    @property
    def full(self) -> bool:
        """Whether the next request is rejected."""
        return self.rejects or self.running >= self.slots

    @property
    def is_down(self) -> bool:
        """Whether it has fallen over and is not back yet."""
        return self._has_fallen_since(self.clock.now() - _DOWN_S)

    def record_rejection(self) -> None:
        """Fall over if there were too many rejections in the last second."""
        since = self.clock.now() - 1
        rejections = sum(
            not arrival.ran and arrival.at >= since for arrival in self.arrivals
        )
        if 0 < self.max_rejections < rejections:
            self.fallen_at.append(self.clock.now())

    async def stand_still(self, seconds: float) -> None:
        """Answer nothing for some seconds, but keep all connections."""
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()

    async def take_time(self) -> None:
        """Wait until a request, or an event of a stream, is done."""
        await asyncio.sleep(self.work)
        await self.awake.wait()

    def break_connections(self, *, by_reset: bool) -> None:
        """Close the connections of all requests in progress.

        Parameters
        ----------
        by_reset : bool
            Whether each is reset, and not closed in order.
        """
        for stream in tuple(self.streams):
            if by_reset and stream.socket is not None:
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            stream.close()

    def crashes_on(self, shared_parts: Iterable[str]) -> bool:
        """Return whether a prompt with these parts crashes the target."""
        return not self.crashing_parts.isdisjoint(shared_parts)

    def _has_fallen_since(self, since: float) -> bool:
        return any(at >= since for at in self.fallen_at)


class _Handler(RequestHandler):
    def initialize(self, target: ListedTarget) -> None:
        """Set the target."""
        self.target = target

    async def prepare(self) -> None:
        """Handle any method and path."""
        await self.target.awake.wait()
        if self.target.is_down:
            self.request.connection.stream.close()
            return
        self._set_notices()
        if self.request.headers['Expect-Instance'] != self.target.target_id:
            self.set_status(HTTPStatus.MISDIRECTED_REQUEST)
            self.finish()
            return
        self.set_header('Attempt-Id', self.request.headers['Attempt-Id'])
        if self.target.full:
            self._reject()
            return
        await self._run_counted()

    async def _run_counted(self) -> None:
        self._record_arrival(ran=True)
        stream = self.request.connection.stream
        self.target.running += 1
        self.target.streams.add(stream)
        try:
            await self._run()
        except StreamClosedError:
            self._finished = True
        finally:
            self.target.running -= 1
            self.target.streams.discard(stream)

    def _set_notices(self) -> None:
        if self.target.max_rejections:
            brittle = str(self.target.max_rejections)
            self.set_header('Server-Brittle', brittle)
        if self.target.leaving:
            self.set_header('Server-Leaving', '1')

    def _record_arrival(self, *, ran: bool, retry_after: float = 0) -> None:
        arrival = Arrival(
            sender=self.request.headers.get(SENDER, ''),
            request_id=self.request.headers['Attempt-Id'],
            at=self.target.clock.now(),
            ran=ran,
            retry_after=retry_after,
            shared_parts=self._shared_parts(),
        )
        self.target.arrivals.append(arrival)

    def _reject(self) -> None:
        self._record_arrival(ran=False, retry_after=self.target.retry_after)
        self.target.record_rejection()
        self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.set_header('Not-Executed', '1')
        if self.target.retry_after:
            self.set_header('Retry-After', str(self.target.retry_after))
        self.finish()

    async def _run(self) -> None:
        self.set_header('Response-Stamp', self.target.target_id)
        if 'Token-Counts' not in self.request.headers:
            await self.target.take_time()
            self.finish(f'done {self.request.headers["Attempt-Id"]}')
            return
        if self.target.crashes_on(self._shared_parts()):
            await asyncio.sleep(self.target.crash_delay)
            self.target.on_crash(self.target)
            return
        self.set_header('Content-Type', 'text/event-stream')
        if self.target.delimited:
            await self._send_events()
            self.finish()
            return
        await self._send_undelimited()

    async def _send_events(self) -> None:
        first = int(self.request.headers.get('Last-Event-Id') or 0) + 1
        await self._pause(0)
        for number in range(first, self.target.events + 1):
            await self._send_event(number)
            await self._pause(number)
            if number == self.target.breaks_after:
                self.request.connection.stream.close()
                raise StreamClosedError
            await self.target.take_time()

    async def _pause(self, number: int) -> None:
        if number != self.target.pauses_after:
            return
        if self.target.resumed is None:
            await asyncio.sleep(self.target.pause)
        else:
            await self.target.resumed.wait()

    async def _send_event(self, number: int) -> None:
        self.write(f'id: {number}\ndata: {self.target.release}\n\n')
        await self.flush()

    async def _send_undelimited(self) -> None:
        """Send a stream without a length, whose end is the connection's."""
        lines = [f'{name}: {text}' for name, text in self._headers.get_all()]
        stream = self.detach()
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
        await stream.write(head.encode())
        first = int(self.request.headers.get('Last-Event-Id') or 0) + 1
        for number in range(first, self.target.events + 1):
            event = f'id: {number}\ndata: {self.target.release}\n\n'
            await stream.write(event.encode())
            await self.target.take_time()
        stream.close()

    def _shared_parts(self) -> frozenset[str]:
        parts = self.request.headers.get('Prompt-Prefix', '').split(',')
        return frozenset(part.partition(':')[0] for part in parts[:-1])


def make_listed_target(target: ListedTarget) -> Application:
    """Return the application that serves a target."""
    handler_args = {'target': target}
    return Application(
        [('/.*', _Handler, handler_args)],
        log_function=log_nothing,
    )
