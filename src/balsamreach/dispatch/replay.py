"""Compares a second run of a stream with what the caller has already."""

import json
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from balsamreach.requests.answers import Answer, Output

_EVENT_END = b'\n\n'
_DATA = b'data:'
#: Fields that differ between two runs that say the same.
_NAMES = frozenset(('id', 'created', 'system_fingerprint'))


def can_replay(answer: Answer) -> bool:
    """Return whether another run can go on with an answer.

    What was passed on must be here to be compared, and be events.
    """
    kind = answer.headers.get('content-type', '')
    return answer.joinable and kind.startswith('text/event-stream')


@attrs.define(eq=False)
class Replay(Output):
    """Takes a stream from its beginning and passes on what is new.

    Parameters
    ----------
    answer : Answer
        What the caller has already, and where the rest goes.
    on_diverged : callable or None
        Called where the second run says something else than the first one.
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
        """Bytes that wait for the fastest of the callers attached."""
        return self.answer.backlog

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head; the caller has one already."""
        self.status = status
        if not self.answer.status:
            self.answer.start(status, headers)
        elif self.answer.on_start is not None:
            self.answer.on_start(headers)

    def write(self, chunk: bytes) -> None:
        """Take whole events; those that the caller has must be the same."""
        if not self._expected:
            self.answer.write(chunk)
            return
        for event in chunk.split(_EVENT_END)[:-1]:
            self._take(event)

    def _take(self, event: bytes) -> None:
        if self.diverged:
            return
        if not self._expected:
            self.answer.write(event + _EVENT_END)
            return
        # A model may word its second reply differently. Joined to the first
        # one, the caller would get an answer that no run ever gave.
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
    except ValueError:
        return event
    if not isinstance(body, dict):
        return body
    return {name: body[name] for name in body if name not in _NAMES}
