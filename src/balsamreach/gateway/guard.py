"""Limits of size, time and memory for requests, and graceful shutdown."""

import asyncio
import io
import logging
import math
from collections.abc import Awaitable

import attrs
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ServerConnection,
    is_transfer_encoding_chunked,
)
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)
from tornado.iostream import IOStream

from balsamreach.gateway.metered_streams import MeteredStream, StreamReader
from balsamreach.gateway.parsing_turns import ParsingTurns, Turn
from balsamreach.gateway.request_limits import (
    Reason,
    Refuser,
    RequestLimits,
)
from balsamreach.gateway.request_meter import MeterParts, RequestMeter
from balsamreach.memory.connections import ConnectionLimit
from balsamreach.memory.response_buffers import ResponseBuffers
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

#: Seconds during which the rest of a refused body is read and discarded.
LINGER_S = 2
#: Counter of requests that were refused before they reached a handler.
GUARD_REFUSALS = 'balsamreach_guard_refusals_total'
#: Counters of connections that were closed or refused since there are too many.
CLOSED_IDLE = 'balsamreach_idle_connections_closed_total'
REFUSED_CONNECTIONS = 'balsamreach_connections_refused_total'
#: Seconds between two calls of ``Guard.check_times``.
CHECK_S = 0.25
#: Seconds between two calls from which on the process was paused.
_MAX_CHECK_GAP_S = 1.0
#: The server reads headers up to this many times the limit, so that a request
#: whose header is slightly too large gets an error response.
_HEADER_READ_FACTOR = 2
#: Bytes that are read at once while it isn't known how a body is sent, and
#: while it comes in small chunks.
_FIRST_READ_BYTES = 16 * 1024
_READ_BYTES = 64 * 1024
#: Seconds between two log lines about refusals for the same reason.
_LOG_INTERVAL_S = 1.0

_logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class GuardParts:
    """What a guard applies to the requests of one listener.

    Parameters
    ----------
    meter : MeterParts
        Limits of the requests, and memory for them.
    refuser : Refuser
        Writes the responses of refused requests.
    connections : ConnectionLimit
        Connections of the listener.
    buffers : ResponseBuffers
        Memory for responses.
    metrics : Metrics
        Counts the refusals.
    turns : ParsingTurns
        Limits the bodies in chunks that are parsed at the same time.
    """

    meter: MeterParts
    refuser: Refuser
    connections: ConnectionLimit
    buffers: ResponseBuffers
    metrics: Metrics
    turns: ParsingTurns = attrs.field(factory=ParsingTurns)


@attrs.define(eq=False)
class Guard(HTTPServerConnectionDelegate):
    """Checks requests between the HTTP server and the application.

    Parameters
    ----------
    app : HTTPServerConnectionDelegate
        Serves the accepted requests.
    parts : GuardParts
        What is applied to them.
    leaving : bool
        Whether the router is shutting down.
    """

    app: HTTPServerConnectionDelegate
    parts: GuardParts
    leaving: bool = False
    _current: dict[object, 'GuardedRequest'] = attrs.field(factory=dict)
    _unused: dict['GuardedRequest', float] = attrs.field(factory=dict)
    _heads: dict['GuardedRequest', None] = attrs.field(factory=dict)
    _bodies: dict['GuardedRequest', None] = attrs.field(factory=dict)
    _refused: dict[Reason, int] = attrs.field(factory=dict)
    _logged_at: dict[Reason, float] = attrs.field(factory=dict)
    _checked_at: float = -math.inf

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate for a connection's next request."""
        assert isinstance(request_conn, HTTP1Connection)
        previous = self._current.get(server_conn)
        delegate = self.app.start_request(server_conn, request_conn)
        guarded = GuardedRequest(self, request_conn, delegate)
        guarded.is_first = previous is None
        if previous is not None:
            previous.release()
            if self.leaving:
                # The previous response said that it was the connection's last.
                request_conn.stream.close()
        else:
            self._unused[guarded] = self.parts.meter.clock.now()
        self._current[server_conn] = guarded
        stream = request_conn.stream
        self.parts.connections.set_idle(
            stream, stream.close, used=previous is not None
        )
        if isinstance(stream, MeteredStream):
            stream.forget_waiting()
            stream.reader = guarded
            stream.turn = None
            stream.read_chunk_size = _FIRST_READ_BYTES
            stream.buffers = self.parts.buffers
        return guarded

    def admit(self, stream: IOStream) -> bool:
        """Return whether a new connection is served."""
        connections = self.parts.connections
        closed = connections.closed
        is_admitted = connections.admit(stream)
        if not is_admitted:
            self.parts.metrics.count(REFUSED_CONNECTIONS)
        elif connections.closed > closed:
            self.parts.metrics.count(CLOSED_IDLE)
        return is_admitted

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forget a connection, and free what its request holds."""
        guarded = self._current.pop(server_conn, None)
        if guarded is not None:
            guarded.release()
        stream = server_conn.stream
        if isinstance(stream, MeteredStream):
            # The request refers to its stream, so that both would only be
            # freed by the garbage collector.
            stream.reader = None
            stream.turn = None
        self.parts.connections.remove(stream)
        self.app.on_close(server_conn)

    def leave(self) -> None:
        """Close idle connections; the others close after their response.

        A newly accepted connection isn't idle: its first request is in
        transit, or unread because this process was paused. Closing the
        connection would reset it, and the caller would see it break.
        """
        self.leaving = True
        for guarded in tuple(self._current.values()):
            if guarded.awaits_head and not guarded.is_first:
                guarded.conn.stream.close()

    def check_times(self) -> None:
        """End requests that don't arrive in time."""
        now = self.parts.meter.clock.now()
        was_paused = now - self._checked_at > _MAX_CHECK_GAP_S
        self._checked_at = now
        if was_paused:
            # What has arrived while the process stood still is read first.
            return
        opened_before = now - self.parts.meter.limits().first_time
        for guarded, opened_at in tuple(self._unused.items()):
            if opened_at >= opened_before:
                break
            guarded.conn.stream.close()
        for guarded in tuple(self._heads):
            if guarded.meter.is_late(now):
                guarded.conn.stream.close()
        for guarded in tuple(self._bodies):
            if guarded.meter.is_late(now):
                guarded.refuse(Reason.BODY_TOO_SLOW)

    def begin(self, guarded: 'GuardedRequest') -> None:
        """Record that a request has begun to arrive."""
        if guarded.meter.begin(guarded.evict):
            self._unused.pop(guarded, None)
            self._heads[guarded] = None
            self.parts.connections.set_busy(guarded.conn.stream)

    def add_body(self, guarded: 'GuardedRequest') -> None:
        """Record that a header was received, and that a body follows."""
        self._heads.pop(guarded, None)
        self._bodies[guarded] = None

    def end_receiving(self, guarded: 'GuardedRequest') -> None:
        """Record that nothing more of a request is waited for."""
        self._unused.pop(guarded, None)
        self._heads.pop(guarded, None)
        self._bodies.pop(guarded, None)

    def count_refusal(self, reason: Reason, size: int) -> None:
        """Count a refusal, and log it unless the same was logged just now."""
        self.parts.metrics.count(GUARD_REFUSALS, code=reason.value)
        self._refused[reason] = self._refused.get(reason, 0) + 1
        meter = self.parts.meter
        now = meter.clock.now()
        if now - self._logged_at.get(reason, -_LOG_INTERVAL_S) < (
            _LOG_INTERVAL_S
        ):
            return
        self._logged_at[reason] = now
        log_event(
            _logger,
            logging.WARNING,
            'requests_refused',
            reason=reason.value,
            requests=self._refused.pop(reason),
            size=size,
            held=meter.budget.used,
            capacity=meter.budget.capacity,
        )


class GuardedRequest(HTTPMessageDelegate, StreamReader):
    """Applies the limits to one request while it is received.

    The body is kept here until it is whole, so that it is there only once.

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
    awaits_head : bool
        Whether its header has not been received.
    meter : RequestMeter
        Counts its bytes.
    """

    def __init__(
        self,
        guard: Guard,
        conn: HTTP1Connection,
        delegate: HTTPMessageDelegate,
    ) -> None:
        self.guard = guard
        self.conn = conn
        self.is_first = False
        self.awaits_head = True
        self.meter = RequestMeter(guard.parts.meter)
        self._delegate: HTTPMessageDelegate | None = delegate
        self._body: io.BytesIO | None = None
        self._turn: Turn | None = None
        self._is_forwarded = False
        self._refused = False

    def on_read(self, size: int) -> None:
        """Count bytes that were read from the connection."""
        if not self._count(size):
            self.conn.stream.close()

    def headers_received(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Forward a header unless it exceeds a limit."""
        if self._refused:
            # It was given up after its last bytes were read.
            return None
        self.guard.begin(self)
        self.guard.add_body(self)
        self.awaits_head = False
        self._body = io.BytesIO()
        reason = self.meter.check_header(start_line, headers)
        if reason is not None:
            # Without this header the server doesn't ask for the body.
            headers.pop('Expect', None)
            self._set_turns(headers)
            self.refuse(reason)
            return None
        self._is_forwarded = True
        self._delegate.headers_received(start_line, headers)
        if self.meter.has_length:
            self.conn.stream.read_chunk_size = _READ_BYTES
            return None
        return self._turn.wait() if self._set_turns(headers) else None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keep a part of the body unless the body exceeds its limit."""
        if self._refused:
            return
        reason = self.meter.add_body(len(chunk))
        if reason is None:
            self._body.write(chunk)
        else:
            self.refuse(reason)

    def finish(self) -> None:
        """Let the application answer the complete request."""
        if self._turn is not None:
            self._turn.release()
        if self._refused:
            self.conn.stream.close()
            return
        self.guard.end_receiving(self)
        self.meter.end_receiving()
        body = self._body.getvalue()
        self._body = None
        if body:
            self._delegate.data_received(body)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Tell the application that the connection was closed."""
        self._close_delegate()
        self.release()

    def refuse(self, reason: Reason) -> None:
        """Send an error response, and discard the rest of the request."""
        if self._refused:
            return
        self._refused = True
        self._close_delegate()
        self.release()
        self.guard.count_refusal(reason, self.meter.body_size)
        stream = self.conn.stream
        if self.awaits_head or stream.closed():
            stream.close()
            return
        stream.write(self.guard.parts.refuser.render(reason))
        # Closing the connection while bytes of the body are in transit would
        # reset it, and the caller would see "connection reset" instead of
        # the refusal. Reading on for LINGER_S seconds lets the refusal arrive.
        asyncio.get_running_loop().call_later(LINGER_S, stream.close)

    def evict(self) -> None:
        """Refuse the request, since its memory is needed for others."""
        self.refuse(Reason.NO_MEMORY)

    def release(self) -> None:
        """Free what the request holds; may be repeated."""
        self.guard.end_receiving(self)
        if self._turn is not None:
            self._turn.release()
        self.meter.release()
        self._body = None
        # It refers to the body, and may be freed by the garbage collector only.
        self._delegate = None

    def _count(self, size: int) -> bool:
        """Count bytes; return whether the connection stays open."""
        if self._refused:
            return self.meter.add_discarded(size)
        if self.awaits_head:
            self.guard.begin(self)
            return self.meter.add_head(size)
        if self._body is None:
            return self.meter.add_unexpected(size)
        if not self.meter.add_read(size):
            self.conn.stream.read_chunk_size = _READ_BYTES
        return True

    def _set_turns(self, headers: HTTPHeaders) -> bool:
        """Return whether the body comes in chunks, and is parsed in turns."""
        if is_transfer_encoding_chunked(headers):
            self._turn = Turn(self.guard.parts.turns)
            if isinstance(self.conn.stream, MeteredStream):
                self.conn.stream.turn = self._turn
        return self._turn is not None

    def _close_delegate(self) -> None:
        if self._is_forwarded:
            self._is_forwarded = False
            self._delegate.on_connection_close()


def read_size_limit(limits: RequestLimits) -> int:
    """Return how many bytes of a header the server reads."""
    return limits.header_bytes * _HEADER_READ_FACTOR
