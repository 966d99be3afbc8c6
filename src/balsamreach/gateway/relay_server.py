"""Reads callers' requests off their connections and writes the answers."""

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
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.codec import CallerRequest

#: Bytes that may wait for a caller before reading from its target pauses.
_MOST_WAITING = 256 * 1024

#: Answers a request; the connection's task is cancelled where it goes away.
Answerer = Callable[[CallerRequest, CallerResponse], Awaitable[None]]


class ConnectionResponse(CallerResponse):
    """Writes an answer to one HTTP/1.1 connection.

    Parameters
    ----------
    conn : HTTP1Connection
        The caller's connection.
    closing : callable
        Tells whether the connection ends with this answer.
    """

    def __init__(
        self,
        conn: HTTP1Connection,
        closing: Callable[[], bool],
    ) -> None:
        self._conn = conn
        self._closing = closing
        self._waiting = 0
        self.started = False
        self.ended = False

    @property
    def should_pause(self) -> bool:
        """Whether too much waits for the caller to read it."""
        return self._waiting > _MOST_WAITING

    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head."""
        self.started = True
        lines = HTTPHeaders()
        for name, text in headers:
            lines.add(name, text)
        if self._closing():
            lines['Connection'] = 'close'
        line = ResponseStartLine('HTTP/1.1', status, _phrase(status))
        if not self._conn.stream.closed():
            self._conn.stream.set_nodelay(True)
        self._note(0, self._conn.write_headers(line, lines))

    def write(self, chunk: bytes) -> None:
        """Send bytes of the body."""
        if chunk and not self._conn.stream.closed():
            self._note(len(chunk), self._conn.write(chunk))

    def finish(self) -> None:
        """End the answer in order."""
        if not self.ended and not self._conn.stream.closed():
            self._conn.finish()
        self.ended = True

    def abort(self) -> None:
        """Close the connection in the middle of the answer."""
        self.ended = True
        self._conn.stream.close()

    def _note(self, size: int, written: asyncio.Future[None]) -> None:
        self._waiting += size
        written.add_done_callback(partial(self._written, size))

    def _written(self, size: int, written: asyncio.Future[None]) -> None:
        self._waiting -= size
        # A caller that went away is noticed by its connection; the fault is
        # taken here only so that nobody calls it forgotten.
        if not written.cancelled():
            written.exception()


@attrs.define(eq=False)
class RelayServer(HTTPServerConnectionDelegate):
    """Serves all connections of the callers' listener.

    Parameters
    ----------
    answer : callable
        Answers one request.
    clock : Clock
        Time.
    body_limit : callable
        Returns the most bytes that a body may have now.
    leaving : bool
        Whether the router leaves, so that each connection ends.
    crowded : bool
        Whether callers are to come by other routers: the next answer on a
        connection is its last one.
    running : set of Task
        Requests in progress.
    idle : set of RelayRequest
        Connections that wait for a request.
    """

    answer: Answerer
    clock: Clock
    body_limit: Callable[[], int]
    leaving: bool = False
    crowded: bool = False
    running: set[asyncio.Task] = attrs.field(factory=set)
    idle: set['RelayRequest'] = attrs.field(factory=set)
    _known: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)
    _ending: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Wait for the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        request = RelayRequest(self, request_conn, server_conn)
        left = self.leaving and server_conn in self._known
        if left or server_conn in self._ending:
            # The answer before this was said to be the last one.
            request_conn.stream.close()
        self._known.add(server_conn)
        self.idle.add(request)
        return request

    def ends(self, server_conn: object) -> bool:
        """Return whether the answer that begins now is a connection's last."""
        if self.crowded:
            self._ending.add(server_conn)
        return self.leaving or self.crowded

    def leave(self) -> None:
        """Close connections without a request; others after their answer."""
        self.leaving = True
        for request in tuple(self.idle):
            request.conn.stream.close()

    async def drain(self) -> None:
        """Wait until no request is in progress."""
        while self.running:
            await asyncio.wait(set(self.running))


class RelayRequest(HTTPMessageDelegate):
    """One request on its way in.

    Parameters
    ----------
    server : RelayServer
        The listener's server.
    conn : HTTP1Connection
        Connection that the request comes on.
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
        self._body = bytearray()
        self._arrived = 0.0
        self._task: asyncio.Task | None = None

    def headers_received(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Take the head of the request."""
        self.server.idle.discard(self)
        self._line = start_line
        self._headers = headers
        self._arrived = self.server.clock.now()
        self.conn.set_max_body_size(self.server.body_limit())
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body."""
        self._body += chunk
        return None

    def finish(self) -> None:
        """Answer the request, which is whole."""
        # The connection may have been closed between the reading of the last
        # byte and this turn of the loop. Passed on now, the request would run
        # for nobody, and its caller could never learn that it did.
        if self.conn.stream.closed():
            return
        request = CallerRequest(
            method=self._line.method,
            path=self._line.path,
            headers=tuple(self._headers.get_all()),
            body=bytes(self._body),
            arrived=self._arrived,
        )
        caller_response = ConnectionResponse(
            self.conn,
            partial(self.server.ends, self._server_conn),
        )
        self._task = asyncio.ensure_future(
            self._answer(request, caller_response)
        )
        self.server.running.add(self._task)
        self._task.add_done_callback(self.server.running.discard)
        self.conn.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """End the work for a caller that has gone."""
        self.server.idle.discard(self)
        if self._task is not None:
            self._task.cancel()

    async def _answer(
        self, request: CallerRequest, caller_response: CallerResponse
    ) -> None:
        try:
            await self.server.answer(request, caller_response)
        except StreamClosedError:
            # The caller went away between two writes.
            caller_response.abort()
        finally:
            if not caller_response.ended:
                caller_response.abort()


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
