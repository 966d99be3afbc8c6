"""Splits an event stream into complete events and checks their order."""

import re

import attrs

_END = re.compile(rb'\r?\n\r?\n')
#: Maximum size of the end of an event.
_MAX_END_BYTES = 4
_ID = re.compile(rb'^id:[ ]?(\d+)\r?$', re.MULTILINE)
#: Maximum size of an event; a target that never ends one would otherwise
#: exhaust the memory.
_MAX_EVENT_BYTES = 1 << 20


@attrs.frozen
class Event:
    """One complete event.

    Parameters
    ----------
    raw : bytes
        Its bytes, including the empty line at its end.
    event_id : int or None
        Its id, None if it has none.
    """

    raw: bytes
    event_id: int | None


@attrs.define
class EventSplitter:
    """Splits the bytes of a stream into complete events.

    A target may die in the middle of an event. If the first part of it had
    been forwarded, the stream could not be resumed: the caller would get that
    part again with the complete event.

    Parameters
    ----------
    last_id : int
        Id of the last event that was forwarded, -1 for none.
    error : str
        Why the target's stream is invalid; empty while it is not.
    """

    last_id: int = -1
    error: str = ''
    _buffer: bytearray = attrs.field(factory=bytearray)
    _searched: int = 0

    def begin_attempt(self) -> None:
        """Discard the unfinished event and the error of the previous target.

        The next target begins with a complete event. Joined to the part from
        the previous target, it would be an event that no target sent.
        """
        self._buffer.clear()
        self._searched = 0
        self.error = ''

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the new events that a chunk completes."""
        if self.error:
            return []
        self._buffer += chunk
        # A target may send an event in pieces of a few bytes. Looking at all
        # of the event with each would block the router for seconds.
        complete, end = _split(self._buffer, self._searched)
        del self._buffer[:end]
        self._searched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            self.error = 'an event is too large'
        events = []
        for raw in complete:
            event = self._accept(raw)
            if event is not None:
                events.append(event)
        return events

    @property
    def partial_bytes(self) -> int:
        """Bytes of the incomplete event that is buffered."""
        return len(self._buffer)

    @property
    def has_partial(self) -> bool:
        """Whether the first part of an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def _accept(self, raw: bytes) -> Event | None:
        match = _ID.search(raw)
        if match is None:
            return Event(raw, None)
        event_id = int(match[1])
        if event_id <= self.last_id:
            # The target began before the requested event.
            return None
        if self.last_id >= 0 and event_id != self.last_id + 1:
            self.error = f'event {event_id} came after {self.last_id}'
            return None
        self.last_id = event_id
        return Event(raw, event_id)


def _split(stream: bytearray, searched: int) -> tuple[list[bytes], int]:
    """Return the whole events of a stream, and where the last one ends."""
    parts = []
    start = 0
    for match in _END.finditer(stream, searched):
        parts.append(bytes(stream[start : match.end()]))
        start = match.end()
    return parts, start
