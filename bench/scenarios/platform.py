"""The platform is down, then slow, then loses responses to writes."""

import asyncio

from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, warm, weather


async def run(run: Run) -> Report:
    """Send load through all three faults."""
    setup = await set_up(run)
    await warm(setup)
    load = setup.load(rate=60, singles=0.1)
    sending = asyncio.create_task(load.run(run.scale(1200, 60)))
    step_s = run.scale(5, 1) / 2
    await asyncio.sleep(step_s)
    run.say('the platform is down')
    await weather(run, down=True)
    await asyncio.sleep(step_s)
    run.say('the platform is slow')
    await weather(run, down=False, delay_s=1)
    await asyncio.sleep(step_s)
    run.say('the platform loses responses')
    await weather(run, delay_s=0, lose_answers=run.scale(20, 3))
    await sending
    outcomes = await load.outcomes()
    await weather(run, lose_answers=0)
    return await setup.report(outcomes)
