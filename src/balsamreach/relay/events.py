"""Cuts a stream into whole events and keeps them in their order."""

import re

import attrs

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id:[ ]?(\d+)\r?$', re.MULTILINE)
#: Bytes that one event may have; a target that never ends one would fill
#: the memory.
_LARGEST = 1 << 20


@attrs.frozen
class Event:
    """One whole event.

    Parameters
    ----------
    raw : bytes
        Its bytes with the empty line at its end.
    number : int or None
        Its id, None if it has none.
    """

    raw: bytes
    number: int | None


@attrs.define
class EventCutter:
    """Takes the bytes of a stream and gives back whole events.

    A target may die in the middle of an event. Were the part passed on, the
    stream could not be resumed: the rest of that event would follow a head
    that stands already.

    Parameters
    ----------
    last : int
        Number of the last event that was passed on, -1 for none.
    broken : str
        Why the stream can't go on; empty while it can.
    """

    last: int = -1
    broken: str = ''
    _rest: bytes = b''

    def restart(self) -> None:
        """Drop what is left of an event whose target broke off.

        The next target begins with a whole event. Joined to the part that
        the one before left, it would be an event that nobody made.
        """
        self._rest = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that a chunk completes, those seen left out."""
        if self.broken:
            return []
        whole, rest = _split(self._rest + chunk)
        self._rest = rest
        if len(self._rest) > _LARGEST:
            self.broken = 'an event is too large'
        events = []
        for raw in whole:
            event = self._take(raw)
            if event is not None:
                events.append(event)
        return events

    @property
    def partial(self) -> bool:
        """Whether bytes of an event that is not whole wait."""
        return bool(self._rest.strip())

    def _take(self, raw: bytes) -> Event | None:
        match = _ID.search(raw)
        if match is None:
            return Event(raw, None)
        number = int(match[1])
        if number <= self.last:
            # The target began before the place that was asked for.
            return None
        if self.last >= 0 and number != self.last + 1:
            self.broken = f'event {number} came after {self.last}'
            return None
        self.last = number
        return Event(raw, number)


def _split(octets: bytes) -> tuple[list[bytes], bytes]:
    parts = []
    start = 0
    for match in _END.finditer(octets):
        parts.append(octets[start : match.end()])
        start = match.end()
    return parts, octets[start:]
