"""Checks a target's answer on its way into the caller's answer."""

import json
import re
from collections.abc import Callable
from typing import Any

import attrs

from balsamreach.dispatch import faults
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.upstream import Intake
from balsamreach.requests.answers import Output

_EVENT_END = b'\n\n'
_DONE = b'data: [DONE]'
# Figures, that is, and not the null that many engines put into every event
# but the last. Inside a text the quotes would be escaped.
_USAGE = re.compile(rb'"usage"(?!\s*:\s*null)')
_DATA = b'data:'
_FIRST_FAILURE = 500
_RESUMED = 200
#: Bytes a caller may be behind before the target is read no further.
_BACKLOG_LIMIT = 256 * 1024
#: An event longer than this is not waited for.
_LARGEST_EVENT = 4 * 1024 * 1024
_NOT_RUN_HEADER = 'x-not-run'
_ATTEMPT_HEADER = 'x-attempt-id'
#: Names the generation that answers a request.
GENERATION_HEADER = 'x-engine-request'
_PASSED_HEADERS = (
    'cache-control',
    'content-disposition',
    'content-encoding',
    'content-language',
    'content-type',
    'etag',
    'last-modified',
    'location',
    'retry-after',
    GENERATION_HEADER,
)
#: A plain answer longer than this is passed on as it comes.
_LARGEST_PLAIN = 1024 * 1024
#: Events of a stream that may carry no token: the first and the last one of
#: each choice, the usage figures and the end mark.
_MARK_EVENTS = 300


@attrs.frozen
class Usage:
    """Tokens a target says a request used."""

    prompt: int
    completion: int

    @property
    def total(self) -> int:
        """Tokens to bill."""
        return self.prompt + self.completion


class Reply(Intake):
    """An answer being taken in; its subclasses know when it is whole.

    Parameters
    ----------
    answer : Output
        Where checked bytes go.
    attempt_id : str
        The attempt that this answer must belong to.

    Attributes
    ----------
    on_first : list of callable
        Called once as the first bytes come that may go to the caller.
    on_halt : callable or None
        Called where no more of the answer is wanted.
    halted : DispatchFault or None
        Why no more of it is wanted.
    declined : bool
        Whether the target says that it did not run the request.
    """

    def __init__(self, answer: Output, attempt_id: str) -> None:
        super().__init__()
        self.on_halt: Callable[[], None] | None = None
        self.halted: DispatchFault | None = None
        self.on_first: list[Callable[[], None]] = []
        self.answer = answer
        self.attempt_id = attempt_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.events = 0
        self.foreign = False
        self.declined = False
        self._passes = False

    @property
    def full(self) -> bool:
        """Whether every caller attached is far behind."""
        # A caller that reads slowly, or not at all without closing, would
        # have its whole answer pile up in its connection's buffer.
        return self.answer.backlog > _BACKLOG_LIMIT

    @property
    def generation(self) -> str:
        """The engine's name for the generation, empty if not known."""
        return self.headers.get(GENERATION_HEADER, '')

    def halt(self, fault: DispatchFault) -> None:
        """Take no more of the answer."""
        self.halted = fault
        self._passes = False
        if self.on_halt is not None:
            self.on_halt()

    def close(self) -> None:
        """End the attempt; what comes late is dropped."""
        super().close()
        self._passes = False
        self.on_halt = None

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head; an answer to another attempt is dropped."""
        self.status = status
        self.headers = headers
        self.declined = headers.get(_NOT_RUN_HEADER) == 'true'
        # A target that mixes up its connections would hand one caller's
        # answer to another. The echoed attempt shows it; nothing of such an
        # answer is passed on.
        echoed = headers.get(_ATTEMPT_HEADER, self.attempt_id)
        self.foreign = echoed != self.attempt_id
        self._passes = not (self.foreign or self.closed or self._withheld())

    def write(self, chunk: bytes) -> None:
        """Take bytes of the body unless they are not for this caller."""
        if not self._passes:
            return
        while self.on_first:
            self.on_first.pop()()
        self._take(chunk)

    def whole(self) -> bool:
        """Return whether the answer has its end mark, or needs none."""
        return True

    def usage(self) -> Usage | None:
        """Return the target's usage figures, if it gave any."""
        return None

    def _withheld(self) -> bool:
        return self.declined or is_failure(self.status)

    def _open(self, length: int = 0) -> None:
        if self.answer.status == 0:
            passed = {
                name: self.headers[name]
                for name in _PASSED_HEADERS
                if name in self.headers
            }
            # With its length named, a caller notices an answer cut short.
            if length:
                passed['content-length'] = str(length)
            self.answer.start(self.status, passed)

    def _take(self, chunk: bytes) -> None:
        self._open()
        self.answer.write(chunk)


class PlainReply(Reply):
    """An answer that is passed on once all of it is here.

    Parameters
    ----------
    answer, attempt_id
        As in `Reply`.
    checked : bool
        Whether a JSON body must be one that can be read.
    """

    def __init__(
        self,
        answer: Output,
        attempt_id: str,
        *,
        checked: bool = False,
    ) -> None:
        super().__init__(answer, attempt_id)
        self._checked = checked
        self._parts: list[bytes] = []
        self._size = 0

    def whole(self) -> bool:
        """Return whether a JSON body of an engine can be read."""
        kind = self.headers.get('content-type', '')
        if not self._checked or not kind.startswith('application/json'):
            return True
        return self.answer.status != 0 or self._read() is not None

    def usage(self) -> Usage | None:
        """Return the usage figures of a JSON body."""
        return read_usage(self._read())

    def deliver(self) -> None:
        """Pass the whole answer on."""
        body = b''.join(self._parts)
        self._open(len(body))
        if body:
            self.answer.write(body)

    def _withheld(self) -> bool:
        # The body of a plain service's own error is passed on in the end.
        return self.declined

    def _take(self, chunk: bytes) -> None:
        self._size += len(chunk)
        self._parts.append(chunk)
        # A long answer would take as much memory as its target likes. What
        # has been passed on can't be had from another target, though.
        if self._size > _LARGEST_PLAIN and not is_failure(self.status):
            self._open()
            self.answer.write(b''.join(self._parts))
            self._parts.clear()

    def _read(self) -> Any:
        return _read_json(b''.join(self._parts))


class StreamReply(Reply):
    """A stream of server-sent events, passed on event by event.

    Parameters
    ----------
    answer, attempt_id
        As in `Reply`.
    wants_usage : bool
        Whether the caller asked for the usage event.
    most_tokens : int
        Completion tokens that are reserved; 0 for no bound.
    received : int
        Events that came, those included that are not passed on.
    """

    def __init__(
        self,
        answer: Output,
        attempt_id: str,
        *,
        wants_usage: bool,
        most_tokens: int = 0,
    ) -> None:
        super().__init__(answer, attempt_id)
        self.received = 0
        self._wants_usage = wants_usage
        self._most_tokens = most_tokens
        self._tail = b''
        self._done = False
        self._torn = False
        self._usage: Usage | None = None

    def whole(self) -> bool:
        """Return whether the end mark came, with no part after it."""
        ended = self._done and not self._torn
        return ended or not self._is_stream()

    def usage(self) -> Usage | None:
        """Return the figures of the usage event."""
        return self._usage

    def _is_stream(self) -> bool:
        kind = self.headers.get('content-type', '')
        return kind.startswith('text/event-stream')

    def _take(self, chunk: bytes) -> None:
        if not self._is_stream():
            super()._take(chunk)
            return
        received = self._tail + chunk if self._tail else chunk
        # Only whole events are passed on, so that a stream that breaks in
        # the middle of one can be resumed or ended with an error event.
        cut = received.rfind(_EVENT_END) + len(_EVENT_END)
        if cut < len(_EVENT_END):
            self._hold(received)
            return
        self._tail = received[cut:]
        events = received[:cut]
        self.received += events.count(_EVENT_END)
        if self._is_overrun():
            self.halt(faults.RESERVATION_SPENT)
            return
        if _USAGE.search(events) or _DONE in events:
            events = self._look_closer(events)
        self.events += events.count(_EVENT_END)
        if events:
            self._open()
            self.answer.write(events)

    def _hold(self, received: bytes) -> None:
        # A target that never ends its event would fill the memory. What is
        # dropped here is missed as the end mark, so the answer is broken.
        self._torn = self._torn or len(received) > _LARGEST_EVENT
        self._tail = b'' if self._torn else received

    def _is_overrun(self) -> bool:
        # Nothing beyond the reservation was set aside: a target that goes on
        # and on would spend what the team has not paid for.
        most = self._most_tokens
        return 0 < most < self.received - _MARK_EVENTS

    def _look_closer(self, events: bytes) -> bytes:
        passed = [
            event + _EVENT_END
            for event in events.split(_EVENT_END)[:-1]
            if self._pass_on(event)
        ]
        return b''.join(passed)

    def _pass_on(self, event: bytes) -> bool:
        if event.startswith(_DONE):
            self._done = True
            return True
        body = _read_json(event.removeprefix(_DATA))
        usage = read_usage(body)
        if usage is None:
            return True
        self._usage = usage
        return self._wants_usage or bool(body.get('choices'))


class ResumedReply(StreamReply):
    """The rest of a stream, after the connection that brought it broke.

    Parameters
    ----------
    earlier : StreamReply
        What came before.
    generation : str
        The engine's name for the generation.
    lost : bool
        Whether the engine no longer has it.
    """

    def __init__(self, earlier: StreamReply, generation: str) -> None:
        super().__init__(
            earlier.answer,
            earlier.attempt_id,
            wants_usage=earlier._wants_usage,
            most_tokens=earlier._most_tokens,
        )
        self.received = earlier.received
        self.events = earlier.events
        self.lost = False
        self._generation = generation
        self._usage = earlier.usage()

    @property
    def generation(self) -> str:
        """The engine's name for the generation."""
        return self._generation

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of the resumed stream."""
        self.status = status
        self.headers = headers
        # The attempt that is echoed is the one that began the generation,
        # maybe another router's; the generation's name is what must match.
        named = headers.get(GENERATION_HEADER, self._generation)
        self.foreign = named != self._generation
        self.lost = status != _RESUMED or not self._is_stream()
        self._passes = not (self.foreign or self.lost or self.closed)


def is_failure(status: int) -> bool:
    """Return whether a target's status means that it failed."""
    return status >= _FIRST_FAILURE


def read_usage(body: Any) -> Usage | None:
    """Return the usage figures of a chat completion or chunk.

    Parameters
    ----------
    body : object
        The JSON of the answer or event.

    Returns
    -------
    Usage or None
        None where figures are missing or are no whole numbers.
    """
    usage = body.get('usage') if isinstance(body, dict) else None
    if not isinstance(usage, dict):
        return None
    prompt = usage.get('prompt_tokens')
    completion = usage.get('completion_tokens')
    if isinstance(prompt, int) and isinstance(completion, int):
        return Usage(prompt, completion)
    return None


def _read_json(text: bytes) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return None
