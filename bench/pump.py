"""Minimal TCP proxy that copies bytes, a baseline for relaying."""

import asyncio
import json
import sys


class _RelayConnection(asyncio.Protocol):
    """One of two paired connections; writes received bytes to the other."""

    def __init__(self) -> None:
        self.peer: _RelayConnection | None = None
        self.transport: asyncio.Transport | None = None
        self._unsent: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, received: bytes) -> None:
        """Write bytes to the peer, or keep them until there is one."""
        if self.peer is None:
            self._unsent.append(received)
        else:
            self.peer.transport.write(received)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side as well."""
        if self.peer is not None:
            self.peer.transport.close()

    def pair_with(self, peer: '_RelayConnection') -> None:
        """Set the peer and write the bytes received before."""
        self.peer = peer
        for received in self._unsent:
            peer.transport.write(received)


class _CallerConnection(_RelayConnection):
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
        created = await loop.create_connection(_RelayConnection, ip, int(port))
        target_conn = created[1]
        target_conn.pair_with(self)
        self.pair_with(target_conn)


async def main() -> None:
    """Serve until terminated; the command argument is the target's address."""
    server = await asyncio.get_running_loop().create_server(
        lambda: _CallerConnection(sys.argv[1]),
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
