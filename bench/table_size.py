"""Memory per table row, and cost of reading the table at the start."""

import gc
import json
import time
import tracemalloc
from typing import Any

import attrs

from balsamreach.clock import SystemClock
from balsamreach.services.base import Commit, Row, Write
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table import rows
from balsamreach.table.reader import TableReader
from balsamreach.table.snapshots import Snapshots
from balsamreach.table.view import TableView, hash_key
from balsamreach.telemetry.metrics import Metrics

TEAMS = 36_000
TARGETS = 10_000
_COMMIT_ROWS = 100


def team_row(number: int) -> Row:
    """Return a row of a team with typical fields."""
    row = rows.TeamRow(
        name=f'team-{number:05}',
        prepaid=1_000_000,
        models={'model-a': 1, 'model-b': 2},
        key_hashes=(hash_key(str(number)),),
    )
    return Row(row.key, number + 1, _through_json(row))


def target_row(number: int) -> Row:
    """Return a row of a target."""
    row = rows.TargetRow(
        name=f'target-{number:05}',
        address=f'10.0.{number // 250}.{number % 250}:8000',
        zone=f'zone-{number % 27}',
        service='llm',
        models={'model-a': 1},
    )
    return Row(row.key, number + 1, _through_json(row))


def _through_json(row: rows.TableRow) -> dict[str, Any]:
    # Strings decoded from JSON are not shared with other rows, as in use.
    return json.loads(json.dumps(rows.encode(row)))


def bytes_per_row(make: Any, count: int) -> float:
    """Return the bytes per row of a table view."""
    sizes = []
    for share in (2, 1):
        gc.collect()
        tracemalloc.start()
        view = TableView()
        for number in range(count // share):
            view.apply((make(number),), 0)
        gc.collect()
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return (sizes[1] - sizes[0]) / (count - count // 2)


@attrs.frozen
class Start:
    """Cost of one start."""

    reads: int
    seconds: float


async def measure_starts() -> dict[str, Any]:
    """Return the cost of a start by scan and by snapshot."""
    platform = MemoryPlatform.start(SystemClock())
    await _write_teams(platform)
    by_scan, view = await _start(platform)
    snapshots = Snapshots(platform.objects, SystemClock(), Metrics())
    began = time.perf_counter()
    name = await snapshots.write_if_due(view)
    written = time.perf_counter() - began
    by_snapshot, _ = await _start(platform)
    body = await platform.objects.get(name)
    return {
        'by_scan': attrs.asdict(by_scan),
        'by_snapshot': attrs.asdict(by_snapshot),
        'snapshot_bytes': len(body),
        'snapshot_write_s': round(written, 3),
    }


async def _write_teams(platform: MemoryPlatform) -> None:
    for first in range(0, TEAMS, _COMMIT_ROWS):
        writes = tuple(
            Write(row.key, row.value)
            for row in map(team_row, range(first, first + _COMMIT_ROWS))
        )
        await platform.table.commit(Commit(writes))


async def _start(platform: MemoryPlatform) -> tuple[Start, TableView]:
    view = TableView()
    before = platform.weather.reads
    began = time.perf_counter()
    snapshots = Snapshots(platform.objects, SystemClock(), Metrics())
    await snapshots.load(view)
    await TableReader(platform.table, view, SystemClock()).refresh()
    seconds = time.perf_counter() - began
    assert len(view.teams) == TEAMS
    reads = platform.weather.reads - before
    return Start(reads, round(seconds, 3)), view
