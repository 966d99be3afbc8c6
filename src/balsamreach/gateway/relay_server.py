"""HTTP/1.1 server for callers' requests that are passed through."""

import asyncio
import weakref
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from http import HTTPStatus

import attrs
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from balsamreach.clock import Clock
from balsamreach.gateway.metered_streams import MeteredStream
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.codec import CallerRequest

#: Answers a request; its task is cancelled if the connection closes.
Answerer = Callable[[CallerRequest, CallerResponse], Awaitable[None]]


class ConnectionResponse(CallerResponse):
    """Writes the response to one request on its HTTP/1.1 connection.

    Parameters
    ----------
    conn : HTTP1Connection
        The caller's connection.
    closes_after : callable
        Returns whether the connection closes after this response.
    """

    def __init__(
        self,
        conn: HTTP1Connection,
        closes_after: Callable[[], bool],
    ) -> None:
        self._conn = conn
        self._closes_after = closes_after
        self.started = False
        self.ended = False

    @property
    def should_pause(self) -> bool:
        """Whether too many bytes wait for the caller."""
        stream = self._conn.stream
        return isinstance(stream, MeteredStream) and stream.is_behind

    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the status line and the headers."""
        self.started = True
        lines = HTTPHeaders()
        for name, text in headers:
            lines.add(name, text)
        if self._closes_after():
            lines['Connection'] = 'close'
        line = ResponseStartLine('HTTP/1.1', status, _phrase(status))
        if not self._conn.stream.closed():
            self._conn.stream.set_nodelay(True)
        self._conn.write_headers(line, lines)

    def write(self, chunk: bytes) -> None:
        """Send bytes of the body."""
        if chunk and not self._conn.stream.closed():
            self._conn.write(chunk)

    def finish(self) -> None:
        """Complete the response."""
        if not self.ended and not self._conn.stream.closed():
            self._conn.finish()
        self.ended = True

    def abort(self) -> None:
        """Close the connection before the response is complete."""
        self.ended = True
        self._conn.stream.close()


@attrs.define(eq=False)
class RelayServer(HTTPServerConnectionDelegate):
    """Serves all connections of the callers' listener.

    Parameters
    ----------
    answer : callable
        Answers one request.
    clock : Clock
        Source of the requests' arrival times.
    leaving : bool
        Whether the router is shutting down, so that each connection closes
        after its response.
    crowded : bool
        Whether callers should move to other routers: the next response on a
        connection is its last.
    running : set of Task
        Tasks of the requests in progress.
    idle : set of RelayRequest
        Requests whose header was not received yet, one per idle connection.
    """

    answer: Answerer
    clock: Clock
    leaving: bool = False
    crowded: bool = False
    running: set[asyncio.Task] = attrs.field(factory=set)
    idle: set['RelayRequest'] = attrs.field(factory=set)
    _last_requests: dict[object, 'RelayRequest'] = attrs.field(factory=dict)
    _closing_connections: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate for a connection's next request."""
        assert isinstance(request_conn, HTTP1Connection)
        request = RelayRequest(self, request_conn, server_conn)
        left = self.leaving and server_conn in self._last_requests
        if left or server_conn in self._closing_connections:
            # The previous response said that it was the connection's last.
            request_conn.stream.close()
        self._last_requests[server_conn] = request
        self.idle.add(request)
        return request

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that was closed before its next request."""
        self.idle.discard(self._last_requests.pop(server_conn, None))

    def closes_after_response(self, server_conn: object) -> bool:
        """Return whether a connection closes after the current response."""
        if self.crowded:
            self._closing_connections.add(server_conn)
        return self.leaving or self.crowded

    def leave(self) -> None:
        """Close idle connections; the others close after their response."""
        self.leaving = True
        for request in tuple(self.idle):
            request.conn.stream.close()

    async def drain(self) -> None:
        """Wait until no request is in progress."""
        while self.running:
            await asyncio.wait(set(self.running))


class RelayRequest(HTTPMessageDelegate):
    """Receives one request and starts its answer.

    Parameters
    ----------
    server : RelayServer
        The listener's server.
    conn : HTTP1Connection
        Connection of the request.
    server_conn : object
        Identifies the connection; the same for all of its requests.
    """

    def __init__(
        self,
        server: RelayServer,
        conn: HTTP1Connection,
        server_conn: object,
    ) -> None:
        self.server = server
        self.conn = conn
        self._server_conn = server_conn
        self._line: RequestStartLine | None = None
        self._headers: HTTPHeaders | None = None
        self._body = b''
        self._arrived_at = 0.0
        self._task: asyncio.Task | None = None

    def headers_received(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Store the head of the request."""
        self.server.idle.discard(self)
        self._line = start_line
        self._headers = headers
        self._arrived_at = self.server.clock.now()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a part of the body."""
        self._body += chunk
        return None

    def finish(self) -> None:
        """Start the task that answers the complete request."""
        # The connection may have been closed after the last byte was read
        # and before this call. The request would run although its caller
        # could never learn that it did.
        if self.conn.stream.closed():
            return
        request = CallerRequest(
            method=self._line.method,
            path=self._line.path,
            headers=tuple(self._headers.get_all()),
            body=self._body,
            arrived=self._arrived_at,
        )
        # The request alone decides for how long the body is kept.
        self._body = b''
        caller_response = ConnectionResponse(
            self.conn,
            partial(self.server.closes_after_response, self._server_conn),
        )
        self._task = asyncio.ensure_future(
            self._answer(request, caller_response)
        )
        self._task.add_done_callback(partial(self._on_done, caller_response))
        self.server.running.add(self._task)
        self.conn.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        self.server.idle.discard(self)
        if self._task is not None:
            self._task.cancel()

    async def _answer(
        self, request: CallerRequest, caller_response: CallerResponse
    ) -> None:
        try:
            await self.server.answer(request, caller_response)
        except StreamClosedError:
            # The caller disconnected between two writes.
            caller_response.abort()

    def _on_done(
        self, caller_response: CallerResponse, task: asyncio.Task
    ) -> None:
        self.server.running.discard(task)
        # A task that is cancelled before its first step executes no code, so
        # it can't close the connection itself.
        if not caller_response.ended:
            caller_response.abort()


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
