"""Fake TCP proxy that discards the bytes of open connections."""

import asyncio

import attrs

_CHUNK = 65536


@attrs.define(eq=False)
class SwallowingProxy:
    """TCP proxy that can discard the bytes of its open connections.

    Such a connection stays open at both ends, as when a firewall or load
    balancer between them has lost its state; new connections work.

    Parameters
    ----------
    host, port : str, int
        Address that connections are forwarded to.
    """

    host: str
    port: int
    address: str = ''
    accepted: int = 0
    dropped_bytes: int = 0
    refusing: bool = False
    _server: asyncio.Server | None = None
    _dropped_connections: set[int] = attrs.field(factory=set)
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1')
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def swallow(self) -> None:
        """Discard all further bytes of the connections that are open now."""
        self._dropped_connections.update(range(1, self.accepted + 1))

    async def stop(self) -> None:
        """Close the server and all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.append(writer)
        if self.refusing:
            writer.close()
            return
        self.accepted += 1
        number = self.accepted
        upstream_reader, upstream_writer = await asyncio.open_connection(
            self.host, self.port
        )
        self._writers.append(upstream_writer)
        self._start(self._pump(number, reader, upstream_writer))
        self._start(self._pump(number, upstream_reader, writer))

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while chunk := await reader.read(_CHUNK):
            if number in self._dropped_connections:
                self.dropped_bytes += len(chunk)
            else:
                writer.write(chunk)
        if number not in self._dropped_connections:
            writer.close()
