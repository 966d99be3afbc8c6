"""Opens and closes the router's listeners."""

import socket
import ssl
from collections.abc import Callable
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from balsamreach.config.faults import ConfigFault
from balsamreach.config.listeners import Listener
from balsamreach.config.settings import Settings
from balsamreach.config.tls import server_context
from balsamreach.daemon.closing import drop_syn_segments
from balsamreach.gateway.probes import Probes

#: The server reads headers up to this many times the limit, so that a request
#: whose header is slightly too large gets an error response.
_HEADER_READ_FACTOR = 2
#: The guard limits the size of bodies and sends an error response; the
#: server's own limit would close the connection without a response.
_UNLIMITED_BYTES = 1 << 62


def _admit_all() -> bool:
    return True


class AdmittingServer(HTTPServer):
    """A server that may close new connections without reading from them.

    Parameters
    ----------
    admits : callable
        Returns whether the next connection is served.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.admits: Callable[[], bool] = _admit_all

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or close it."""
        if self.admits():
            super().handle_stream(stream, address)
        else:
            stream.close()


@attrs.define
class OpenListener:
    """A listener that accepts connections.

    Parameters
    ----------
    address : str
        ``ip:port`` that the listener is bound to.
    section : Listener
        Section of the settings that describes the listener.
    server : HTTPServer
        Server that handles its connections.
    sockets : tuple of socket
        Listening sockets.
    """

    address: str
    section: Listener
    server: HTTPServer
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
    app: HTTPServerConnectionDelegate | Probes,
    admits: Callable[[], bool] = _admit_all,
) -> OpenListener:
    """Bind a listener and serve an application on it.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    section : Listener
        Section of the listener, whose files have been checked.
    app : HTTPServerConnectionDelegate or Probes
        Application to serve.
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
    server = AdmittingServer(
        app,
        ssl_options=context,
        max_body_size=_UNLIMITED_BYTES,
        max_header_size=cfg.callers.header_limit * _HEADER_READ_FACTOR,
        idle_connection_timeout=cfg.callers.idle_timeout,
    )
    server.admits = admits
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return OpenListener(f'{address}:{port}', section, server, tuple(sockets))
