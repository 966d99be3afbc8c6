"""Streams of server-sent events on their way into the caller's answer."""

import re

from balsamreach.dispatch import faults
from balsamreach.dispatch.replies import GENERATION_HEADER, Reply
from balsamreach.dispatch.usage import Usage, read_json, read_usage
from balsamreach.requests.answers import Output

_EVENT_END = b'\n\n'
_DONE = b'data: [DONE]'
# Figures, that is, and not the null that many engines put into every event
# but the last. Inside a text the quotes would be escaped.
_USAGE = re.compile(rb'"usage"(?!\s*:\s*null)')
_DATA = b'data:'
_RESUMED = 200
#: An event longer than this is not waited for.
_LARGEST_EVENT = 4 * 1024 * 1024
#: Events of a stream that may carry no token: the first and the last one of
#: each choice, the usage figures and the end mark.
_MARK_EVENTS = 300


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
        self.wants_usage = wants_usage
        self.most_tokens = most_tokens
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
        most = self.most_tokens
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
        body = read_json(event.removeprefix(_DATA))
        usage = read_usage(body)
        if usage is None:
            return True
        self._usage = usage
        return self.wants_usage or bool(body.get('choices'))


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
            wants_usage=earlier.wants_usage,
            most_tokens=earlier.most_tokens,
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
        self._tell_head()
