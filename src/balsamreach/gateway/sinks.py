"""Writes an answer to a caller's connection as it comes in."""

import asyncio
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream, SSLIOStream
from tornado.web import RequestHandler

from balsamreach.clock import Clock
from balsamreach.requests.answers import Sink

_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class HandlerSink(Sink):
    """Feeds one caller's copy of an answer into its HTTP response.

    The first bytes go the handler's way, together with the head. The rest
    is framed here and goes straight to the connection: at one token a
    chunk the handler's own way costs more than all other work on it.

    Parameters
    ----------
    handler : RequestHandler
        Writes the response.
    clock : Clock
        Tells when the first byte went out.
    """

    def __init__(self, handler: RequestHandler, clock: Clock) -> None:
        self._handler = handler
        self._clock = clock
        self.first_at: float = 0
        self._stream: IOStream | None = None
        self._waiting: list[bytes] = []
        self._waiting_size = 0
        self._writing = False
        self._has_length = False
        self.started = False

    @property
    def backlog(self) -> int:
        """Bytes that wait for the caller to take them."""
        return self._waiting_size

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers; they go out with the first bytes."""
        self.started = True
        self._has_length = 'content-length' in headers
        self._handler.set_status(status)
        for name, text in headers.items():
            self._handler.set_header(name, text)

    def write(self, chunk: bytes) -> None:
        """Write bytes out at once, or when those before them are out."""
        if self._stream is None:
            self._write_first(chunk)
            return
        if not chunk:
            # An empty chunk would be read as the end of the answer.
            return
        framed = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        if self._writing:
            self._waiting.append(framed)
            self._waiting_size += len(framed)
        else:
            self._send(framed)

    def abort(self) -> None:
        """Close the connection of a caller that reads too slowly."""
        connection = self._handler.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.stream.close()

    def flush(self) -> None:
        """Hand over what waits, so that the handler can end the answer."""
        if self._waiting and self._stream is not None:
            framed = self._take_waiting()
            self._stream.write(framed)

    def _write_first(self, chunk: bytes) -> None:
        if not self.first_at:
            self.first_at = self._clock.now()
        self._handler.write(chunk)
        written = self._handler.flush()
        connection = self._handler.request.connection
        transforms = self._handler.application.transforms
        if not isinstance(connection, HTTP1Connection) or transforms:
            return
        if self._has_length or not _is_chunked(self._handler):
            return
        self._stream = connection.stream
        # Otherwise a small chunk waits until the caller has acknowledged
        # the one before it.
        if not self._stream.closed():
            self._stream.set_nodelay(True)
        self._write_on_after(written)

    def _send(self, framed: bytes) -> None:
        stream = self._stream
        if stream is None or stream.closed():
            return
        sent = _send_now(stream, framed)
        if sent < len(framed):
            self._write_on_after(stream.write(framed[sent:]))

    def _write_on_after(self, written: asyncio.Future[None]) -> None:
        # One write at a time is in the stream's own buffer. The rest waits
        # here, where it is counted, so that reading from the target pauses.
        if not written.done():
            self._writing = True
            written.add_done_callback(self._write_on)

    def _write_on(self, written: asyncio.Future[None]) -> None:
        self._writing = False
        # Where the caller went away, the handler is told by its connection.
        if written.cancelled() or written.exception() is not None:
            self._take_waiting()
        elif self._waiting:
            self._send(self._take_waiting())

    def _take_waiting(self) -> bytes:
        framed = b''.join(self._waiting)
        self._waiting.clear()
        self._waiting_size = 0
        return framed


def _is_chunked(handler: RequestHandler) -> bool:
    """Return whether the connection sends the body in chunks."""
    req = handler.request
    has_body = req.method != 'HEAD' and handler.get_status() not in _BODILESS
    return has_body and req.version == 'HTTP/1.1'


def _send_now(stream: IOStream, framed: bytes) -> int:
    # A TLS layer that was once given bytes must be given the same again;
    # the stream sees to that itself.
    if isinstance(stream, SSLIOStream) or stream.writing():
        return 0
    try:
        return stream.write_to_fd(memoryview(framed)) or 0
    except BlockingIOError:
        return 0
    except OSError:
        stream.close(exc_info=True)
        return len(framed)
