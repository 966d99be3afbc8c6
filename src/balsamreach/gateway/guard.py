"""Limits of size and time for callers' requests, and graceful shutdown."""

import asyncio
import weakref
from collections.abc import Awaitable, Callable

import attrs
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)
from tornado.web import Application

from balsamreach.config.settings import CallersSettings
from balsamreach.gateway import refusals
from balsamreach.gateway.refusals import Refusal
from balsamreach.telemetry.metrics import Metrics

#: Seconds during which the rest of a refused body is read and discarded.
LINGER_S = 2
#: Counter of requests that were refused before they reached a handler.
GUARD_REFUSALS = 'balsamreach_guard_refusals_total'


TimerCallback = Callable[[], object]


@attrs.define(eq=False)
class Guard(HTTPServerConnectionDelegate):
    """Checks requests between the HTTP server and the application.

    Parameters
    ----------
    app : Application
        Serves the accepted requests.
    cfg : CallersSettings
        The limits.
    metrics : Metrics
        Counts the refusals.
    leaving : bool
        Whether the router is shutting down.
    """

    app: Application
    cfg: CallersSettings
    metrics: Metrics
    leaving: bool = False
    _seen_connections: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)
    _awaiting_header: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate for a connection's next request."""
        assert isinstance(request_conn, HTTP1Connection)
        delegate = self.app.start_request(server_conn, request_conn)
        guarded = GuardedRequest(self, request_conn, delegate)
        if server_conn not in self._seen_connections:
            self._seen_connections.add(server_conn)
            guarded.is_first = True
            guarded.start_header_timeout()
        elif self.leaving:
            # The previous response said that it was the connection's last.
            request_conn.stream.close()
        self._awaiting_header.add(guarded)
        return guarded

    def mark_received(self, guarded: 'GuardedRequest') -> None:
        """Record that a request's header was received."""
        self._awaiting_header.discard(guarded)

    def leave(self) -> None:
        """Close idle connections; the others close after their response.

        A newly accepted connection isn't idle: its first request is in
        transit, or unread because this process was paused. Closing the
        connection would reset it, and the caller would see it break.
        """
        self.leaving = True
        self.app.settings['leaving'] = True
        for guarded in tuple(self._awaiting_header):
            if not guarded.is_first:
                guarded.conn.stream.close()


class GuardedRequest(HTTPMessageDelegate):
    """Applies the limits to one request while it is received.

    Parameters
    ----------
    guard : Guard
        The listener's guard.
    conn : HTTP1Connection
        Connection of the request.
    delegate : HTTPMessageDelegate
        The application's delegate for the request.

    Attributes
    ----------
    is_first : bool
        Whether this is the first request of its connection.
    """

    def __init__(
        self,
        guard: Guard,
        conn: HTTP1Connection,
        delegate: HTTPMessageDelegate,
    ) -> None:
        self.guard = guard
        self.conn = conn
        self._delegate = delegate
        self.is_first = False
        self._body_size = 0
        self._refused = False
        self._timer: asyncio.TimerHandle | None = None

    def start_header_timeout(self) -> None:
        """Start the timeout for the first header of a connection."""
        self._set_timer(self.guard.cfg.header_timeout, self.conn.stream.close)

    def headers_received(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Forward a header unless it exceeds a limit."""
        self._stop_timer()
        self.guard.mark_received(self)
        refusal = _check_header(self.guard.cfg, start_line, headers)
        if refusal is not None:
            self._refuse(refusal)
            return None
        self._set_timer(self.guard.cfg.body_timeout, self._on_body_timeout)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Forward a part of the body unless the body exceeds its limit."""
        if self._refused:
            return None
        self._body_size += len(chunk)
        if self._body_size > self.guard.cfg.body_limit:
            self._delegate.on_connection_close()
            self._refuse(refusals.BODY_TOO_LARGE)
            return None
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Let the application answer the complete request."""
        self._stop_timer()
        if self._refused:
            self.conn.stream.close()
        else:
            self._delegate.finish()

    def on_connection_close(self) -> None:
        """Tell the application that the connection was closed."""
        self._stop_timer()
        if not self._refused:
            self._delegate.on_connection_close()

    def _on_body_timeout(self) -> None:
        self._delegate.on_connection_close()
        self._refuse(refusals.BODY_TOO_SLOW)

    def _refuse(self, refusal: Refusal) -> None:
        self._refused = True
        self._stop_timer()
        self.guard.metrics.count(GUARD_REFUSALS, code=refusal.code)
        self.conn.stream.write(_raw_response(refusal))
        # Closing the connection while bytes of the body are in transit would
        # reset it, and the caller would see "connection reset" instead of
        # the refusal. Reading on for LINGER_S seconds lets the refusal arrive.
        self._set_timer(LINGER_S, self.conn.stream.close)

    def _set_timer(self, seconds: float, callback: TimerCallback) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


def _check_header(
    cfg: CallersSettings,
    start_line: RequestStartLine,
    headers: HTTPHeaders,
) -> Refusal | None:
    size = len(start_line.path)
    size += sum(len(name) + len(text) for name, text in headers.get_all())
    if size > cfg.header_limit:
        return refusals.HEADER_TOO_LARGE
    length = headers.get('Content-Length', '')
    if length.isdecimal() and int(length) > cfg.body_limit:
        return refusals.BODY_TOO_LARGE
    return None


def _raw_response(refusal: Refusal) -> bytes:
    body = refusal.body()
    lines = [
        f'HTTP/1.1 {refusal.status} Refused',
        f'Content-Length: {len(body)}',
        'Connection: close',
    ]
    lines.extend(f'{name}: {text}' for name, text in refusal.headers().items())
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode() + body
