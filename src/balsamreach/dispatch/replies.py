"""Checks a target's answer on its way into the caller's answer."""

import json
import re
from collections.abc import Callable
from typing import Any

import attrs

from balsamreach.dispatch.upstream import Intake
from balsamreach.requests.answers import Answer

_EVENT_END = b'\n\n'
_DONE = b'data: [DONE]'
# Figures, that is, and not the null that many engines put into every event
# but the last. Inside a text the quotes would be escaped.
_USAGE = re.compile(rb'"usage"(?!\s*:\s*null)')
_DATA = b'data:'
_OK_LIMIT = 500
#: Bytes a caller may be behind before the target is read no further.
_BACKLOG_LIMIT = 256 * 1024
#: An event longer than this is not waited for.
_LARGEST_EVENT = 4 * 1024 * 1024
_NOT_RUN_HEADER = 'x-not-run'
_ATTEMPT_HEADER = 'x-attempt-id'
_PASSED_HEADERS = ('content-type', 'x-engine-request')


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
    answer : Answer
        Where checked bytes go.
    attempt_id : str
        The attempt that this answer must belong to.

    Attributes
    ----------
    on_first : callable or None
        Called once as the first bytes of the body come.
    """

    def __init__(self, answer: Answer, attempt_id: str) -> None:
        super().__init__()
        self.on_first: Callable[[], None] | None = None
        self.answer = answer
        self.attempt_id = attempt_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.events = 0
        self.foreign = False

    @property
    def declined(self) -> bool:
        """Whether the target says that it did not run the request."""
        return self.headers.get(_NOT_RUN_HEADER) == 'true'

    @property
    def full(self) -> bool:
        """Whether every caller attached is far behind."""
        # A caller that reads slowly, or not at all without closing, would
        # have its whole answer pile up in its connection's buffer.
        return self.answer.backlog > _BACKLOG_LIMIT

    @property
    def failed(self) -> bool:
        """Whether the target answered with a server error."""
        return self.status >= _OK_LIMIT

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head; an answer to another attempt is dropped."""
        self.status = status
        self.headers = headers
        # A target that mixes up its connections would hand one caller's
        # answer to another. The echoed attempt shows it; nothing of such an
        # answer is passed on.
        echoed = headers.get(_ATTEMPT_HEADER, self.attempt_id)
        self.foreign = echoed != self.attempt_id

    def write(self, chunk: bytes) -> None:
        """Take bytes of the body unless they are not for this caller."""
        if self.on_first is not None:
            self.on_first()
            self.on_first = None
        if not (self.foreign or self.failed):
            self._take(chunk)

    def whole(self) -> bool:
        """Return whether the answer has its end mark, or needs none."""
        return True

    def usage(self) -> Usage | None:
        """Return the target's usage figures, if it gave any."""
        return None

    def _open(self) -> None:
        if self.answer.status == 0:
            passed = {
                name: self.headers[name]
                for name in _PASSED_HEADERS
                if name in self.headers
            }
            self.answer.start(self.status, passed)

    def _take(self, chunk: bytes) -> None:
        self._open()
        self.answer.write(chunk)


class PlainReply(Reply):
    """An answer that is passed on once all of it is here."""

    def __init__(self, answer: Answer, attempt_id: str) -> None:
        super().__init__(answer, attempt_id)
        self._parts: list[bytes] = []

    def usage(self) -> Usage | None:
        """Return the usage figures of a JSON body."""
        try:
            body = json.loads(b''.join(self._parts))
        except ValueError:
            return None
        return read_usage(body)

    def deliver(self) -> None:
        """Pass the whole answer on."""
        self._open()
        self.answer.write(b''.join(self._parts))

    def _take(self, chunk: bytes) -> None:
        self._parts.append(chunk)


class StreamReply(Reply):
    """A stream of server-sent events, passed on event by event.

    Parameters
    ----------
    answer, attempt_id
        As in `Reply`.
    wants_usage : bool
        Whether the caller asked for the usage event.
    """

    def __init__(
        self,
        answer: Answer,
        attempt_id: str,
        *,
        wants_usage: bool,
    ) -> None:
        super().__init__(answer, attempt_id)
        self._wants_usage = wants_usage
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
        body = _read_event(event)
        usage = read_usage(body)
        if usage is None:
            return True
        self._usage = usage
        return self._wants_usage or bool(body.get('choices'))


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


def _read_event(event: bytes) -> Any:
    try:
        return json.loads(event.removeprefix(_DATA))
    except ValueError:
        return None
