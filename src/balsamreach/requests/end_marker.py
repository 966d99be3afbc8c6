"""Holds back the end marker of a stream until its answer ends."""

from collections.abc import Mapping

import attrs

_END_MARKER = b'data: [DONE]'
_EVENT_END = b'\n\n'


@attrs.define
class EndMarker:
    """The end marker of a stream and what follows it.

    A caller who has received the marker has the complete answer, so it must
    not be sent before the bill is secured. A marker that arrives twice,
    because a stream that broke after it was resumed, is held once.

    Parameters
    ----------
    held : bytes
        Bytes held back.
    """

    held: bytes = b''

    def hold(self, chunk: bytes, headers: Mapping[str, str]) -> bytes:
        """Hold back the marker and return the bytes before it.

        Parameters
        ----------
        chunk : bytes
            Complete events if the answer is a stream of events.
        headers : mapping of str to str
            Headers of the answer, with its content type.
        """
        at = chunk.find(_END_MARKER)
        if at < 0 or not _is_stream(headers):
            return chunk
        # Inside generated text the marker is not an event.
        if at and not chunk.endswith(_EVENT_END, 0, at):
            return chunk
        self.held = chunk[at:]
        return chunk[:at]


def _is_stream(headers: Mapping[str, str]) -> bool:
    return headers.get('content-type', '').startswith('text/event-stream')
