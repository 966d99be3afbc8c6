"""Compares the second run of a stream with what was already sent."""

import json
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from balsamreach.requests.answers import Answer, Output

_EVENT_END = b'\n\n'
_DATA = b'data:'
#: Fields that differ between two runs with the same output.
_VOLATILE_FIELDS = frozenset(('id', 'created', 'system_fingerprint'))


def can_replay(answer: Answer) -> bool:
    """Return whether another run can continue an answer.

    What was passed on must still be held, to be compared, and be a stream of
    events.
    """
    kind = answer.headers.get('content-type', '')
    return answer.joinable and kind.startswith('text/event-stream')


@attrs.define(eq=False)
class Replay(Output):
    """Receives a stream from its beginning and passes on what is new.

    Parameters
    ----------
    answer : Answer
        What the caller already has, and where the rest goes.
    on_diverged : callable or None
        Called if the second run's output differs from the first one's.
    """

    answer: Answer
    on_diverged: Callable[[], None] | None = None
    status: int = 0
    diverged: bool = False
    _expected: deque[Any] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._expected = deque(_read_events(self.answer.body.read(0)))

    @property
    def backlog(self) -> int:
        """Bytes waiting for the fastest of the attached callers."""
        return self.answer.backlog

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Receive the head; usually the caller already has one."""
        self.status = status
        if not self.answer.status:
            self.answer.start(status, headers)
        elif self.answer.on_start is not None:
            self.answer.on_start(headers)

    def write(self, chunk: bytes) -> None:
        """Receive complete events; those already sent must be equal."""
        if not self._expected:
            self.answer.write(chunk)
            return
        for event in chunk.split(_EVENT_END)[:-1]:
            self._take_event(event)

    def _take_event(self, event: bytes) -> None:
        if self.diverged:
            return
        if not self._expected:
            self.answer.write(event + _EVENT_END)
            return
        # A model may word its second reply differently. Appended to the first
        # one, it would make an answer that no run produced.
        if _normalise(event) == self._expected.popleft():
            return
        self.diverged = True
        if self.on_diverged is not None:
            self.on_diverged()


def _read_events(body: bytes) -> list[Any]:
    return [_normalise(event) for event in body.split(_EVENT_END)[:-1]]


def _normalise(event: bytes) -> Any:
    try:
        body = json.loads(event.removeprefix(_DATA))
    except (ValueError, RecursionError):
        return event
    if not isinstance(body, dict):
        return body
    return {name: body[name] for name in body if name not in _VOLATILE_FIELDS}
