"""One request's answer in progress, which duplicates of it can join."""

import abc
import asyncio
from collections.abc import Callable

import attrs

from balsamreach.requests.body import Body
from balsamreach.requests.end_mark import EndMark
from balsamreach.requests.identity import RequestId


class Output(abc.ABC):
    """Takes the checked answer of a target."""

    status: int

    @property
    def backlog(self) -> int:
        """Bytes that wait for the caller to take them."""
        return 0

    @abc.abstractmethod
    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set the head; called once."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Add to the body."""


class Sink(abc.ABC):
    """Where one caller's copy of an answer goes."""

    @property
    def backlog(self) -> int:
        """Bytes that wait for the caller to take them."""
        return 0

    @abc.abstractmethod
    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of the answer."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Take the next bytes of the body."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Break off, since the caller is too far behind."""


@attrs.frozen
class End:
    """How an answer ended.

    Parameters
    ----------
    whole : bool
        Whether every byte of the target's answer is in it.
    fault : object
        The dispatch fault where it is not whole.
    """

    whole: bool
    fault: object = None


@attrs.define(eq=False)
class Answer(Output):
    """One request's answer while it is made and for a while after.

    Parameters
    ----------
    req : RequestId
        The request it answers; no other caller is ever attached to it.
    body : Body
        What has come of it.
    idempotent : bool
        Whether the request may run again after it failed.
    billed : bool
        Whether this router has billed the request.
    status : int
        HTTP status, 0 until the head has come.
    copied : bool
        Whether it is being fetched from another router.
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
    copied: bool = False
    on_start: Callable[[dict[str, str]], None] | None = None
    _sinks: list[Sink] = attrs.field(factory=list)
    _mark: EndMark = attrs.field(factory=EndMark)
    _end: asyncio.Future = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._end = asyncio.get_running_loop().create_future()

    @property
    def end(self) -> End | None:
        """How it ended; None while it goes on."""
        return self._end.result() if self._end.done() else None

    @property
    def joinable(self) -> bool:
        """Whether a duplicate can still get all of it."""
        return self.body.whole

    @property
    def listeners(self) -> int:
        """How many callers are attached."""
        return len(self._sinks)

    @property
    def backlog(self) -> int:
        """Bytes that wait for the fastest of the callers attached."""
        return min((sink.backlog for sink in self._sinks), default=0)

    def attach(self, sink: Sink, *, from_now: bool = False) -> None:
        """Send a caller what there is so far and then the rest.

        Parameters
        ----------
        sink : Sink
            Where to send it.
        from_now : bool
            Whether to leave out what there is so far.
        """
        if self.status and not from_now:
            sink.start(self.status, self.headers)
        if self.body.size and not from_now:
            sink.write(self.body.read(0))
        self._sinks.append(sink)

    def detach(self, sink: Sink) -> None:
        """Stop sending to a caller that went away."""
        if sink in self._sinks:
            self._sinks.remove(sink)

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set the head; called once."""
        self.status = status
        self.headers = headers
        if self.on_start is not None:
            self.on_start(headers)
        for sink in self._sinks:
            sink.start(status, headers)

    def write(self, chunk: bytes) -> None:
        """Add to the body; the end mark of a stream waits for the end."""
        passed = self._mark.hold(chunk, self.headers)
        if passed:
            self._pass(passed)

    def finish(self, end: End, now: float) -> None:
        """End the answer; called once."""
        if end.whole and self._mark.held:
            self._pass(self._mark.held)
        self.ended_at = now
        self._end.set_result(end)

    async def wait(self) -> End:
        """Return how the answer ended, once it has."""
        return await asyncio.shield(self._end)

    def _pass(self, chunk: bytes) -> None:
        self.body.write(chunk)
        for sink in self._sinks:
            sink.write(chunk)
        if not self.body.whole:
            self._cut_slow()
            self.body.clear()

    def _cut_slow(self) -> None:
        # Reading from the target pauses only while all callers are behind.
        # One that joined and reads slowly would otherwise have a long answer
        # pile up for it. It would show as a router that grows while its load
        # stands still.
        most = self.body.room.each
        for sink in tuple(self._sinks):
            if sink.backlog > most:
                self._sinks.remove(sink)
                sink.cut()
