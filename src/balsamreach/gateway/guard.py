"""Limits on callers' connections: sizes, slow senders, and leaving."""

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

#: Seconds during which the rest of a refused body is read and dropped.
LINGER = 2
#: Counter of requests that were refused before a handler saw them.
GUARDED = 'balsamreach_guard_refusals_total'


Action = Callable[[], object]


@attrs.define(eq=False)
class Guard(HTTPServerConnectionDelegate):
    """Stands between the server and the application.

    Parameters
    ----------
    app : Application
        What serves the requests that pass.
    cfg : CallersSettings
        The limits.
    metrics : Metrics
        Counts what was refused.
    """

    app: Application
    cfg: CallersSettings
    metrics: Metrics
    leaving: bool = False
    _known: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)
    _waiting: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Watch a connection for its next request."""
        assert isinstance(request_conn, HTTP1Connection)
        served = self.app.start_request(server_conn, request_conn)
        guarded = GuardedRequest(self, request_conn, served)
        if server_conn not in self._known:
            self._known.add(server_conn)
            guarded.is_first = True
            guarded.expect_header()
        elif self.leaving:
            # The answer before this was the last one on the connection.
            request_conn.stream.close()
        self._waiting.add(guarded)
        return guarded

    def begin(self, guarded: 'GuardedRequest') -> None:
        """Note that a request's header has come."""
        self._waiting.discard(guarded)

    def leave(self) -> None:
        """Close idle connections; the others close after their answer.

        One that was just let in isn't idle: its first request is on its way,
        or lies unread where this process stood still. Closed, it would be
        reset, and its caller would see a broken connection.
        """
        self.leaving = True
        self.app.settings['leaving'] = True
        for guarded in tuple(self._waiting):
            if not guarded.is_first:
                guarded.conn.stream.close()


class GuardedRequest(HTTPMessageDelegate):
    """One request on its way in.

    Parameters
    ----------
    guard : Guard
        The listener's guard.
    conn : HTTP1Connection
        Connection that the request comes on.
    served : HTTPMessageDelegate
        The application's own delegate.

    Attributes
    ----------
    is_first : bool
        Whether it is its connection's first one.
    """

    def __init__(
        self,
        guard: Guard,
        conn: HTTP1Connection,
        served: HTTPMessageDelegate,
    ) -> None:
        self.guard = guard
        self.conn = conn
        self._served = served
        self.is_first = False
        self._received = 0
        self._refused = False
        self._timer: asyncio.TimerHandle | None = None

    def expect_header(self) -> None:
        """Bound the wait for the first header of a connection."""
        self._set_timer(self.guard.cfg.header_timeout, self.conn.stream.close)

    def headers_received(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Pass a header on unless it breaks a limit."""
        self._stop_timer()
        self.guard.begin(self)
        refusal = _check_header(self.guard.cfg, start_line, headers)
        if refusal is not None:
            self._refuse(refusal)
            return None
        self._set_timer(self.guard.cfg.body_timeout, self._body_late)
        return self._served.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on unless it breaks a limit."""
        if self._refused:
            return None
        self._received += len(chunk)
        if self._received > self.guard.cfg.body_limit:
            self._served.on_connection_close()
            self._refuse(refusals.BODY_TOO_LARGE)
            return None
        return self._served.data_received(chunk)

    def finish(self) -> None:
        """Let the application answer a request that is whole."""
        self._stop_timer()
        if self._refused:
            self.conn.stream.close()
        else:
            self._served.finish()

    def on_connection_close(self) -> None:
        """Tell the application that the caller has gone."""
        self._stop_timer()
        if not self._refused:
            self._served.on_connection_close()

    def _body_late(self) -> None:
        self._served.on_connection_close()
        self._refuse(refusals.BODY_TOO_SLOW)

    def _refuse(self, refusal: Refusal) -> None:
        self._refused = True
        self._stop_timer()
        self.guard.metrics.count(GUARDED, code=refusal.code)
        self.conn.stream.write(_raw_answer(refusal))
        # A connection that is closed while bytes of the body are still on
        # their way is reset, and the caller sees "connection reset" in place
        # of the refusal. Reading on for a moment lets the answer arrive.
        self._set_timer(LINGER, self.conn.stream.close)

    def _set_timer(self, seconds: float, action: Action) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, action)

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


def _raw_answer(refusal: Refusal) -> bytes:
    body = refusal.body()
    lines = [
        f'HTTP/1.1 {refusal.status} Refused',
        f'Content-Length: {len(body)}',
        'Connection: close',
    ]
    lines.extend(f'{name}: {text}' for name, text in refusal.headers().items())
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode() + body
