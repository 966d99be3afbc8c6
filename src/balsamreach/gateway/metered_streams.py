"""Streams of clients' connections that count the bytes they hold."""

import abc
import asyncio
import socket
import ssl
from typing import Any

from tornado.iostream import IOStream, SSLIOStream

from balsamreach.gateway.parsing_turns import Turn
from balsamreach.memory.response_buffers import ResponseBuffers


class StreamReader(abc.ABC):
    """Counts what is read from a stream."""

    @abc.abstractmethod
    def on_read(self, size: int) -> None:
        """Receive the number of bytes that were read."""


class MeteredStream(IOStream):
    """A stream that reports each read, and counts what waits to be sent.

    Parameters
    ----------
    reader : StreamReader or None
        Counts the bytes that are read.
    turn : Turn or None
        Taken before each read of a body in chunks.
    buffers : ResponseBuffers or None
        Counts the bytes that wait on all connections.
    """

    #: Whether bytes may wait in this process that the socket doesn't show.
    _has_own_buffer = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.reader: StreamReader | None = None
        self.turn: Turn | None = None
        self.buffers: ResponseBuffers | None = None
        self._waiting = 0
        super().__init__(*args, **kwargs)

    @property
    def is_behind(self) -> bool:
        """Whether the client reads so slowly that writing should pause."""
        if not self._waiting:
            return False
        if not self.writing():
            self.forget_waiting()
            return False
        return self.buffers is not None and self.buffers.is_full(self._waiting)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read bytes, and report how many; None if there are none now."""
        if self.turn is not None:
            # While it isn't its turn, the socket stays readable, and the event
            # loop asks again.
            is_taken = self.turn.take()
            if not is_taken and not self._has_own_buffer:
                return None
        size = super().read_from_fd(buf)
        if size and self.reader is not None:
            self.reader.on_read(size)
        elif self.turn is not None:
            self.turn.release()
        return size

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write bytes, now or as the client reads."""
        fut = super().write(data)
        # Until all has been sent, everything written since counts as waiting.
        if self.writing():
            self._waiting += len(data)
            if self.buffers is not None:
                self.buffers.used += len(data)
        return fut

    def close(self, exc_info: Any = False) -> None:
        """Close the connection; what waits is lost."""
        super().close(exc_info)
        self.forget_waiting()

    def forget_waiting(self) -> None:
        """Note that nothing waits to be sent."""
        if self._waiting and self.buffers is not None:
            self.buffers.used -= self._waiting
        self._waiting = 0


class MeteredTlsStream(MeteredStream, SSLIOStream):
    """The same for TLS; it reports the bytes that were decrypted."""

    _has_own_buffer = True


def make_stream(
    conn: socket.socket, context: ssl.SSLContext | None
) -> MeteredStream:
    """Return the stream of an accepted connection.

    Parameters
    ----------
    conn : socket
        The connection.
    context : SSLContext or None
        Context of the listener; None for plain connections.

    Raises
    ------
    OSError
        If the client has disconnected.
    """
    if context is None:
        return MeteredStream(conn)
    wrapped = context.wrap_socket(
        conn, server_side=True, do_handshake_on_connect=False
    )
    return MeteredTlsStream(wrapped, ssl_options=context)
