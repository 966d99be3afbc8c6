"""The answer of one request, which duplicates of it can join."""

import abc
import asyncio
from collections.abc import Callable

import attrs

from balsamreach.requests.body import Body
from balsamreach.requests.end_marker import EndMarker
from balsamreach.requests.identity import RequestId


class Output(abc.ABC):
    """Receives the checked answer of a target."""

    status: int

    @property
    def backlog(self) -> int:
        """Bytes waiting to be sent to the caller."""
        return 0

    @abc.abstractmethod
    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers; called once."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Append to the body."""


class Sink(abc.ABC):
    """Receives one caller's copy of an answer."""

    @property
    def backlog(self) -> int:
        """Bytes waiting to be sent to the caller."""
        return 0

    @abc.abstractmethod
    def start(self, status: int, headers: dict[str, str]) -> None:
        """Receive the status and headers."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Receive the next bytes of the body."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Abort because the caller is too far behind."""


@attrs.frozen
class AnswerEnd:
    """How an answer ended.

    Parameters
    ----------
    whole : bool
        Whether it contains the target's complete answer.
    fault : object
        The dispatch fault if it is incomplete.
    """

    is_complete: bool
    fault: object = None


@attrs.define(eq=False)
class Answer(Output):
    """A request's answer while it is produced and for some time after.

    Parameters
    ----------
    req : RequestId
        The request; callers of other requests are never attached.
    body : Body
        The body received so far.
    idempotent : bool
        Whether the request may run again after a failure.
    billed : bool
        Whether this router has billed the request.
    status : int
        HTTP status, 0 until the head has been received.
    headers : dict of str to str
        Headers passed on to callers.
    ended_at : float
        Monotonic time of the end in seconds.
    is_copying : bool
        Whether it is being copied from another router.
    on_start : callable or None
        Called with the headers of each head that a target sends.
    """

    req: RequestId
    body: Body
    idempotent: bool = True
    billed: bool = False
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    ended_at: float = 0
    is_copying: bool = False
    on_start: Callable[[dict[str, str]], None] | None = None
    _sinks: list[Sink] = attrs.field(factory=list)
    _end_marker: EndMarker = attrs.field(factory=EndMarker)
    _end: asyncio.Future = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._end = asyncio.get_running_loop().create_future()

    @property
    def end(self) -> AnswerEnd | None:
        """How it ended; None while in progress."""
        return self._end.result() if self._end.done() else None

    @property
    def joinable(self) -> bool:
        """Whether a duplicate can still get all of it."""
        return self.body.is_complete

    @property
    def listeners(self) -> int:
        """Number of attached callers."""
        return len(self._sinks)

    @property
    def backlog(self) -> int:
        """Bytes waiting for the fastest of the attached callers."""
        return min((sink.backlog for sink in self._sinks), default=0)

    def attach(self, sink: Sink, *, from_now: bool = False) -> None:
        """Send a caller the answer so far and then the rest.

        Parameters
        ----------
        sink : Sink
            Receives the caller's copy.
        from_now : bool
            Whether to skip the answer so far.
        """
        if self.status and not from_now:
            sink.start(self.status, self.headers)
        if self.body.size and not from_now:
            sink.write(self.body.read(0))
        self._sinks.append(sink)

    def detach(self, sink: Sink) -> None:
        """Stop sending to a caller that disconnected."""
        if sink in self._sinks:
            self._sinks.remove(sink)

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers and send them to all callers."""
        self.status = status
        self.headers = headers
        if self.on_start is not None:
            self.on_start(headers)
        for sink in self._sinks:
            sink.start(status, headers)

    def write(self, chunk: bytes) -> None:
        """Append to the body; the end marker of a stream is held back."""
        forwarded = self._end_marker.hold(chunk, self.headers)
        if forwarded:
            self._publish(forwarded)

    def finish(self, end: AnswerEnd, now: float) -> None:
        """End the answer; called once."""
        if end.is_complete and self._end_marker.held:
            self._publish(self._end_marker.held)
        self.ended_at = now
        self._end.set_result(end)

    async def wait(self) -> AnswerEnd:
        """Wait for the end and return how the answer ended."""
        return await asyncio.shield(self._end)

    def _publish(self, chunk: bytes) -> None:
        self.body.write(chunk)
        for sink in self._sinks:
            sink.write(chunk)
        if not self.body.is_complete:
            self._cut_slow_sinks()
            self.body.clear()

    def _cut_slow_sinks(self) -> None:
        # Reading from the target pauses only while all callers are behind. A
        # slow caller beside a faster one would have a long answer pile up in
        # its buffer, so the router's memory would grow at constant load.
        limit = self.body.memory.max_bytes_each
        for sink in tuple(self._sinks):
            if sink.backlog > limit:
                self._sinks.remove(sink)
                sink.abort()
