"""Without faults: added latency, and the time until an edit takes effect."""

import asyncio
import time

import attrs

from balsamreach.table.rows import ACTIVE, PAUSED
from bench.callers import Ask, Callers
from bench.fleet import team
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import Setup, set_up, warm

_PAUSED_CODE = 'team_paused'
_STEP_S = 0.02
_TRIES = 1000


async def run(run: Run) -> Report:
    """Send load, compare with direct requests, and edit the table."""
    setup = await set_up(run)
    await warm(setup)
    load = setup.load(rate=100, singles=0.2)
    run.say('load with table edits')
    edits = asyncio.create_task(_edit(setup, run.scale(10, 1)))
    await load.run(run.scale(1500, 20))
    outcomes = await load.outcomes()
    in_force = await edits
    report = await setup.report(outcomes)
    report.figures['in_force_p99_s'] = max(in_force)
    report.series.in_force_s = in_force
    return report


async def _edit(setup: Setup, count: int) -> list[float]:
    """Pause and resume a team; return seconds until all routers apply it."""
    row = team('edited')
    await setup.run.fleet.put(row)
    taken = []
    for number in range(count):
        state = PAUSED if number % 2 == 0 else ACTIVE
        began = time.monotonic()
        await setup.run.fleet.put(attrs.evolve(row, state=state))
        await _obeyed(setup, paused=state == PAUSED)
        taken.append(time.monotonic() - began)
    return taken


async def _obeyed(setup: Setup, *, paused: bool) -> None:
    callers = Callers()
    for router in setup.run.fleet.routers:
        for number in range(_TRIES):
            key = f'edit-{time.monotonic_ns()}-{number}'
            outcome = await callers.ask(Ask('edited', key, 1), router)
            if (outcome.code == _PAUSED_CODE) == paused and outcome.status:
                break
            await asyncio.sleep(_STEP_S)
