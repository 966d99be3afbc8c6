"""Checks streams of server-sent events before passing them on."""

import re

from balsamreach.dispatch import faults
from balsamreach.dispatch.replies import GENERATION_HEADER, Reply
from balsamreach.dispatch.usage import Usage, read_json, read_usage
from balsamreach.requests.answers import Output

_EVENT_END = b'\n\n'
_DONE = b'data: [DONE]'
# Matches usage figures, but not the null that many engines put into every
# event except the last. Quotes inside generated text are escaped.
_USAGE_FIELD = re.compile(rb'"usage"(?!\s*:\s*null)')
_DATA = b'data:'
_HTTP_OK = 200
#: Longer events are dropped.
_MAX_EVENT_BYTES = 4 * 1024 * 1024
#: Upper bound for events of a stream that carry no token: the first and the
#: last event of each choice, the usage event and the end marker.
_MAX_EVENTS_WITHOUT_TOKENS = 300


class StreamReply(Reply):
    """A stream of server-sent events, passed on event by event.

    Parameters
    ----------
    answer, attempt_id
        As in `Reply`.
    wants_usage : bool
        Whether the caller asked for the usage event.
    max_tokens : int
        Reserved completion tokens; 0 for no limit.

    Attributes
    ----------
    received_count : int
        Events received, including those not passed on.
    """

    def __init__(
        self,
        answer: Output,
        attempt_id: str,
        *,
        wants_usage: bool,
        max_tokens: int = 0,
    ) -> None:
        super().__init__(answer, attempt_id)
        self.received_count = 0
        self.wants_usage = wants_usage
        self.max_tokens = max_tokens
        self._partial_event = bytearray()
        self._done = False
        self._dropped_event = False
        self._usage: Usage | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes of an event that is not complete."""
        return len(self._partial_event)

    def discard(self, reason: str) -> None:
        """Free the incomplete event."""
        super().discard(reason)
        self._partial_event.clear()

    def is_complete(self) -> bool:
        """Return whether the end marker came and no event was dropped."""
        ended = self._done and not self._dropped_event
        return ended or not self._is_stream()

    def usage(self) -> Usage | None:
        """Return the usage of the usage event."""
        return self._usage

    def _is_stream(self) -> bool:
        kind = self.headers.get('content-type', '')
        return kind.startswith('text/event-stream')

    def _forward(self, chunk: bytes) -> None:
        if not self._is_stream():
            super()._forward(chunk)
            return
        # Only complete events are passed on, so that a stream that breaks
        # inside an event can be resumed or ended with an error event.
        events = self._take_events(chunk)
        if not events:
            return
        self.received_count += events.count(_EVENT_END)
        if self._exceeds_reservation():
            self.halt(faults.RESERVATION_SPENT)
            return
        if _USAGE_FIELD.search(events) or _DONE in events:
            events = self._filter_events(events)
        self.event_count += events.count(_EVENT_END)
        if events:
            self._start_answer()
            self.answer.write(events)

    def _take_events(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes, and keep the rest."""
        partial = self._partial_event
        # A target may send an event in pieces of a few bytes. Looking at all
        # of the event with each would block the router for minutes.
        searched = max(0, len(partial) - len(_EVENT_END) + 1)
        partial += chunk
        cut = partial.rfind(_EVENT_END, searched) + len(_EVENT_END)
        if cut < len(_EVENT_END):
            self._limit_partial()
            return b''
        events = bytes(partial[:cut])
        del partial[:cut]
        return events

    def _limit_partial(self) -> None:
        # A target that never ends its event would exhaust the memory. The
        # dropped bytes could contain the end marker, so the answer counts as
        # broken.
        if self._dropped_event or len(self._partial_event) > _MAX_EVENT_BYTES:
            self._dropped_event = True
            self._partial_event.clear()

    def _exceeds_reservation(self) -> bool:
        # Only the reserved tokens are set aside: a target that does not stop
        # would spend tokens that the team has not paid for.
        limit = self.max_tokens
        return 0 < limit < self.received_count - _MAX_EVENTS_WITHOUT_TOKENS

    def _filter_events(self, events: bytes) -> bytes:
        passed = [
            event + _EVENT_END
            for event in events.split(_EVENT_END)[:-1]
            if self._should_forward(event)
        ]
        return b''.join(passed)

    def _should_forward(self, event: bytes) -> bool:
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
    """The rest of a stream after its connection broke.

    Parameters
    ----------
    earlier : StreamReply
        What was received before.
    generation : str
        The engine's identifier of the generation.

    Attributes
    ----------
    is_gone : bool
        Whether the engine no longer has the generation.
    """

    def __init__(self, earlier: StreamReply, generation: str) -> None:
        super().__init__(
            earlier.answer,
            earlier.attempt_id,
            wants_usage=earlier.wants_usage,
            max_tokens=earlier.max_tokens,
        )
        self.received_count = earlier.received_count
        self.event_count = earlier.event_count
        self.is_gone = False
        self._generation = generation
        self._usage = earlier.usage()

    @property
    def generation(self) -> str:
        """The engine's identifier of the generation."""
        return self._generation

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Receive the head of the resumed stream."""
        self.status = status
        self.headers = headers
        # The echoed attempt is the one that started the generation, which may
        # be another router's. So the generation is compared instead.
        named = headers.get(GENERATION_HEADER, self._generation)
        if named != self._generation:
            self.problem = 'stream of another generation'
        self.is_gone = status != _HTTP_OK or not self._is_stream()
        self._is_forwarding = not (self.problem or self.is_gone or self.closed)
        self._report_head()
