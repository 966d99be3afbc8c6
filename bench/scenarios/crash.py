"""Routers are killed with open streams; callers retry at other routers."""

import asyncio

from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, wait_for_bills, warm


async def run(run: Run) -> Report:
    """Kill routers one by one and start a replacement for each."""
    zones = ('zone-a',) * run.scale(4, 2)
    # Bills are recorded late, so that some are unrecorded at each kill.
    setup = await set_up(run, zones, budget__flush_interval='5s')
    await warm(setup)
    load = setup.load(rate=60, singles=0.2, words=40)
    sending = asyncio.create_task(load.run(run.scale(900, 40)))
    for number in range(run.scale(3, 1)):
        await asyncio.sleep(run.scale(3, 1) / 2)
        victim = run.fleet.routers[number]
        await setup.kill(victim)
        load.routers.remove(victim)
        load.routers.append(await run.fleet.replace(victim))
    await sending
    outcomes = await load.outcomes()
    await wait_for_bills(setup, outcomes)
    return await setup.report(outcomes)
