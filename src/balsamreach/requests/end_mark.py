"""Holds the end mark of a stream back until its answer ends."""

from collections.abc import Mapping

import attrs

_MARK = b'data: [DONE]'
_EVENT_END = b'\n\n'


@attrs.define
class EndMark:
    """The last event of a stream, as far as it has come.

    A caller who has the mark has the whole answer, so its bill must be safe
    by then. One that comes twice, as a stream that broke behind its mark is
    resumed, is held once.

    Parameters
    ----------
    held : bytes
        What is held.
    """

    held: bytes = b''

    def hold(self, chunk: bytes, headers: Mapping[str, str]) -> bytes:
        """Hold the mark, and return what comes before it.

        Parameters
        ----------
        chunk : bytes
            Whole events, if the answer is a stream of them.
        headers : mapping of str to str
            Headers of the answer, which tell that.
        """
        at = chunk.find(_MARK)
        if at < 0 or not _is_stream(headers):
            return chunk
        # Inside a text the mark is no event.
        if at and not chunk.endswith(_EVENT_END, 0, at):
            return chunk
        self.held = chunk[at:]
        return chunk[:at]


def _is_stream(headers: Mapping[str, str]) -> bool:
    return headers.get('content-type', '').startswith('text/event-stream')
