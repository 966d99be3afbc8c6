"""Answers in progress, which a duplicate of the request can join."""

import abc
import asyncio
from collections import OrderedDict

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RequestsSettings
from balsamreach.requests.faults import KEY_REUSED, RequestFault
from balsamreach.requests.identity import RequestId


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
class Answer:
    """One request's answer while it is made and for a while after.

    Parameters
    ----------
    req : RequestId
        The request it answers; no other caller is ever attached to it.
    status : int
        HTTP status, 0 until the head has come.
    chunks : list of bytes
        The body so far.
    """

    req: RequestId
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    chunks: list[bytes] = attrs.field(factory=list)
    size: int = 0
    ended_at: float = 0
    _sinks: list[Sink] = attrs.field(factory=list)
    _end: asyncio.Future = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._end = asyncio.get_running_loop().create_future()

    @property
    def ended(self) -> bool:
        """Whether the answer is complete, whole or not."""
        return self._end.done()

    @property
    def listeners(self) -> int:
        """How many callers are attached."""
        return len(self._sinks)

    @property
    def backlog(self) -> int:
        """Bytes that wait for the fastest of the callers attached."""
        return min((sink.backlog for sink in self._sinks), default=0)

    def attach(self, sink: Sink) -> None:
        """Send a caller what there is so far and then the rest."""
        if self.status:
            sink.start(self.status, self.headers)
        for chunk in self.chunks:
            sink.write(chunk)
        self._sinks.append(sink)

    def detach(self, sink: Sink) -> None:
        """Stop sending to a caller that went away."""
        if sink in self._sinks:
            self._sinks.remove(sink)

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set the head; called once."""
        self.status = status
        self.headers = headers
        for sink in self._sinks:
            sink.start(status, headers)

    def write(self, chunk: bytes) -> None:
        """Add to the body."""
        self.chunks.append(chunk)
        self.size += len(chunk)
        for sink in self._sinks:
            sink.write(chunk)

    def finish(self, end: End, now: float) -> None:
        """End the answer; called once."""
        self.ended_at = now
        self._end.set_result(end)

    async def wait(self) -> End:
        """Return how the answer ended, once it has."""
        return await asyncio.shield(self._end)


@attrs.define
class Answers:
    """Answers in progress and kept ones at one router, by request.

    Parameters
    ----------
    cfg : RequestsSettings
        How long and how much to keep.
    clock : Clock
        Time for keeping.
    """

    cfg: RequestsSettings
    clock: Clock
    kept_bytes: int = 0
    joined: int = 0
    _answers: OrderedDict[tuple[str, str], Answer] = attrs.field(
        factory=OrderedDict,
    )

    def find(self, req: RequestId) -> Answer | RequestFault | None:
        """Return the answer to join, KEY_REUSED, or None for a new request."""
        self._expire()
        known = self._answers.get((req.team, req.key))
        if known is None:
            return None
        if known.req.fingerprint != req.fingerprint:
            return KEY_REUSED.because('the key was used with another body')
        self.joined += 1
        return known

    def open(self, req: RequestId) -> Answer:
        """Make the answer of a new request."""
        answer = Answer(req)
        self._answers[req.team, req.key] = answer
        return answer

    def drop(self, answer: Answer) -> None:
        """Forget an answer, so that the request can be sent again."""
        self._answers.pop((answer.req.team, answer.req.key), None)

    def finish(self, answer: Answer, end: End) -> None:
        """End an answer and keep it for duplicates that come late."""
        answer.finish(end, self.clock.now())
        self.kept_bytes += answer.size
        self._answers.move_to_end((answer.req.team, answer.req.key))
        self._expire()

    def _expire(self) -> None:
        horizon = self.clock.now() - self.cfg.keep_answers
        for key in list(self._answers):
            answer = self._answers[key]
            if not answer.ended:
                continue
            if answer.ended_at > horizon and self._within_bytes():
                break
            self._answers.pop(key)
            self.kept_bytes -= answer.size

    def _within_bytes(self) -> bool:
        return self.kept_bytes <= self.cfg.keep_bytes
