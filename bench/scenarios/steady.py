"""Without faults: added latency, and the time until an edit takes effect."""

import asyncio
import time

import attrs

from balsamreach.table.rows import ACTIVE, PAUSED
from bench.callers import CallerClient, CallerRequest
from bench.fleet import team
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import Setup, set_up, warm_up

_PAUSED_CODE = 'team_paused'
_POLL_S = 0.02
_TRIES = 1000


async def run(run: Run) -> Report:
    """Send load, compare with direct requests, and edit the table."""
    setup = await set_up(run)
    await warm_up(setup)
    load = setup.load(rate=100, non_idempotent_share=0.2)
    run.print_progress('load with table edits')
    edits = asyncio.create_task(_time_edits(setup, run.scale(10, 1)))
    await load.run(run.scale(1500, 20))
    outcomes = await load.outcomes()
    delays_s = await edits
    report = await setup.report(outcomes)
    report.figures['in_force_p99_s'] = max(delays_s)
    report.series.in_force_s = delays_s
    return report


async def _time_edits(setup: Setup, count: int) -> list[float]:
    """Pause and resume a team; return seconds until all routers apply it."""
    row = team('edited')
    await setup.run.fleet.write_rows(row)
    delays_s = []
    for number in range(count):
        state = PAUSED if number % 2 == 0 else ACTIVE
        began = time.monotonic()
        await setup.run.fleet.write_rows(attrs.evolve(row, state=state))
        await _wait_until_applied(setup, paused=state == PAUSED)
        delays_s.append(time.monotonic() - began)
    return delays_s


async def _wait_until_applied(setup: Setup, *, paused: bool) -> None:
    callers = CallerClient()
    for router in setup.run.fleet.routers:
        for number in range(_TRIES):
            key = f'edit-{time.monotonic_ns()}-{number}'
            outcome = await callers.send(
                CallerRequest('edited', key, 1), router
            )
            if (outcome.code == _PAUSED_CODE) == paused and outcome.status:
                break
            await asyncio.sleep(_POLL_S)
