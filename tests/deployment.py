"""Routers and stand-ins that run in the event loop of the test."""

import asyncio
import socket
from collections.abc import Callable, Iterable

import attrs

from balsamreach.clock import SystemClock
from balsamreach.config.faults import ConfigFault
from balsamreach.config.reader import read_settings
from balsamreach.daemon.router import READY, Router
from balsamreach.services.base import TableService
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.serve import (
    PlatformSettings,
    Running,
    start_engine,
    start_platform,
    start_service,
)
from balsamreach.standins.service import ServiceSettings
from balsamreach.table.editor import Edit, Editor
from balsamreach.table.faults import TableFault
from balsamreach.table.rows import (
    PLAIN_SERVICE,
    TableRow,
    TargetRow,
    TeamRow,
    encode,
)
from balsamreach.table.view import hash_key

MODEL = 'model-a'
SERVICE = 'desk'
TEAM = 'winders'
SECRET = 'team-secret'
OPERATOR_SECRET = 'operator-secret'
PREPAID = 100_000
_MAX_CHECKS = 5000
_CHECK_INTERVAL_S = 0.002
#: Bytes that fit into a socket's buffers.
_FIRST_BYTES = 4096


async def until(check: Callable[[], bool]) -> bool:
    """Wait until a check is true; False if it is not within about 10 s."""
    for _ in range(_MAX_CHECKS):
        if check():
            return True
        await asyncio.sleep(_CHECK_INTERVAL_S)
    return False


@attrs.define
class Deployment:
    """One platform, one engine, one plain service and several routers.

    Parameters
    ----------
    overrides : tuple of str
        Additional settings of all routers, as ``section.key=text``.
    """

    overrides: tuple[str, ...] = ()
    platform: Running = attrs.field(init=False)
    engine: Running = attrs.field(init=False)
    service: Running = attrs.field(init=False)
    routers: list[Router] = attrs.field(factory=list)

    async def start(self, routers: int = 1) -> None:
        """Start everything and wait until the routers are ready."""
        self.platform = await start_platform(PlatformSettings())
        self.engine = await start_engine(
            EngineSettings(models=[MODEL], first_ms=0, block_ms=0, pace_ms=0),
        )
        self.service = await start_service(ServiceSettings())
        await self.put_rows(self.rows())
        for number in range(routers):
            await self.add_router(f'router-{number}')

    async def add_router(self, name: str) -> Router:
        """Start one more router and wait until it is ready."""
        router = Router(self.settings(name))
        await router.start()
        self.routers.append(router)
        assert await until(lambda: router.state == READY)
        return router

    @property
    def store(self) -> TableService:
        """Table service of the platform."""
        return self.platform.core.table

    def counted(self, name: str, **labels: object) -> float:
        """Return the value of a counter of the first router."""
        parts = self.routers[0].parts
        return parts.metrics.counted(name, **labels)

    @property
    def callers(self) -> str:
        """``ip:port`` on which the first router serves callers."""
        listener = self.routers[0].callers
        return listener.address

    @property
    def engine_runs(self) -> int:
        """Number of requests that the engine has started."""
        engine = self.engine.core
        return len(engine.runs)

    async def stop(self) -> None:
        """Stop everything."""
        for router in self.routers:
            await router.leave()
        for standin in (self.engine, self.service, self.platform):
            await standin.stop()

    async def put_rows(self, rows: Iterable[TableRow]) -> None:
        """Write rows that the table does not contain yet."""
        editor = Editor(self.store, SystemClock())
        for row in rows:
            edit = Edit(f'put-{row.name}', 'test', row.key, 0, encode(row))
            outcome = await editor.apply(edit)
            assert not isinstance(outcome, TableFault), outcome

    def settings(self, name: str):
        """Return the parsed settings of a router."""
        cfg = read_settings(None, self.settings_text(name))
        assert not isinstance(cfg, ConfigFault), cfg.reason
        return cfg

    def settings_text(self, name: str) -> tuple[str, ...]:
        """Return the settings of a router as overrides of the defaults."""
        url = self.platform.url
        return (
            f'host.name={name}',
            'host.zone=zone-a',
            'callers.port=0',
            'callers.leave_delay=0s',
            'operators.port=0',
            f'operators.keys={hash_key(OPERATOR_SECRET)}',
            'peers.port=0',
            f'platform.table={url}',
            f'platform.objects={url}',
            f'platform.hosts={url}',
            f'platform.weights={url}',
            'table.poll_interval=5ms',
            'budget.flush_interval=5ms',
            'telemetry.traces=off',
            *self.overrides,
        )

    def rows(self) -> tuple[TableRow, ...]:
        """Return the initial rows of the table."""
        return (
            TeamRow(
                name=TEAM,
                prepaid=PREPAID,
                key_hashes=(hash_key(SECRET),),
            ),
            TeamRow(
                name='paused',
                prepaid=PREPAID,
                state='paused',
                key_hashes=(hash_key('paused-secret'),),
            ),
            TeamRow(
                name='poor',
                prepaid=1,
                key_hashes=(hash_key('poor-secret'),),
            ),
            TargetRow(
                name='engine-0',
                address=self.engine.address,
                zone='zone-a',
                service='llm',
                models={MODEL: 1},
            ),
            TargetRow(
                name='desk-0',
                address=self.service.address,
                zone='zone-a',
                service=SERVICE,
                kind=PLAIN_SERVICE,
                non_idempotent=('confirmation', 'certificate'),
            ),
        )


@attrs.frozen
class Answer:
    """An HTTP response as received.

    Parameters
    ----------
    head : str
        Status line and headers.
    body : bytes
        Body without its chunked transfer coding.
    """

    head: str
    body: bytes

    @property
    def status(self) -> int:
        """Status code."""
        return int(self.head.split(' ', 2)[1])

    def header(self, name: str) -> str | None:
        """Return the value of a header, None if it is missing."""
        for line in self.head.split('\r\n')[1:]:
            found, _separator, text = line.partition(':')
            if found.lower() == name.lower():
                return text.strip()
        return None


async def exchange(address: str, sent: bytes) -> bytes:
    """Send bytes on a new connection and return all bytes received."""
    host, port = address.rsplit(':', 1)
    # Sent before the event loop accepts the connection. If the loop stood still
    # after that, a short timeout would close it with these bytes unread.
    sock = socket.create_connection((host, int(port)))
    sock.sendall(sent[:_FIRST_BYTES])
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        writer.write(sent[_FIRST_BYTES:])
        await writer.drain()
        return await reader.read()
    finally:
        writer.close()


def request(
    line: str,
    body: bytes = b'',
    secret: str = SECRET,
    **headers: str,
) -> bytes:
    """Return the bytes of a request with ``Connection: close``."""
    lines = [f'{line} HTTP/1.1', 'Host: router', 'Connection: close']
    if secret:
        lines.append(f'Authorization: Bearer {secret}')
    if body:
        lines.append(f'Content-Length: {len(body)}')
    for name, text in headers.items():
        header_name = name.replace('_', '-')
        lines.append(f'{header_name}: {text}')
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode() + body


def parse_answer(received: bytes) -> Answer:
    """Parse the only response in the received bytes."""
    head, _separator, body = received.partition(b'\r\n\r\n')
    answer = Answer(head.decode(), body)
    if answer.header('Transfer-Encoding') == 'chunked':
        body = _decode_chunked(body)
    return Answer(answer.head, body)


def _decode_chunked(encoded: bytes) -> bytes:
    body = b''
    while encoded:
        size, _separator, rest = encoded.partition(b'\r\n')
        length = int(size, 16)
        body += rest[:length]
        encoded = rest[length + 2 :]
        if not length:
            break
    return body
