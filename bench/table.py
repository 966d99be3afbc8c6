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
    memory_slope,
    starts,
    target,
    team,
)
from bench.table_spread import ROUTERS, Spread
from tests.operators_server import KEY, OperatorsServer

_QUIET_S = 20
_SLOW_S = 1
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
        'bytes_per_team': round(memory_slope(team, TEAMS)),
        'bytes_per_target': round(memory_slope(target, TARGETS)),
        'start': asyncio.run(starts()),
        'import': measure_import(),
        'spread': asyncio.run(measure_spread(args.seed, args.edits)),
    }
    json.dump(figures, sys.stdout, indent=2)


async def measure_spread(seed: int, edits: int) -> dict[str, Any]:
    """Return seconds from accepting an edit to its effect, and peer bytes."""
    spread = await Spread.start(seed)
    traffic = await _measure_traffic(spread, edits)
    # An editor that does not notify peers simulates a router that crashes
    # right after its commit.
    silent = Editor(spread.platform.table, SystemClock())
    by_log = await spread.edits(silent, edits)
    for node in spread.nodes[1:]:
        node.way.table_cut = True
    by_peer = await spread.edits(silent, edits // 2, pause=_SLOW_S)
    await spread.stop()
    return {
        'routers': ROUTERS,
        **traffic,
        'acceptor_died_at_once': _sum_up(by_log),
        'one_router_reaches_the_platform': _sum_up(by_peer),
    }


async def _measure_traffic(spread: Spread, edits: int) -> dict[str, Any]:
    before = spread.bytes_out()
    await asyncio.sleep(_QUIET_S)
    quiet = (spread.bytes_out() - before) / _QUIET_S
    before = spread.bytes_out()
    began = time.monotonic()
    delays = await spread.edits(None, edits)
    seconds = time.monotonic() - began
    busy = spread.bytes_out() - before - quiet * seconds
    edit_bytes = busy / edits / ROUTERS
    return {
        'platform_up': _sum_up(delays),
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
            write_table(map(_as_new, range(TEAMS)), stream)
        first = _run(server, 'import', str(path))
        export = _run(server, 'export', str(path))
        again = _run(server, 'import', str(path))
    server.stop()
    return {
        'rows': TEAMS,
        'import': first,
        'export': export,
        'import_unchanged': again,
    }


def _as_new(number: int) -> dict[str, Any]:
    row = team(number)
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


def _sum_up(seconds: list[float]) -> dict[str, float]:
    shares = quantiles(seconds, n=_HUNDREDTHS)
    return {
        'p50_s': round(shares[49], 4),
        'p99_s': round(shares[98], 4),
        'most_s': round(max(seconds), 4),
        'missed': sum(late == float('inf') for late in seconds),
    }


if __name__ == '__main__':
    main()
