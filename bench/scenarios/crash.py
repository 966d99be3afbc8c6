"""Routers are killed with open streams; callers retry at other routers."""

import asyncio

from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, wait_for_bills, warm_up


async def run(run: Run) -> Report:
    """Kill routers one by one and start a replacement for each."""
    zones = ('zone-a',) * run.scale(4, 2)
    # Bills are recorded late, so that some are unrecorded at each kill.
    setup = await set_up(run, zones, budget__flush_interval='5s')
    await warm_up(setup)
    load = setup.load(rate=60, non_idempotent_share=0.2, words=40)
    sending = asyncio.create_task(load.run(run.scale(900, 40)))
    for index in range(run.scale(3, 1)):
        await asyncio.sleep(run.scale(3, 1) / 2)
        killed = run.fleet.routers[index]
        await setup.kill(killed)
        load.routers.remove(killed)
        load.routers.append(await run.fleet.replace(killed))
    await sending
    outcomes = await load.outcomes()
    await wait_for_bills(setup, outcomes)
    return await setup.report(outcomes)
