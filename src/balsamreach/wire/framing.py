"""Length-prefixed frames: a length of four bytes, then the payload."""

from collections.abc import Callable

import attrs
from tornado.iostream import IOStream, StreamClosedError

from balsamreach.wire.faults import CLOSED, TOO_LARGE, WireFault

#: Size in bytes of the length prefix of a frame.
LENGTH_BYTES = 4
#: Maximum number of bytes read from a connection at once.
_MAX_READ = 64 * 1024


def frame(packed: bytes) -> bytes:
    """Return the bytes with their length prefix."""
    return len(packed).to_bytes(LENGTH_BYTES) + packed


async def read_frame(stream: IOStream, limit: int) -> bytes | WireFault:
    """Read one frame.

    Parameters
    ----------
    stream : IOStream
        The connection.
    limit : int
        Maximum size of the payload in bytes.

    Returns
    -------
    bytes or WireFault
        The payload, TOO_LARGE or CLOSED. TOO_LARGE is returned before any
        of the payload is read; the caller then has to close the connection.
    """
    head = await _read(stream, LENGTH_BYTES)
    if isinstance(head, WireFault):
        return head
    size = int.from_bytes(head)
    if size > limit:
        return TOO_LARGE.because(
            f'frame of {size} bytes, at most {limit} are taken'
        )
    return await _read(stream, size)


@attrs.define(eq=False)
class FrameReader:
    """Reads the frames of a connection after the greeting.

    It reads all available bytes at once: small messages arrive in batches,
    and awaiting each length and each payload separately costs more than
    decoding them.

    Parameters
    ----------
    stream : IOStream
        The connection; this reader must be the only one that reads from it.
    limit : int
        Maximum size of a payload in bytes.
    progress : callable or None
        Called whenever bytes arrive, even for a part of a frame.
    """

    stream: IOStream
    limit: int
    progress: Callable[[], None] | None = None
    _buffer: bytearray = attrs.field(factory=bytearray)

    async def next(self) -> bytes | WireFault:
        """Return the next payload or a fault, like ``read_frame``."""
        while True:
            packed = self._pop_frame()
            if packed is not None:
                return packed
            try:
                chunk = await self.stream.read_bytes(_MAX_READ, partial=True)
            except StreamClosedError as exc:
                return CLOSED.because(
                    str(exc.real_error or 'closed by the peer')
                )
            self._buffer += chunk
            if self.progress is not None:
                self.progress()

    def _pop_frame(self) -> bytes | WireFault | None:
        if len(self._buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[:LENGTH_BYTES])
        if size > self.limit:
            return TOO_LARGE.because(
                f'frame of {size} bytes, at most {self.limit} are taken',
            )
        end = LENGTH_BYTES + size
        if len(self._buffer) < end:
            return None
        packed = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return packed


async def write(stream: IOStream, octets: bytes) -> WireFault | None:
    """Write bytes and wait until they are flushed to the socket.

    Parameters
    ----------
    stream : IOStream
        The connection.
    octets : bytes
        One or more frames.

    Returns
    -------
    WireFault or None
        CLOSED if the connection broke.
    """
    try:
        await stream.write(octets)
    except StreamClosedError as exc:
        return CLOSED.because(str(exc.real_error or 'closed'))
    return None


async def _read(stream: IOStream, size: int) -> bytes | WireFault:
    try:
        return await stream.read_bytes(size)
    except StreamClosedError as exc:
        return CLOSED.because(str(exc.real_error or 'closed by the peer'))
