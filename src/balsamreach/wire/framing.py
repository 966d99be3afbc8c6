"""Frames on a connection: a length of four bytes, then so many bytes."""

from collections.abc import Callable

import attrs
from tornado.iostream import IOStream, StreamClosedError

from balsamreach.wire.faults import CLOSED, TOO_LARGE, WireFault

#: Bytes of the length before each frame.
LENGTH_BYTES = 4
#: Most bytes that are taken from a connection at once.
_MOST_READ = 64 * 1024


def frame(packed: bytes) -> bytes:
    """Return the bytes with their length before them."""
    return len(packed).to_bytes(LENGTH_BYTES) + packed


async def read_frame(stream: IOStream, limit: int) -> bytes | WireFault:
    """Read one frame.

    Parameters
    ----------
    stream : IOStream
        The connection.
    limit : int
        Most bytes that the frame may have.

    Returns
    -------
    bytes or WireFault
        What the frame holds; TOO_LARGE before any of it is read, after
        which the connection can only be closed, or CLOSED.
    """
    head = await _read(stream, LENGTH_BYTES)
    if isinstance(head, WireFault):
        return head
    size = int.from_bytes(head)
    if size > limit:
        return TOO_LARGE.because(f'frame of {size} bytes, {limit} are taken')
    return await _read(stream, size)


@attrs.define(eq=False)
class FrameReader:
    """Reads the frames of a connection that has been greeted on.

    It takes whatever has arrived at once. A wait for each length and each
    frame costs more than to read what they hold, and small messages come in
    bunches.

    Parameters
    ----------
    stream : IOStream
        The connection; nobody else reads from it any more.
    limit : int
        Most bytes that a frame may have.
    progress : callable or None
        Is called for all bytes that arrive, of half a frame as well.
    """

    stream: IOStream
    limit: int
    progress: Callable[[], None] | None = None
    _arrived: bytearray = attrs.field(factory=bytearray)

    async def next(self) -> bytes | WireFault:
        """Return the next frame, or a fault as ``read_frame`` does."""
        while True:
            packed = self._cut()
            if packed is not None:
                return packed
            try:
                chunk = await self.stream.read_bytes(_MOST_READ, partial=True)
            except StreamClosedError as exc:
                return CLOSED.because(
                    str(exc.real_error or 'closed by the peer')
                )
            self._arrived += chunk
            if self.progress is not None:
                self.progress()

    def _cut(self) -> bytes | WireFault | None:
        if len(self._arrived) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._arrived[:LENGTH_BYTES])
        if size > self.limit:
            return TOO_LARGE.because(
                f'frame of {size} bytes, {self.limit} are taken',
            )
        end = LENGTH_BYTES + size
        if len(self._arrived) < end:
            return None
        packed = bytes(self._arrived[LENGTH_BYTES:end])
        del self._arrived[:end]
        return packed


async def write(stream: IOStream, octets: bytes) -> WireFault | None:
    """Write bytes and wait until the connection has taken them.

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
