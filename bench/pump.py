"""Minimal TCP proxy that copies bytes, a baseline for relaying."""

import asyncio
import json
import sys


class _Side(asyncio.Protocol):
    """One of two paired connections; writes received bytes to the other."""

    def __init__(self) -> None:
        self.peer: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, received: bytes) -> None:
        """Write bytes to the peer, or keep them until there is one."""
        if self.peer is None:
            self._early.append(received)
        else:
            self.peer.transport.write(received)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side as well."""
        if self.peer is not None:
            self.peer.transport.close()

    def join(self, peer: '_Side') -> None:
        """Set the peer and write the bytes received before."""
        self.peer = peer
        for received in self._early:
            peer.transport.write(received)


class _Front(_Side):
    """Connection of a caller; opens the one to the target."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self._address = address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the target."""
        super().connection_made(transport)
        self._connecting = asyncio.create_task(self._connect())

    async def _connect(self) -> None:
        ip, port = self._address.split(':')
        loop = asyncio.get_running_loop()
        connected = await loop.create_connection(_Side, ip, int(port))
        back = connected[1]
        back.join(self)
        self.join(back)


async def main() -> None:
    """Serve until terminated; the command argument is the target's address."""
    server = await asyncio.get_running_loop().create_server(
        lambda: _Front(sys.argv[1]),
        '127.0.0.1',
        0,
        backlog=1024,
    )
    port = server.sockets[0].getsockname()[1]
    line = json.dumps({'address': f'127.0.0.1:{port}'})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
