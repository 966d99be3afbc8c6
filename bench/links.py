"""TCP proxies that simulate network failures between processes."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs

_READ = 65536


@attrs.define(eq=False)
class Link:
    """TCP proxy to one address whose traffic can be dropped.

    Parameters
    ----------
    to : str
        ``ip:port`` of the destination.
    cut : bool
        Whether bytes are dropped. Connections stay open and nothing is
        refused, as in a network that drops packets.
    cut_there, cut_back : bool
        Whether only bytes to the destination, or only bytes from it, are
        dropped.
    address : str
        ``ip:port`` that the proxy listens on.
    """

    to: str
    cut: bool = False
    cut_there: bool = False
    cut_back: bool = False
    address: str = ''
    _server: asyncio.Server | None = None

    async def open(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self.address

    def heal(self) -> None:
        """Forward bytes both ways again, on new connections."""
        self.cut = False
        self.cut_there = False
        self.cut_back = False

    def close(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        ip, port = self.to.split(':')
        try:
            destination = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        copies = (
            self._copy(reader, destination[1], lambda: self.cut_there),
            self._copy(destination[0], writer, lambda: self.cut_back),
        )
        # Copies that a cut has suspended are cancelled at the end of the run.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*copies, return_exceptions=True)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_cut_one_way: Callable[[], bool],
    ) -> None:
        try:
            while received := await reader.read(_READ):
                # The dropped bytes would be a gap in the stream, so a
                # connection that lost bytes never forwards any again.
                if self.cut or is_cut_one_way():
                    await asyncio.sleep(3600)
                writer.write(received)
        finally:
            writer.close()
