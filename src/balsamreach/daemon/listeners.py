"""Opens and closes the router's listeners."""

import socket
import ssl
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NoReturn

import attrs
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler, bind_sockets

from balsamreach.clock import Clock
from balsamreach.config.faults import ConfigFault
from balsamreach.config.listeners import Listener
from balsamreach.config.settings import Settings
from balsamreach.config.tls import server_context
from balsamreach.daemon.closing import drop_syn_segments
from balsamreach.gateway.guard import CHECK_S, Guard, read_size_limit
from balsamreach.gateway.metered_streams import make_stream
from balsamreach.gateway.request_meter import RECEIVE_BUFFER_BYTES

#: The guard limits the size of bodies and sends an error response; the
#: server's own limit would close the connection without a response.
_UNLIMITED_BYTES = 1 << 62


def _admit_all() -> bool:
    return True


class GuardedServer(HTTPServer):
    """A server whose connections and requests are limited by a guard.

    Parameters
    ----------
    guard : Guard
        The listener's guard; the server's request callback.
    admits : callable
        Returns whether the next connection is served. Otherwise it is closed
        without reading from it.
    """

    def initialize(self, guard: Guard, **kwargs: Any) -> None:
        """Create the server; the base class calls this at construction."""
        self.guard = guard
        self.admits: Callable[[], bool] = _admit_all
        self._listening: list[socket.socket] = []
        self._removers: list[Callable[[], None]] = []
        super().initialize(guard, max_body_size=_UNLIMITED_BYTES, **kwargs)
        self.apply_limits()

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for sock in sockets:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self._listening.append(sock)
            self._removers.append(add_accept_handler(sock, self._accept))

    def stop(self) -> None:
        """Stop accepting connections."""
        while self._removers:
            self._removers.pop()()
        while self._listening:
            self._listening.pop().close()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or close it."""
        if not self.admits():
            stream.close()
        elif self.guard.admit(stream):
            super().handle_stream(stream, address)
        else:
            stream.close()

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        super().on_close(server_conn)
        self.guard.on_close(server_conn)

    def apply_limits(self) -> None:
        """Apply the limits in force to the headers that come next."""
        limits = self.guard.parts.meter.limits()
        self.conn_params.max_header_size = read_size_limit(limits)
        # A client may begin its header at the end of the idle time.
        self.conn_params.header_timeout = limits.idle_time + limits.header_time

    def _accept(self, conn: socket.socket, address: Any) -> None:
        try:
            stream = make_stream(conn, self.ssl_options)
        except OSError:
            conn.close()
            return
        self.handle_stream(stream, address)


@attrs.define
class OpenListener:
    """A listener that accepts connections.

    Parameters
    ----------
    address : str
        ``ip:port`` that the listener is bound to.
    section : Listener
        Section of the settings that describes the listener.
    server : GuardedServer
        Server that handles its connections.
    sockets : tuple of socket
        Listening sockets.
    """

    address: str
    section: Listener
    server: GuardedServer
    sockets: tuple[socket.socket, ...] = ()

    def drop_new_connections(self) -> bool:
        """Drop new connections if other daemons may share the port.

        Returns
        -------
        bool
            Whether the port is shared. If so, the listener must stay open
            until the handshakes in progress have completed.
        """
        if self.section.shared:
            drop_syn_segments(self.sockets)
        return self.section.shared

    def stop(self) -> None:
        """Stop accepting connections; open connections continue."""
        self.server.stop()

    def reload_tls(self) -> ConfigFault | None:
        """Reload the PEM files, for new connections only.

        Returns
        -------
        ConfigFault or None
            Why the files can't be used; the previous certificate stays in
            use then.
        """
        context = server_context(self.section)
        if isinstance(context, ConfigFault):
            return context
        self.server.ssl_options = context
        return None


def open_listener(
    cfg: Settings,
    section: Listener,
    guard: Guard,
    admits: Callable[[], bool] = _admit_all,
) -> OpenListener:
    """Bind a listener and serve an application on it.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    section : Listener
        Section of the listener, whose files have been checked.
    guard : Guard
        Guard of the application to serve.
    admits : callable
        Returns whether the next connection is served; otherwise it is closed
        unread.

    Returns
    -------
    OpenListener
        The listener; its address contains the port that was bound.

    Raises
    ------
    OSError
        If the port has been taken since the settings were checked.
    ssl.SSLError
        If a PEM file has become invalid since the settings were checked.
    """
    context = server_context(section)
    if isinstance(context, ConfigFault):
        raise ssl.SSLError(context.reason)
    address = section.address or cfg.host.address
    sockets = bind_sockets(section.port, address, reuse_port=section.shared)
    server = GuardedServer(guard, ssl_options=context)
    server.admits = admits
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return OpenListener(f'{address}:{port}', section, server, tuple(sockets))


async def run_checks(
    listeners: Sequence[OpenListener], clock: Clock
) -> NoReturn:
    """Apply the limits of time and those of the newest configuration.

    Parameters
    ----------
    listeners : sequence of OpenListener
        The listeners of the process.
    clock : Clock
        Source of time.
    """
    while True:
        await clock.sleep(CHECK_S)
        for listener in listeners:
            listener.server.apply_limits()
            listener.server.guard.check_times()
