"""The listener that other routers connect to."""

import socket

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from balsamreach.config.settings import Settings
from balsamreach.peers.keeper import Keeper
from balsamreach.wire.codec import MOST_BYTES
from balsamreach.wire.framing import HEAD

#: Most links at once; routers beyond are sent away.
MOST_LINKS = 1000


class PeersListener(TCPServer):
    """Lets routers in and hands their links to the keeper.

    Parameters
    ----------
    keeper : Keeper
        Serves the links.
    """

    def __init__(self, keeper: Keeper):
        super().__init__(max_buffer_size=MOST_BYTES + HEAD)
        self._keeper = keeper

    def open(self, cfg: Settings) -> str:
        """Bind the listener and return the ``ip:port`` it got."""
        address = cfg.peers.address or cfg.host.address
        sockets = bind_sockets(cfg.peers.port, address, socket.AF_INET)
        self.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        return f'{address}:{port}'

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Greet whoever connected."""
        remote = f'{address[0]}:{address[1]}'
        if len(self._keeper.links.every()) >= MOST_LINKS:
            context = self._keeper.connector.context
            context.tally.refused('full')
            stream.close()
            return
        link = await self._keeper.connector.accept(stream, remote)
        if link is not None:
            await self._keeper.serve(link)
