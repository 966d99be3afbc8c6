"""Sink that writes an answer to the caller while it is received."""

import asyncio
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream, SSLIOStream
from tornado.web import RequestHandler

from balsamreach.clock import Clock
from balsamreach.requests.answers import Sink

_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class HandlerSink(Sink):
    """Writes an answer into the HTTP response of one caller.

    The handler writes the first bytes together with the head. The rest is
    framed here and written directly to the connection: with one token per
    chunk, writing by the handler costs more than all other work on a chunk.

    Parameters
    ----------
    handler : RequestHandler
        Handler of the caller's request.
    clock : Clock
        Source of the time of the first byte.

    Attributes
    ----------
    first_byte_at : float
        Monotonic seconds at which the first byte was written, 0 before.
    started : bool
        Whether status and headers are set.
    """

    def __init__(self, handler: RequestHandler, clock: Clock) -> None:
        self._handler = handler
        self._clock = clock
        self.first_byte_at: float = 0
        self._stream: IOStream | None = None
        self._queue: list[bytes] = []
        self._queue_size = 0
        self._writing = False
        self._has_length = False
        self.started = False

    @property
    def backlog(self) -> int:
        """Number of bytes that wait for the caller to read."""
        return self._queue_size

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers, which are sent with the first bytes."""
        self.started = True
        self._has_length = 'content-length' in headers
        self._handler.set_status(status)
        for name, text in headers.items():
            self._handler.set_header(name, text)

    def write(self, chunk: bytes) -> None:
        """Write bytes at once, or queue them while a write is pending."""
        if self._stream is None:
            self._write_first(chunk)
            return
        if not chunk:
            # In chunked encoding, an empty chunk ends the body.
            return
        framed = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        if self._writing:
            self._queue.append(framed)
            self._queue_size += len(framed)
        else:
            self._send(framed)

    def abort(self) -> None:
        """Close the connection before the answer is complete."""
        connection = self._handler.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.stream.close()

    def flush(self) -> None:
        """Write all queued bytes, so that the handler can finish."""
        if self._queue and self._stream is not None:
            framed = self._take_queue()
            self._stream.write(framed)

    def _write_first(self, chunk: bytes) -> None:
        if not self.first_byte_at:
            self.first_byte_at = self._clock.now()
        self._handler.write(chunk)
        written = self._handler.flush()
        connection = self._handler.request.connection
        transforms = self._handler.application.transforms
        if not isinstance(connection, HTTP1Connection) or transforms:
            return
        if self._has_length or not _is_chunked(self._handler):
            return
        self._stream = connection.stream
        # Without TCP_NODELAY, a small chunk is delayed until the caller has
        # acknowledged the previous one.
        if not self._stream.closed():
            self._stream.set_nodelay(True)
        self._track_write(written)

    def _send(self, framed: bytes) -> None:
        stream = self._stream
        if stream is None or stream.closed():
            return
        sent = _send_now(stream, framed)
        if sent < len(framed):
            self._track_write(stream.write(framed[sent:]))

    def _track_write(self, written: asyncio.Future[None]) -> None:
        # Only one write at a time is in the stream's buffer. The rest is
        # queued here and counted as backlog, so that reading from the target
        # pauses.
        if not written.done():
            self._writing = True
            written.add_done_callback(self._on_written)

    def _on_written(self, written: asyncio.Future[None]) -> None:
        self._writing = False
        # If the caller disconnected, the connection notifies the handler.
        if written.cancelled() or written.exception() is not None:
            self._take_queue()
        elif self._queue:
            self._send(self._take_queue())

    def _take_queue(self) -> bytes:
        framed = b''.join(self._queue)
        self._queue.clear()
        self._queue_size = 0
        return framed


def _is_chunked(handler: RequestHandler) -> bool:
    """Return whether the connection sends the body in chunks."""
    req = handler.request
    has_body = req.method != 'HEAD' and handler.get_status() not in _BODILESS
    return has_body and req.version == 'HTTP/1.1'


def _send_now(stream: IOStream, framed: bytes) -> int:
    # After an incomplete write, TLS must be given the same bytes again; the
    # stream takes care of that.
    if isinstance(stream, SSLIOStream) or stream.writing():
        return 0
    try:
        return stream.write_to_fd(memoryview(framed)) or 0
    except BlockingIOError:
        return 0
    except OSError:
        stream.close(exc_info=True)
        return len(framed)
