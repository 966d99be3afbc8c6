"""Under load, a target is marked as leaving and a router shuts down."""

import asyncio
import time

import attrs

from balsamreach.table.rows import LEAVING
from bench.fleet import engine_row, fetch
from bench.processes import Process
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, warm_up

_WATCH_S = 3
_POLL_S = 0.05


async def run(run: Run) -> Report:
    """Mark an engine as leaving, count its late work, shut a router down."""
    setup = await set_up(run)
    await warm_up(setup)
    load = setup.load(rate=60, words=40)
    sending = asyncio.create_task(load.run(run.scale(900, 300)))
    await asyncio.sleep(run.scale(3, 1))
    engine = setup.engines[0]
    run.print_progress('engine-0 is marked as leaving')
    row = engine_row('engine-0', engine.address)
    await run.fleet.write_rows(attrs.evolve(row, state=LEAVING))
    in_force_s = await _time_of_last_run(engine)
    runs_at_mark = await _count_runs(engine)
    leaving_router = run.fleet.routers[0]
    run.print_progress(f'{leaving_router.name} shuts down')
    load.routers.remove(leaving_router)
    await setup.meter.read_last(leaving_router)
    await leaving_router.shut_down()
    await sending
    outcomes = await load.outcomes()
    late_runs = await _count_runs(engine) - runs_at_mark
    # Nothing else fails in this scenario, so every cut stream was cut by the
    # shutdown or by the leaving target.
    cut_count = sum(outcome.cuts for outcome in outcomes)
    report = await setup.report(
        outcomes, late_work=late_runs, cut_by_shutdown=cut_count
    )
    report.figures['in_force_p99_s'] = in_force_s
    report.series.in_force_s = [in_force_s]
    return report


async def _time_of_last_run(engine: Process) -> float:
    """Return seconds until the last new work seen within `_WATCH_S`."""
    began = time.monotonic()
    last_run_s = 0.0
    runs = await _count_runs(engine)
    while time.monotonic() - began < _WATCH_S:
        await asyncio.sleep(_POLL_S)
        new_runs = await _count_runs(engine)
        if new_runs > runs:
            last_run_s = time.monotonic() - began
        runs = new_runs
    return last_run_s


async def _count_runs(engine: Process) -> int:
    control = await fetch(f'http://{engine.address}/control')
    return sum(control['runs'].values())
