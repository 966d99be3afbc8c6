"""Opens and closes the router's listeners."""

import socket

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from balsamreach.config.listeners import Listener
from balsamreach.config.settings import Settings


@attrs.define
class OpenListener:
    """A listener that takes connections.

    Parameters
    ----------
    address : str
        ``ip:port`` it is bound to.
    server : HTTPServer
        The server behind it.
    """

    address: str
    server: HTTPServer

    def stop(self) -> None:
        """Take no more connections; those that are open go on."""
        self.server.stop()


def open_listener(
    cfg: Settings,
    listener: Listener,
    app: Application,
) -> OpenListener:
    """Bind and serve one listener.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    listener : Listener
        The listener's section of them.
    app : Application
        What it serves.

    Returns
    -------
    OpenListener
        The listener with the port it got.

    Raises
    ------
    OSError
        If the port was taken since the settings were checked.
    """
    address = listener.address or cfg.host.address
    sockets = bind_sockets(listener.port, address, socket.AF_INET)
    server = HTTPServer(
        app,
        max_body_size=cfg.callers.body_limit,
        max_header_size=cfg.callers.header_limit,
        idle_connection_timeout=cfg.callers.idle_timeout,
        body_timeout=cfg.callers.body_timeout,
    )
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return OpenListener(f'{address}:{port}', server)
