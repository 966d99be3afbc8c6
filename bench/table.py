"""Benchmark of the table: ``python -m bench.table`` prints JSON."""

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import quantiles
from typing import Any

from balsamreach.client.csv_table import write_table
from balsamreach.clock import SystemClock
from balsamreach.table.editor import Editor
from bench.table_size import (
    TARGETS,
    TEAMS,
    bytes_per_row,
    measure_starts,
    target_row,
    team_row,
)
from bench.table_spread import ROUTERS, TableFleet
from tests.operators_server import KEY, OperatorsServer

_QUIET_S = 20
_SLOW_PAUSE_S = 1
_HUNDREDTHS = 100
_EDITS_A_DAY = 16_000
_DAY_S = 86_400
_KIB = 1024
#: Runs a command and prints its peak memory in KiB. The resource usage of ended
#: children can't be used, since it starts at the memory of this process, from
#: which they are forked.
_COMMAND = (
    'from pathlib import Path;'
    'from balsamreach.ui.main import main;'
    'main(standalone_mode=False);'
    'status = Path("/proc/self/status").read_text();'
    'print(status.partition("VmHWM:")[2].partition("kB")[0])'
)


def main() -> None:
    """Run all measurements and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--edits', type=int, default=200)
    args = parser.parse_args()
    figures = {
        'bytes_per_team': round(bytes_per_row(team_row, TEAMS)),
        'bytes_per_target': round(bytes_per_row(target_row, TARGETS)),
        'start': asyncio.run(measure_starts()),
        'import': measure_import(),
        'spread': asyncio.run(measure_spread(args.seed, args.edits)),
    }
    json.dump(figures, sys.stdout, indent=2)


async def measure_spread(seed: int, edits: int) -> dict[str, Any]:
    """Return seconds from accepting an edit to its effect, and peer bytes."""
    fleet = await TableFleet.start(seed)
    traffic = await _measure_traffic(fleet, edits)
    # An editor that does not notify peers simulates a router that crashes
    # right after its commit.
    silent = Editor(fleet.platform.table, SystemClock())
    from_table_log = await fleet.time_edits(silent, edits)
    for node in fleet.nodes[1:]:
        node.access.table_cut = True
    from_peers = await fleet.time_edits(silent, edits // 2, pause=_SLOW_PAUSE_S)
    await fleet.stop()
    return {
        'routers': ROUTERS,
        **traffic,
        'acceptor_died_at_once': _summarize(from_table_log),
        'one_router_reaches_the_platform': _summarize(from_peers),
    }


async def _measure_traffic(fleet: TableFleet, edits: int) -> dict[str, Any]:
    before = fleet.bytes_out()
    await asyncio.sleep(_QUIET_S)
    quiet = (fleet.bytes_out() - before) / _QUIET_S
    before = fleet.bytes_out()
    began = time.monotonic()
    delays = await fleet.time_edits(None, edits)
    seconds = time.monotonic() - began
    busy = fleet.bytes_out() - before - quiet * seconds
    edit_bytes = busy / edits / ROUTERS
    return {
        'platform_up': _summarize(delays),
        'quiet_bytes_a_second': round(quiet / ROUTERS),
        'bytes_per_edit': round(edit_bytes),
        'bytes_a_second_at_16000_edits_a_day': round(
            edit_bytes * _EDITS_A_DAY / _DAY_S,
        ),
    }


def measure_import() -> dict[str, Any]:
    """Return seconds and peak memory of table commands on 36,000 rows."""
    server = OperatorsServer()
    server.start()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'table.csv'
        with path.open('w', encoding='utf-8-sig', newline='') as stream:
            write_table(map(_as_new_row, range(TEAMS)), stream)
        first = _run(server, 'import', str(path))
        export = _run(server, 'export', str(path))
        unchanged = _run(server, 'import', str(path))
    server.stop()
    return {
        'rows': TEAMS,
        'import': first,
        'export': export,
        'import_unchanged': unchanged,
    }


def _as_new_row(number: int) -> dict[str, Any]:
    row = team_row(number)
    key = row.key.removeprefix('table/')
    return {'key': key, 'version': 0, 'value': row.value}


def _run(server: OperatorsServer, *arguments: str) -> dict[str, float]:
    environment = os.environ | {
        'BALSAMREACH_ROUTER': server.url,
        'BALSAMREACH_OPERATOR_KEY': KEY,
    }
    began = time.perf_counter()
    ended = subprocess.run(
        [sys.executable, '-c', _COMMAND, 'table', *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        check=True,
    )
    peak = int(ended.stdout.split()[-1])
    seconds = round(time.perf_counter() - began, 1)
    return {'seconds': seconds, 'peak_mib': round(peak / _KIB, 1)}


def _summarize(seconds: list[float]) -> dict[str, float]:
    shares = quantiles(seconds, n=_HUNDREDTHS)
    return {
        'p50_s': round(shares[49], 4),
        'p99_s': round(shares[98], 4),
        'most_s': round(max(seconds), 4),
        'missed': sum(delay == float('inf') for delay in seconds),
    }


if __name__ == '__main__':
    main()
