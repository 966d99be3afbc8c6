"""Under load, a target is marked as leaving and a router shuts down."""

import asyncio
import time

import attrs

from balsamreach.table.rows import LEAVING
from bench.fleet import engine_row, fetch
from bench.processes import Process
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, warm

_SECONDS = 3
_STEP_S = 0.05


async def run(run: Run) -> Report:
    """Mark an engine as leaving, count its late work, shut a router down."""
    setup = await set_up(run)
    await warm(setup)
    load = setup.load(rate=60, words=40)
    sending = asyncio.create_task(load.run(run.scale(900, 300)))
    await asyncio.sleep(run.scale(3, 1))
    engine = setup.engines[0]
    run.say('engine-0 is marked as leaving')
    row = engine_row('engine-0', engine.address)
    await run.fleet.put(attrs.evolve(row, state=LEAVING))
    in_force_s = await _time_last_work(engine)
    at_mark = await _runs(engine)
    going = run.fleet.routers[0]
    run.say(f'{going.name} shuts down')
    load.routers.remove(going)
    await setup.meter.note(going)
    await going.leave()
    await sending
    outcomes = await load.outcomes()
    late = await _runs(engine) - at_mark
    # Nothing else fails in this scenario, so every cut stream was cut by the
    # shutdown or by the leaving target.
    cut = sum(outcome.cuts for outcome in outcomes)
    report = await setup.report(outcomes, late_work=late, cut_by_shutdown=cut)
    report.figures['in_force_p99_s'] = in_force_s
    report.series.in_force_s = [in_force_s]
    return report


async def _time_last_work(engine: Process) -> float:
    """Return seconds until the last new work seen within `_SECONDS`."""
    began = time.monotonic()
    last_s = 0.0
    runs = await _runs(engine)
    while time.monotonic() - began < _SECONDS:
        await asyncio.sleep(_STEP_S)
        seen = await _runs(engine)
        if seen > runs:
            last_s = time.monotonic() - began
        runs = seen
    return last_s


async def _runs(engine: Process) -> int:
    control = await fetch(f'http://{engine.address}/control')
    return sum(control['runs'].values())
