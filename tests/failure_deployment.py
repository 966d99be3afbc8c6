"""Routers, a platform and targets with failures that tests trigger."""

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

#: A sleep of at least this many seconds lasts until the clock is resumed.
ENDLESS_SLEEP_S = 1000
#: Pace with which an engine stops after its first word until then, in ms.
ENDLESS_PACE_MS = ENDLESS_SLEEP_S * 1000
TEAM = 'winders'
_TIMEOUT_S = 60
_MAX_CHECKS = 2000
_CHECK_INTERVAL_S = 0.02
#: All draws have the same size, so that sessions are reproducible.
_OVERRIDES = (
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


class ResumableClock(SystemClock):
    """The system's clock, except that long sleeps end when it is resumed."""

    def __init__(self) -> None:
        self.resumed = asyncio.Event()

    async def sleep(self, seconds: float) -> None:
        """Sleep; for ``ENDLESS_SLEEP_S`` or more, wait for ``resumed``."""
        if seconds >= ENDLESS_SLEEP_S:
            await self.resumed.wait()
        else:
            await super().sleep(seconds)


@attrs.define(eq=False)
class DelayedCommit:
    """Delays the first commit to rows with a prefix at the table service.

    Parameters
    ----------
    prefix : str
        Prefix of the row keys.
    applied : bool
        Whether the commit takes effect before the delay or after it.
    """

    prefix: str
    applied: bool
    reached: asyncio.Event = attrs.field(factory=asyncio.Event)
    resume: asyncio.Event = attrs.field(factory=asyncio.Event)
    _original_commit = MemoryTableService.commit

    @contextlib.contextmanager
    def installed(self) -> Generator[None, None, None]:
        """Patch the table service for the duration of the block."""
        with mock.patch.object(
            MemoryTableService,
            'commit',
            lambda table, change: self.commit(table, change),
        ):
            yield

    async def commit(self, table: MemoryTableService, change: Commit):
        """Commit; if this is the selected commit, wait for ``resume``."""
        keys = [write.key for write in change.writes]
        is_selected = any(key.startswith(self.prefix) for key in keys)
        if not is_selected or self.reached.is_set():
            return await DelayedCommit._original_commit(table, change)
        self.reached.set()
        if not self.applied:
            await self.resume.wait()
            return await DelayedCommit._original_commit(table, change)
        outcome = await DelayedCommit._original_commit(table, change)
        await self.resume.wait()
        return outcome


@attrs.define(eq=False)
class RouterProcess:
    """A router in a separate process, which tests can kill or pause.

    Parameters
    ----------
    addresses : dict
        Addresses of its listeners, from its first line of output.
    log : Path
        File of its log.
    """

    proc: asyncio.subprocess.Process
    addresses: dict[str, str]
    log: Path

    @property
    def address(self) -> str:
        """``ip:port`` on which it serves callers."""
        return self.addresses['callers']

    def signal(self, number: int) -> None:
        """Send a signal unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.proc.send_signal(number)

    async def kill(self) -> None:
        """Kill the process by SIGKILL."""
        with contextlib.suppress(ProcessLookupError):
            self.proc.kill()
        async with asyncio.timeout(_TIMEOUT_S):
            await self.proc.wait()

    async def leave(self) -> int:
        """Shut the process down by SIGTERM and return its exit code."""
        with contextlib.suppress(ProcessLookupError):
            self.proc.terminate()
        async with asyncio.timeout(_TIMEOUT_S):
            return await self.proc.wait()

    def events(self) -> list[dict[str, object]]:
        """Return the events that it has logged."""
        lines = self.log.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]


@attrs.define(eq=False)
class FailureDeployment(Deployment):
    """A platform, engines and routers with failures that a test triggers.

    Parameters
    ----------
    engines : int
        Number of engines.
    prepaid : int
        Prepaid tokens of the only team.
    """

    engines: int = 1
    prepaid: int = 10_000
    router_overrides: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    clock: ResumableClock = attrs.field(factory=ResumableClock)
    running_engines: list[Running] = attrs.field(factory=list)
    links: list[Link] = attrs.field(factory=list)
    router_processes: list[RouterProcess] = attrs.field(factory=list)
    seeds: list[str] = attrs.field(factory=list)
    _logs: tempfile.TemporaryDirectory = attrs.field(
        factory=tempfile.TemporaryDirectory,
    )

    async def start_standins(self) -> None:
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
            self.running_engines.append(await start_engine(cfg, self.clock))
        self.engine = self.running_engines[0]
        self.service = await start_service(ServiceSettings(), self.clock)
        await self.put_rows(self.rows())

    async def start(self, routers: int = 1) -> None:
        """Start routers and wait until all are ready and connected."""
        for number in range(routers):
            await self.add_router(f'router-{number}')
        await self.wait_until_connected()

    async def stop(self) -> None:
        """Undo all failures, then stop everything."""
        self.restore_links()
        self.clock.resumed.set()
        self.failures.down = False
        for proc in self.router_processes:
            proc.signal(signal.SIGCONT)
            await proc.kill()
        for router in self.routers:
            await router.leave()
        standins = (*self.running_engines, self.service, self.platform)
        for standin in standins:
            await standin.stop()
        for link in self.links:
            link.close()
        self._logs.cleanup()

    @property
    def failures(self):
        """Failures that the platform simulates."""
        return self.platform.core.weather

    def settings_text(self, name: str) -> tuple[str, ...]:
        """Return the settings of a router as overrides of the defaults."""
        seeds = ' '.join(self.seeds)
        return (
            *super().settings_text(name),
            *_OVERRIDES,
            f'peers.seeds={seeds}',
            *self.overrides,
            *self.router_overrides.get(name, ()),
        )

    def rows(self) -> tuple[TeamRow | TargetRow, ...]:
        """Return the initial rows of the table."""
        team = TeamRow(
            name=TEAM,
            prepaid=self.prepaid,
            key_hashes=(hash_key(SECRET),),
        )
        service = super().rows()[-1]
        engines = [
            TargetRow(
                name=f'engine-{number}',
                address=engine.address,
                zone='zone-a',
                service='llm',
                models={MODEL: 1},
            )
            for number, engine in enumerate(self.running_engines)
        ]
        return (team, *engines, attrs.evolve(service, service=SERVICE, price=5))

    async def replace_row(self, row: TargetRow) -> None:
        """Overwrite a row by an operator's edit."""
        editor = Editor(self.store, SystemClock())
        edit = Edit(f'new-{row.name}', 'test', row.key, -1, encode(row))
        outcome = await editor.apply(edit)
        assert not isinstance(outcome, TableFault), outcome

    async def link(self, to: str) -> Link:
        """Open a link to an address; the test can cut the link."""
        link = Link(to)
        await link.open()
        self.links.append(link)
        return link

    async def table_link(self, name: str) -> Link:
        """Link a router that is not started yet to the table service."""
        link = await self.link(self.platform.address)
        earlier = self.router_overrides.get(name, ())
        url = f'http://{link.address}'
        self.router_overrides[name] = (*earlier, f'platform.table={url}')
        return link

    async def platform_link(self, name: str) -> Link:
        """Link a router that is not started yet to all platform services."""
        link = await self.table_link(name)
        url = f'http://{link.address}'
        kinds = ('objects', 'hosts', 'weights')
        urls = [f'platform.{kind}={url}' for kind in kinds]
        self.router_overrides[name] = (*self.router_overrides[name], *urls)
        return link

    async def add_router(self, name: str) -> Router:
        """Start one more router and wait until it is ready."""
        router = await self.start_router(name)
        assert await until(lambda: router.state == READY)
        return router

    async def start_router(self, name: str) -> Router:
        """Start one more router, which its peers reach over a link."""
        router = Router(self.settings(name))
        await router.start()
        self.routers.append(router)
        net = router.parts.net
        link = await self.link(net.me.address)
        net.me = net.link_manager.membership.change_me(address=link.address)
        self.seeds.append(link.address)
        return router

    async def add_router_process(self, name: str) -> RouterProcess:
        """Start a router in a process and wait until it is ready."""
        texts = self.settings_text(name)
        log = Path(self._logs.name) / f'{name}-{len(self.router_processes)}.log'
        with log.open('w', encoding='utf-8') as errors:
            proc = await asyncio.create_subprocess_exec(
                *command_line(),
                'serve',
                *(f'--set={text}' for text in texts),
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        addresses = json.loads(await proc.stdout.readline())
        process = RouterProcess(proc, addresses, log)
        self.router_processes.append(process)
        self.seeds.append(addresses['peers'])
        await wait_for_state(addresses['operators'])
        return process

    async def wait_until_connected(self) -> None:
        """Wait until each router in this process is connected to all others."""
        count = len(self.routers) + len(self.router_processes) - 1
        for router in self.routers:
            await wait_until(partial(_has_neighbours, router.parts.net, count))

    def restore_links(self) -> None:
        """Restore all links."""
        for link in self.links:
            link.heal()


def _has_neighbours(net, count: int) -> bool:
    return len(net.neighbours()) == count


async def wait_until(check) -> None:
    """Wait until a check is true; fail if it is not within about 40 s."""
    for _ in range(_MAX_CHECKS):
        if check():
            return
        await asyncio.sleep(_CHECK_INTERVAL_S)
    raise AssertionError('timed out before the check was true')


async def wait_for_state(address: str, state: str = 'ready') -> None:
    """Wait until the router at an operators' address reports a state."""
    sent = request('GET /readyz', secret='')
    for _ in range(_MAX_CHECKS):
        answer = parse_answer(await exchange(address, sent))
        if json.loads(answer.body)['status'] == state:
            return
        await asyncio.sleep(_CHECK_INTERVAL_S)
    raise AssertionError(f'timed out before the router was {state}')


def free_port() -> int:
    """Return a TCP port that is currently free."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]
