"""Frames on a connection: a length of four bytes, then so many bytes."""

from tornado.iostream import IOStream, StreamClosedError

from balsamreach.wire.faults import CLOSED, TOO_LARGE, WireFault

#: Bytes of the length before each frame.
HEAD = 4


def frame(packed: bytes) -> bytes:
    """Return the bytes with their length before them."""
    return len(packed).to_bytes(HEAD) + packed


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
    head = await _read(stream, HEAD)
    if isinstance(head, WireFault):
        return head
    size = int.from_bytes(head)
    if size > limit:
        return TOO_LARGE.because(f'frame of {size} bytes, {limit} are taken')
    return await _read(stream, size)


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
