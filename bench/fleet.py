"""Processes of one run: platform, targets and routers."""

import asyncio
import json
import time
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from balsamreach.clock import SystemClock
from balsamreach.services.http import PlatformClient
from balsamreach.services.table_http import HttpTableService
from balsamreach.table.editor import Edit, Editor
from balsamreach.table.faults import TableFault
from balsamreach.table.rows import TargetRow, TeamRow, encode
from balsamreach.table.view import hash_key
from bench.processes import Process, start

SECRET = 'bench-key'
OPERATOR = 'bench-operator'
AMPLE_TOKENS = 1_000_000_000
#: Replaces the dot of a setting's name in keyword arguments.
_DOT_PLACEHOLDER = '__'
_MAX_SEEDS = 8
_READY_TRIES = 400
_READY_STEP_S = 0.05


def api_key_of(team: str) -> str:
    """Return the API key of a team."""
    return f'{SECRET}-{team}'


@attrs.define(eq=False)
class Fleet:
    """Starts the processes of a scenario and stops all of them.

    Parameters
    ----------
    platform : Process
        Stand-in platform.
    platform_url : str
        URL of the platform for routers, possibly through a `Link`.
    table : HttpTableService
        Client of the platform's table service.
    processes : list of Process
        All processes, in the order of their start.
    routers : list of Process
        Routers, including ended ones.
    router_module : str
        Python module that is run as a router.
    """

    platform: Process
    platform_url: str
    table: HttpTableService
    processes: list[Process] = attrs.field(factory=list)
    routers: list[Process] = attrs.field(factory=list)
    router_module: str = 'balsamreach'

    async def engine(self, *options: str) -> Process:
        """Start a stand-in engine."""
        arguments = ('balsamreach', 'standin', 'engine', *options)
        return await self.start('engine', *arguments)

    async def service(self, *options: str) -> Process:
        """Start a stand-in plain service."""
        arguments = ('balsamreach', 'standin', 'service', *options)
        return await self.start('service', *arguments)

    async def start(self, name: str, *arguments: str) -> Process:
        """Start a Python module as a process of the run."""
        process = await start(name, *arguments)
        self.processes.append(process)
        return process

    async def router(self, zone: str = 'zone-a', **settings: Any) -> Process:
        """Start a router and wait until it is ready.

        Parameters
        ----------
        zone : str
            Availability zone of the router.
        settings : Any
            Settings, with ``__`` for the dot in a name.
        """
        name = f'router-{len(self.routers)}'
        seeds = [router.started['peers'] for router in self.routers]
        peer_seeds = {'peers.seeds': ','.join(seeds[-_MAX_SEEDS:])}
        overrides = {
            key.replace(_DOT_PLACEHOLDER, '.'): setting
            for key, setting in settings.items()
        }
        merged = (
            _defaults(self.platform_url, name, zone) | peer_seeds | overrides
        )
        options = [f'--set={key}={text}' for key, text in merged.items()]
        router = await self.start(name, self.router_module, 'serve', *options)
        self.routers.append(router)
        await wait_until(lambda: _is_ready(router))
        return router

    async def replace(self, killed: Process, zone: str = 'zone-a') -> Process:
        """Start a router on the addresses of one that was killed.

        Being able to bind the addresses proves that the killed router has
        ended, so its successor may close the allotments that it held.
        """
        names = ('callers', 'operators', 'peers')
        ports = {
            f'{name}__port': killed.started[name].rpartition(':')[2]
            for name in names
        }
        return await self.router(zone, **ports)

    async def write_rows(self, *rows: TeamRow | TargetRow) -> None:
        """Write table rows through the editor, as an operator would."""
        editor = Editor(self.table, SystemClock())
        for row in rows:
            fields = encode(row)
            edit_id = f'bench-{time.monotonic_ns()}'
            seen = await self.table.read((row.key,))
            version = seen[0].version
            edit = Edit(edit_id, 'bench', row.key, version, fields)
            outcome = await editor.apply(edit)
            assert not isinstance(outcome, TableFault), outcome

    async def stop(self) -> None:
        """Stop all processes, routers first."""
        routers = [router.shut_down() for router in self.routers]
        await asyncio.gather(*routers)
        others = [process.shut_down() for process in reversed(self.processes)]
        await asyncio.gather(*others)


async def start_fleet() -> Fleet:
    """Start the platform; the scenario starts all other processes."""
    platform = await start('platform', 'balsamreach', 'standin', 'platform')
    url = f'http://{platform.address}'
    fleet = Fleet(platform, url, HttpTableService(PlatformClient(url)))
    fleet.processes.append(platform)
    return fleet


def team(name: str, prepaid: int = AMPLE_TOKENS, **fields: Any) -> TeamRow:
    """Return the row of a team with the key from `api_key_of`."""
    hashes = (hash_key(api_key_of(name)),)
    return TeamRow(name=name, prepaid=prepaid, key_hashes=hashes, **fields)


def engine_row(name: str, address: str, **fields: Any) -> TargetRow:
    """Return the row of an engine that serves ``model-a``."""
    overrides = {
        'zone': 'zone-a',
        'service': 'llm',
        'models': ('model-a',),
        'concurrency': 1000,
    }
    return TargetRow(name=name, address=address, **overrides | fields)


async def fetch(url: str, secret: str = '', body: Any = None) -> Any:
    """Call a JSON interface; return None if it is unreachable or refuses."""
    request = HTTPRequest(
        url,
        method='GET' if body is None else 'POST',
        body=None if body is None else json.dumps(body),
        headers={'Authorization': f'Bearer {secret}'},
    )
    try:
        reply = await AsyncHTTPClient().fetch(request, raise_error=False)
    except OSError:
        return None
    return json.loads(reply.body or b'null') if reply.code < 300 else None


async def wait_until(check: Any, tries: int = _READY_TRIES) -> bool:
    """Await a coroutine function until it returns true.

    Returns False if it does not within the number of tries.
    """
    for _ in range(tries):
        if await check():
            return True
        await asyncio.sleep(_READY_STEP_S)
    return False


async def _is_ready(router: Process) -> bool:
    url = f'http://{router.started["operators"]}/readyz'
    try:
        reply = await AsyncHTTPClient().fetch(url, raise_error=False)
    except OSError:
        return False
    return reply.code == 200


def _defaults(platform: str, name: str, zone: str) -> dict[str, Any]:
    return {
        'host.name': name,
        'host.zone': zone,
        'callers.port': 0,
        'operators.port': 0,
        'operators.keys': hash_key(OPERATOR),
        'peers.port': 0,
        'platform.table': platform,
        'platform.objects': platform,
        'platform.hosts': platform,
        'platform.weights': platform,
        'telemetry.traces': 'off',
        'telemetry.log_level': 'error',
    }
