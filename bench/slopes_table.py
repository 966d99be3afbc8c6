"""Time for which a table import blocks a router's event loop."""

import asyncio
import gc
import random
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

import attrs

from balsamreach.clock import SystemClock
from balsamreach.services.base import Commit, Write
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.exchange import TableExchange
from balsamreach.table.reader import TableReader
from balsamreach.table.view import TableView
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.codec import Envelope, decode, encode
from balsamreach.wire.tables import TableAsk
from bench import table_size
from bench.slopes_kinds import Measure, Size
from tests.fake_net import FakeNet

_MILLI = 1000
_COMMIT_ROWS = 100


@attrs.define
class Longest:
    """Longest CPU time for which other tasks blocked the event loop."""

    seconds: float = 0

    async def watch(self) -> None:
        """Measure each loop iteration until cancelled."""
        last = time.process_time()
        while True:
            await asyncio.sleep(0)
            now = time.process_time()
            self.seconds = max(self.seconds, now - last)
            last = time.process_time()


async def _longest_ms(work: Callable[[], Awaitable[object]]) -> float:
    longest = Longest()
    watching = asyncio.create_task(longest.watch())
    await asyncio.sleep(0)
    await work()
    await asyncio.sleep(0)
    watching.cancel()
    return longest.seconds * _MILLI


def _import(size: Size) -> Mapping[str, float]:
    return asyncio.run(_follow(size))


async def _follow(size: Size) -> Mapping[str, float]:
    teams = size.scale(table_size.TEAMS, 200)
    edited = size.scale(5000, 100)
    platform = MemoryPlatform.start(SystemClock())
    await _write(platform, range(teams))
    ahead, behind = TableView(complete=True), TableView(complete=True)
    reader = TableReader(platform.table, ahead, SystemClock())
    await reader.refresh()
    behind.apply(ahead.rows_since(0), ahead.version)
    rng = random.Random(size.seed)
    await _write(platform, rng.sample(range(teams), edited))
    # A router does the same once its table is complete.
    gc.freeze()
    read = await _longest_ms(reader.refresh)
    told = await _tell(ahead, behind)
    gc.unfreeze()
    return {
        'full_collection_ms': _sweep_ms(teams),
        'read_longest_ms': read,
        **told,
    }


def _sweep_ms(teams: int) -> float:
    gc.collect()
    gc.freeze()
    view = TableView()
    view.apply(map(table_size.team, range(teams)), teams)
    gc.collect()
    began = time.process_time()
    gc.collect()
    swept = time.process_time() - began
    gc.unfreeze()
    return swept * _MILLI


async def _tell(ahead: TableView, behind: TableView) -> Mapping[str, float]:
    fabric = FakeNet()
    one, two = fabric.join('one'), fabric.join('two')
    TableExchange(one, ahead, Metrics()).start()
    TableExchange(two, behind, Metrics()).start()
    began = time.process_time()
    page = await two.ask('one', TableAsk(behind.version))
    packed = encode(Envelope(page))
    answered = time.process_time()
    await two.take(one.me, decode(packed).message)
    taken = time.process_time()
    return {
        'answer_ms': (answered - began) * _MILLI,
        'take_ms': (taken - answered) * _MILLI,
        'rows_of_a_page': len(page.rows),
    }


async def _write(platform: MemoryPlatform, numbers: Sequence[int]) -> None:
    for start in range(0, len(numbers), _COMMIT_ROWS):
        rows = map(table_size.team, numbers[start : start + _COMMIT_ROWS])
        writes = tuple(Write(row.key, row.value) for row in rows)
        await platform.table.commit(Commit(writes))


MEASURES: dict[str, Measure] = {'import': _import}
