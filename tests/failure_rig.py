"""Whole routers in availability zones, with links that can be cut."""

import asyncio
import contextlib
import json
import signal
import socket
import tempfile
from collections.abc import Generator
from functools import partial
from pathlib import Path
from unittest import mock

import attrs

from balsamreach.clock import SystemClock
from balsamreach.daemon.router import READY, Router
from balsamreach.services.base import Commit
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.memory_table import MemoryTableService
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
from balsamreach.table.rows import TargetRow, TeamRow, encode
from balsamreach.table.view import hash_key
from bench.links import Link
from tests.deployment import (
    MODEL,
    SECRET,
    SERVICE,
    Deployment,
    exchange,
    parse_answer,
    request,
    until,
)
from tests.support import command_line

#: A pause of at least so many seconds lasts until the gate is opened.
HELD_S = 1000
#: Pace of an engine that stops after its first word until then.
HELD_MS = HELD_S * 1000
TEAM = 'winders'
_SECONDS = 60
_LOOKS = 2000
_PAUSE = 0.02
#: Every draw takes the same, so that sessions come out the same each time.
_SETTINGS = (
    'budget.least_draw=100',
    'budget.draw_ahead=0s',
    'budget.partition_cover=0s',
    'budget.largest_share=100%',
    'peers.heartbeat=100ms',
    'peers.gap_timeout=1s',
    'platform.connect_timeout=1s',
    'platform.request_timeout=1s',
    'targets.poll_interval=50ms',
    'targets.host_list_interval=50ms',
)


class Gate(SystemClock):
    """The system's clock, but long pauses end when the gate is opened."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()

    async def sleep(self, seconds: float) -> None:
        """Wait for the time, or for the gate."""
        if seconds >= HELD_S:
            await self.opened.wait()
        else:
            await super().sleep(seconds)


@attrs.define(eq=False)
class HeldCommit:
    """Holds the first commit to rows of a prefix up at the table service.

    Parameters
    ----------
    prefix : str
        Start of a row's key.
    applied : bool
        Whether it takes effect before it is held, or after.
    """

    prefix: str
    applied: bool
    came: asyncio.Event = attrs.field(factory=asyncio.Event)
    go_on: asyncio.Event = attrs.field(factory=asyncio.Event)
    _plain = MemoryTableService.commit

    @contextlib.contextmanager
    def hold(self) -> Generator[None, None, None]:
        """Hold it inside the block."""
        with mock.patch.object(
            MemoryTableService,
            'commit',
            lambda table, change: self.commit(table, change),
        ):
            yield

    async def commit(self, table: MemoryTableService, change: Commit):
        """Commit, held if it is the one."""
        keys = [write.key for write in change.writes]
        wanted = any(key.startswith(self.prefix) for key in keys)
        if not wanted or self.came.is_set():
            return await HeldCommit._plain(table, change)
        self.came.set()
        if not self.applied:
            await self.go_on.wait()
            return await HeldCommit._plain(table, change)
        outcome = await HeldCommit._plain(table, change)
        await self.go_on.wait()
        return outcome


@attrs.define(eq=False)
class RouterProcess:
    """A router as a process of its own, to be killed or paused.

    Parameters
    ----------
    started : dict
        Its addresses.
    log : Path
        Where its log goes.
    """

    child: asyncio.subprocess.Process
    started: dict[str, str]
    log: Path

    @property
    def address(self) -> str:
        """Address for callers."""
        return self.started['callers']

    def signal(self, number: int) -> None:
        """Send a signal, to whom it still reaches."""
        with contextlib.suppress(ProcessLookupError):
            self.child.send_signal(number)

    async def kill(self) -> None:
        """End it as a crash would."""
        with contextlib.suppress(ProcessLookupError):
            self.child.kill()
        async with asyncio.timeout(_SECONDS):
            await self.child.wait()

    async def leave(self) -> int:
        """Let it shut down and return its exit code."""
        with contextlib.suppress(ProcessLookupError):
            self.child.terminate()
        async with asyncio.timeout(_SECONDS):
            return await self.child.wait()

    def events(self) -> list[dict[str, object]]:
        """Return the events it has logged."""
        lines = self.log.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]


@attrs.define(eq=False)
class Rig(Deployment):
    """A platform, engines and routers whose failures a test brings about.

    Parameters
    ----------
    engines : int
        Number of engines.
    prepaid : int
        Budget of the one team.
    """

    engines: int = 1
    prepaid: int = 10_000
    more: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    gate: Gate = attrs.field(factory=Gate)
    pool: list[Running] = attrs.field(factory=list)
    links: list[Link] = attrs.field(factory=list)
    children: list[RouterProcess] = attrs.field(factory=list)
    seeds: list[str] = attrs.field(factory=list)
    _logs: tempfile.TemporaryDirectory = attrs.field(
        factory=tempfile.TemporaryDirectory,
    )

    async def open(self) -> None:
        """Start the platform and the targets."""
        self.platform = await start_platform(PlatformSettings())
        for number in range(self.engines):
            cfg = EngineSettings(
                models=[MODEL],
                first_ms=0,
                block_ms=0,
                pace_ms=0,
                incarnation=f'start-{number}',
            )
            self.pool.append(await start_engine(cfg, self.gate))
        self.engine = self.pool[0]
        self.service = await start_service(ServiceSettings(), self.gate)
        await self.put_rows(self.rows())

    async def start(self, routers: int = 1) -> None:
        """Start routers and wait until they are ready and met."""
        for number in range(routers):
            await self.add_router(f'router-{number}')
        await self.meet()

    async def stop(self) -> None:
        """Heal everything, then stop it."""
        self.heal()
        self.gate.opened.set()
        self.weather.down = False
        for child in self.children:
            child.signal(signal.SIGCONT)
            await child.kill()
        for router in self.routers:
            await router.leave()
        standins = (*self.pool, self.service, self.platform)
        for standin in standins:
            await standin.stop()
        for link in self.links:
            link.close()
        self._logs.cleanup()

    @property
    def weather(self):
        """What goes wrong with the platform."""
        return self.platform.core.weather

    def settings_text(self, name: str) -> tuple[str, ...]:
        """Return the settings of a router as overrides of the defaults."""
        seeds = ' '.join(self.seeds)
        return (
            *super().settings_text(name),
            *_SETTINGS,
            f'peers.seeds={seeds}',
            *self.overrides,
            *self.more.get(name, ()),
        )

    def rows(self) -> tuple[TeamRow | TargetRow, ...]:
        """Return the rows that the table starts with."""
        team = TeamRow(
            name=TEAM,
            prepaid=self.prepaid,
            key_hashes=(hash_key(SECRET),),
        )
        desk = super().rows()[-1]
        engines = [
            TargetRow(
                name=f'engine-{number}',
                address=engine.address,
                zone='zone-a',
                service='llm',
                models={MODEL: 1},
            )
            for number, engine in enumerate(self.pool)
        ]
        return (team, *engines, attrs.evolve(desk, service=SERVICE, price=5))

    async def replace_row(self, row: TargetRow) -> None:
        """Write a row anew, as an operator would."""
        editor = Editor(self.store, SystemClock())
        edit = Edit(f'new-{row.name}', 'test', row.key, -1, encode(row))
        outcome = await editor.apply(edit)
        assert not isinstance(outcome, TableFault), outcome

    async def link(self, to: str) -> Link:
        """Return a link to an address that can be cut."""
        link = Link(to)
        await link.open()
        self.links.append(link)
        return link

    async def table_link(self, name: str) -> Link:
        """Put a link between a router to come and the table service."""
        link = await self.link(self.platform.address)
        given = self.more.get(name, ())
        url = f'http://{link.address}'
        self.more[name] = (*given, f'platform.table={url}')
        return link

    async def platform_link(self, name: str) -> Link:
        """Put a link between a router to come and the whole platform."""
        link = await self.table_link(name)
        url = f'http://{link.address}'
        kinds = ('objects', 'hosts', 'weights')
        urls = [f'platform.{kind}={url}' for kind in kinds]
        self.more[name] = (*self.more[name], *urls)
        return link

    async def add_router(self, name: str) -> Router:
        """Start one more router and wait until it is ready."""
        router = await self.begin_router(name)
        assert await until(lambda: router.state == READY)
        return router

    async def begin_router(self, name: str) -> Router:
        """Start one more router; the others reach it over a link."""
        router = Router(self.settings(name))
        await router.start()
        self.routers.append(router)
        net = router.parts.net
        link = await self.link(net.me.address)
        net.me = net.link_manager.membership.change_me(address=link.address)
        self.seeds.append(link.address)
        return router

    async def add_process(self, name: str) -> RouterProcess:
        """Start a router as a process and wait until it is ready."""
        texts = self.settings_text(name)
        log = Path(self._logs.name) / f'{name}-{len(self.children)}.log'
        with log.open('w', encoding='utf-8') as errors:
            child = await asyncio.create_subprocess_exec(
                *command_line(),
                'serve',
                *(f'--set={text}' for text in texts),
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        started = json.loads(await child.stdout.readline())
        process = RouterProcess(child, started, log)
        self.children.append(process)
        self.seeds.append(started['peers'])
        await wait_ready(started['operators'])
        return process

    async def meet(self) -> None:
        """Wait until every router in this process sees all others."""
        count = len(self.routers) + len(self.children) - 1
        for router in self.routers:
            await wait(partial(_sees, router.parts.net, count))

    def heal(self) -> None:
        """Mend all links."""
        for link in self.links:
            link.heal()


def _sees(net, count: int) -> bool:
    return len(net.neighbours()) == count


async def wait(check) -> None:
    """Wait until a check holds; a test fails if it never does."""
    for _ in range(_LOOKS):
        if check():
            return
        await asyncio.sleep(_PAUSE)
    raise AssertionError('it never came about')


async def wait_ready(address: str, state: str = 'ready') -> None:
    """Wait until a router calls itself ready, or whatever is awaited."""
    sent = request('GET /readyz', secret='')
    for _ in range(_LOOKS):
        answer = parse_answer(await exchange(address, sent))
        if json.loads(answer.body)['status'] == state:
            return
        await asyncio.sleep(_PAUSE)
    raise AssertionError(f'the router is never {state}')


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]
