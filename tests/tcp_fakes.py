"""Small TCP fakes that stand between two ends of a connection."""

import asyncio

import attrs

_CHUNK = 65536


@attrs.define(eq=False)
class SwallowingProxy:
    """Passes bytes on until told to swallow them.

    A swallowed connection stays open at both ends, as when a firewall or a
    balancer between them has lost track of it; new connections work.

    Parameters
    ----------
    host, port : str, int
        Where connections are passed on to.
    """

    host: str
    port: int
    address: str = ''
    accepted: int = 0
    swallowed: int = 0
    refusing: bool = False
    _server: asyncio.Server | None = None
    _swallowing: set[int] = attrs.field(factory=set)
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._pass_on, '127.0.0.1')
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def swallow(self) -> None:
        """Swallow all bytes of the connections that are open now."""
        self._swallowing.update(range(1, self.accepted + 1))

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()

    async def _pass_on(
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
        far_reader, far = await asyncio.open_connection(self.host, self.port)
        self._writers.append(far)
        self._start(self._pump(number, reader, far))
        self._start(self._pump(number, far_reader, writer))

    def _start(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while octets := await reader.read(_CHUNK):
            if number in self._swallowing:
                self.swallowed += len(octets)
            else:
                writer.write(octets)
        if number not in self._swallowing:
            writer.close()
