"""Opens and closes the router's listeners."""

import socket
import ssl

import attrs
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets

from balsamreach.config.faults import ConfigFault
from balsamreach.config.listeners import Listener
from balsamreach.config.settings import Settings
from balsamreach.config.tls import server_context
from balsamreach.daemon.closing import drop_openings
from balsamreach.gateway.probes import Probes

#: The server itself reads headers up to this many times the limit, so that
#: one that is a little too large can be answered.
_HEADER_SLACK = 2
#: The guard bounds bodies and answers what is too large; the server's own
#: limit would close the connection without an answer.
_NO_LIMIT = 1 << 62


@attrs.define
class OpenListener:
    """A listener that takes connections.

    Parameters
    ----------
    address : str
        ``ip:port`` it is bound to.
    section : Listener
        Its section of the settings.
    server : HTTPServer
        The server behind it.
    sockets : tuple of socket
        Its listening sockets.
    """

    address: str
    section: Listener
    server: HTTPServer
    sockets: tuple[socket.socket, ...] = ()

    def turn_away(self) -> bool:
        """Leave new connections to others on the port, if there may be any.

        Returns
        -------
        bool
            Whether the listener has to be kept open for a little longer.
        """
        if self.section.shared:
            drop_openings(self.sockets)
        return self.section.shared

    def stop(self) -> None:
        """Take no more connections; those that are open go on."""
        self.server.stop()

    def reload_tls(self) -> ConfigFault | None:
        """Load the PEM files again, for connections from now on.

        Returns
        -------
        ConfigFault or None
            The fault of files that can't be used; the old ones stay then.
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
) -> OpenListener:
    """Bind and serve one listener.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    section : Listener
        The listener's section of them, its files checked before.
    app : HTTPServerConnectionDelegate or Probes
        What it serves.

    Returns
    -------
    OpenListener
        The listener with the port it got.

    Raises
    ------
    OSError
        If the port was taken since the settings were checked.
    ssl.SSLError
        If a PEM file was spoilt since the settings were checked.
    """
    context = server_context(section)
    if isinstance(context, ConfigFault):
        raise ssl.SSLError(context.reason)
    address = section.address or cfg.host.address
    sockets = bind_sockets(section.port, address, reuse_port=section.shared)
    server = HTTPServer(
        app,
        ssl_options=context,
        max_body_size=_NO_LIMIT,
        max_header_size=cfg.callers.header_limit * _HEADER_SLACK,
        idle_connection_timeout=cfg.callers.idle_timeout,
    )
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return OpenListener(f'{address}:{port}', section, server, tuple(sockets))
