"""Listener for connections of other routers."""

import socket

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from balsamreach.config.settings import Settings
from balsamreach.peers.link_manager import LinkManager
from balsamreach.wire.codec import MAX_MESSAGE_BYTES
from balsamreach.wire.framing import LENGTH_BYTES

#: Maximum number of links; further connections are closed.
MAX_LINKS = 1000
#: Maximum number of connections whose greeting has not been received. Further
#: ones are closed: anyone can open thousands, and each takes a descriptor until
#: its greeting is late.
MAX_GREETINGS = 256


class PeersListener(TCPServer):
    """Accepts connections and passes their links to the link manager.

    Parameters
    ----------
    link_manager : LinkManager
        Serves the links.
    """

    def __init__(self, link_manager: LinkManager):
        super().__init__(max_buffer_size=MAX_MESSAGE_BYTES + LENGTH_BYTES)
        self._link_manager = link_manager
        self._greetings = 0

    def open(self, cfg: Settings) -> str:
        """Bind the listener and return the ``ip:port`` it got."""
        address = cfg.peers.address or cfg.host.address
        sockets = bind_sockets(cfg.peers.port, address, socket.AF_INET)
        self.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        return f'{address}:{port}'

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Accept a connection and serve its link."""
        remote = f'{address[0]}:{address[1]}'
        if self._is_full:
            context = self._link_manager.connector.context
            context.counters.count_refused('full')
            stream.close()
            return
        self._greetings += 1
        try:
            link = await self._link_manager.connector.accept(stream, remote)
        finally:
            self._greetings -= 1
        if link is not None:
            await self._link_manager.serve(link)

    @property
    def _is_full(self) -> bool:
        links = len(self._link_manager.links.all_links())
        return links >= MAX_LINKS or self._greetings >= MAX_GREETINGS
