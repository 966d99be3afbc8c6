"""Cost of a request and of a stream in a router process."""

import asyncio
import subprocess
import sys
import time
from collections.abc import Mapping

import attrs

from balsamreach.services.base import Commit, Write
from bench.callers import CallerClient, CallerRequest
from bench.fleet import Fleet, api_key_of, engine_row, start_fleet, team
from bench.processes import Process
from bench.slopes_kinds import Measure, Size
from bench.slopes_ports import measure_shared

_TEAM = 'team-a'
_MICRO = 1_000_000
_KIB = 1024
_MIB = 1024 * 1024
_CALLERS = 8
_ANSWER_WORDS = (1, 65)
_TOKEN_INTERVAL_S = 0.2
_READING_S = 6
_IDLE_S = 5
_TIMEOUT_S = 200
_ROWS_PER_ENGINE = 32
_COMMIT_ROWS = (1, 201)
_RSS_WITH_LIBRARIES = (
    'import os, pathlib\n'
    'import balsamreach.daemon.router\n'
    'status = pathlib.Path("/proc/self/status").read_text()\n'
    'print(status.partition("VmRSS:")[2].partition("kB")[0])\n'
)
_RSS_BARE = _RSS_WITH_LIBRARIES.replace(
    'import balsamreach.daemon.router\n', ''
)


def _requests(size: Size) -> Mapping[str, float]:
    return asyncio.run(_with_fleet(_measure_requests, size))


def _streams(size: Size) -> Mapping[str, float]:
    return asyncio.run(_with_fleet(_measure_streams, size))


async def _with_fleet(measure, size: Size) -> Mapping[str, float]:
    fleet = await start_fleet()
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await measure(fleet, size)
    finally:
        await fleet.stop()


async def _measure_requests(fleet: Fleet, size: Size) -> Mapping[str, float]:
    engine = await fleet.engine(
        '--pace-ms', '0', '--first-ms', '0', '--slots', '64'
    )
    await fleet.write_rows(team(_TEAM), engine_row('engine-0', engine.address))
    router = await fleet.router()
    started = router.memory_bytes()
    count = size.scale(600, 5)
    warm_up_load = ClosedLoopLoad(router, 'warm')
    await warm_up_load.run(size.scale(100, 2), _ANSWER_WORDS[0])
    idle = await _idle_share(router, size)
    costs = []
    refused = 0
    for words in _ANSWER_WORDS:
        load = ClosedLoopLoad(router, f'w{words}')
        costs.append(await load.cost(count, words, idle))
        refused += load.refused
    return {
        'idle_share_of_a_core': idle,
        'request_of_1_word_us': costs[0],
        'word_more_us': (costs[1] - costs[0])
        / (_ANSWER_WORDS[1] - _ANSWER_WORDS[0]),
        'refused_though_paid': refused,
        'rss_started_mib': started / _MIB,
    }


async def _idle_share(router: Process, size: Size) -> float:
    before = router.cpu_s()
    seconds = size.scale(_IDLE_S, 1)
    await asyncio.sleep(seconds)
    return (router.cpu_s() - before) / seconds


@attrs.define
class ClosedLoopLoad:
    """Concurrent callers, each with its next request after an answer."""

    router: Process
    prefix: str
    sent: int = 0
    refused: int = 0
    callers: CallerClient = attrs.field(factory=CallerClient)

    async def run(self, count: int, words: int) -> tuple[float, float]:
        """Send requests; return the router's CPU seconds and the wall time."""
        before = self.router.cpu_s()
        began = time.monotonic()
        self.sent = 0
        await asyncio.gather(
            *(self._send_in_turn(count, words) for _ in range(_CALLERS)),
        )
        return self.router.cpu_s() - before, time.monotonic() - began

    async def cost(self, count: int, words: int, idle: float) -> float:
        """Return the CPU microseconds per request, without the idle load."""
        used, seconds = await self.run(count, words)
        return (used - idle * seconds) / count * _MICRO

    async def _send_in_turn(self, count: int, words: int) -> None:
        while self.sent < count:
            self.sent += 1
            request = CallerRequest(_TEAM, f'{self.prefix}-{self.sent}', words)
            outcome = await self.callers.send(request, self.router)
            while not outcome.is_complete:
                assert outcome.ran == 'no', outcome
                self.refused += 1
                outcome = await self.callers.send(request, self.router)


async def _measure_streams(fleet: Fleet, size: Size) -> Mapping[str, float]:
    engine = await fleet.start(
        'engine', 'bench.stamping', str(_TOKEN_INTERVAL_S)
    )
    await fleet.write_rows(team(_TEAM))
    for number in range(_ROWS_PER_ENGINE):
        await fleet.write_rows(engine_row(f'engine-{number}', engine.address))
    router = await fleet.router()
    # Warm up, since the first streams allocate memory that later ones share.
    await _open_streams(fleet, router, size.scale(50, 2))
    before = router.memory_bytes()
    few, many = size.scale(50, 2), size.scale(400, 4)
    sizes = [await _open_streams(fleet, router, count) for count in (few, many)]
    return {
        'stream_rss_kib': (sizes[1] - sizes[0]) / (many - few) / _KIB,
        'rss_before_mib': before / _MIB,
        'rss_at_most_streams_mib': sizes[1] / _MIB,
    }


async def _open_streams(fleet: Fleet, router: Process, streams: int) -> int:
    """Open streams; return the router's memory while all are open."""
    tokens = str(int(_READING_S / _TOKEN_INTERVAL_S))
    reader = await fleet.start(
        'reader',
        'bench.readers',
        router.address,
        str(streams),
        tokens,
        api_key_of(_TEAM),
    )
    await asyncio.sleep(_READING_S / 2)
    memory = router.memory_bytes()
    await reader.next_line()
    return memory


def _measure_interpreter(size: Size) -> Mapping[str, float]:
    return {
        'interpreter_rss_mib': _rss_mib(_RSS_BARE),
        'interpreter_and_libraries_rss_mib': _rss_mib(_RSS_WITH_LIBRARIES),
    }


def _rss_mib(code: str) -> float:
    command = (sys.executable, '-c', code)
    printed = subprocess.check_output(command, text=True)
    return int(printed) / _KIB


def _standin(size: Size) -> Mapping[str, float]:
    return asyncio.run(_with_fleet(_measure_standin, size))


async def _measure_standin(fleet: Fleet, size: Size) -> Mapping[str, float]:
    commits = size.scale(300, 3)
    costs = []
    for rows in _COMMIT_ROWS:
        before = fleet.platform.cpu_s()
        for number in range(commits):
            writes = tuple(
                Write(f'{rows}/{number}/{row}', {'tokens': 1})
                for row in range(rows)
            )
            await fleet.table.commit(Commit(writes))
        used = fleet.platform.cpu_s() - before
        costs.append(used / commits * _MICRO)
    more = _COMMIT_ROWS[1] - _COMMIT_ROWS[0]
    return {
        'commit_of_1_row_us': costs[0],
        'row_more_us': (costs[1] - costs[0]) / more,
    }


MEASURES: dict[str, Measure] = {
    'memory_base': _measure_interpreter,
    'standin': _standin,
    'requests': _requests,
    'streams': _streams,
    'shared_port': measure_shared,
}
