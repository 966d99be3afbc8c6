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
class LoopBlockMeter:
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
    meter = LoopBlockMeter()
    watching = asyncio.create_task(meter.watch())
    await asyncio.sleep(0)
    await work()
    await asyncio.sleep(0)
    watching.cancel()
    return meter.seconds * _MILLI


def _import(size: Size) -> Mapping[str, float]:
    return asyncio.run(_measure_import(size))


async def _measure_import(size: Size) -> Mapping[str, float]:
    teams = size.scale(table_size.TEAMS, 200)
    edited = size.scale(5000, 100)
    platform = MemoryPlatform.start(SystemClock())
    await _write(platform, range(teams))
    newer, older = TableView(complete=True), TableView(complete=True)
    reader = TableReader(platform.table, newer, SystemClock())
    await reader.refresh()
    older.apply(newer.rows_since(0), newer.version)
    rng = random.Random(size.seed)
    await _write(platform, rng.sample(range(teams), edited))
    # A router does the same once its table is complete.
    gc.freeze()
    read = await _longest_ms(reader.refresh)
    exchanged = await _exchange(newer, older)
    gc.unfreeze()
    return {
        'full_collection_ms': _full_collection_ms(teams),
        'read_longest_ms': read,
        **exchanged,
    }


def _full_collection_ms(teams: int) -> float:
    gc.collect()
    gc.freeze()
    view = TableView()
    view.apply(map(table_size.team_row, range(teams)), teams)
    gc.collect()
    began = time.process_time()
    gc.collect()
    collection_s = time.process_time() - began
    gc.unfreeze()
    return collection_s * _MILLI


async def _exchange(newer: TableView, older: TableView) -> Mapping[str, float]:
    fabric = FakeNet()
    one, two = fabric.join('one'), fabric.join('two')
    TableExchange(one, newer, Metrics()).start()
    TableExchange(two, older, Metrics()).start()
    began = time.process_time()
    page = await two.ask('one', TableAsk(older.version))
    encoded = encode(Envelope(page))
    answered = time.process_time()
    await two.take(one.me, decode(encoded).message)
    applied = time.process_time()
    return {
        'answer_ms': (answered - began) * _MILLI,
        'take_ms': (applied - answered) * _MILLI,
        'rows_of_a_page': len(page.rows),
    }


async def _write(platform: MemoryPlatform, numbers: Sequence[int]) -> None:
    for start in range(0, len(numbers), _COMMIT_ROWS):
        rows = map(table_size.team_row, numbers[start : start + _COMMIT_ROWS])
        writes = tuple(Write(row.key, row.value) for row in rows)
        await platform.table.commit(Commit(writes))


MEASURES: dict[str, Measure] = {'import': _import}
