"""Two faults at once: a router is killed during a platform outage."""

import asyncio

from bench.report import Report
from bench.run import Run
from bench.scenarios.common import (
    configure_platform,
    set_up,
    wait_for_bills,
    warm_up,
)


async def run(run: Run) -> Report:
    """Kill a router whose bills can't be recorded, then end the outage."""
    # Bills are recorded late, so that some are unrecorded at the kill.
    zones = ('zone-a',) * 3
    setup = await set_up(run, zones, budget__flush_interval='5s')
    await warm_up(setup)
    load = setup.load(rate=60, non_idempotent_share=0.2, words=20)
    sending = asyncio.create_task(load.run(run.scale(900, 60)))
    step_s = run.scale(4, 1) / 2
    await asyncio.sleep(step_s)
    run.print_progress('the platform is down')
    await configure_platform(run, down=True)
    await asyncio.sleep(step_s)
    killed = run.fleet.routers[0]
    await setup.kill(killed)
    load.routers.remove(killed)
    await asyncio.sleep(step_s)
    run.print_progress('the platform is back')
    await configure_platform(run, down=False, lose_answers=run.scale(5, 1))
    await run.fleet.replace(killed)
    await sending
    outcomes = await load.outcomes()
    await configure_platform(run, lose_answers=0)
    await wait_for_bills(setup, outcomes)
    return await setup.report(outcomes)
