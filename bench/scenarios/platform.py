"""The platform is down, then slow, then loses responses to writes."""

import asyncio

from bench.report import Report
from bench.run import Run
from bench.scenarios.common import configure_platform, set_up, warm_up


async def run(run: Run) -> Report:
    """Send load through all three faults."""
    setup = await set_up(run)
    await warm_up(setup)
    load = setup.load(rate=60, non_idempotent_share=0.1)
    sending = asyncio.create_task(load.run(run.scale(1200, 60)))
    step_s = run.scale(5, 1) / 2
    await asyncio.sleep(step_s)
    run.print_progress('the platform is down')
    await configure_platform(run, down=True)
    await asyncio.sleep(step_s)
    run.print_progress('the platform is slow')
    await configure_platform(run, down=False, delay_s=1)
    await asyncio.sleep(step_s)
    run.print_progress('the platform loses responses')
    await configure_platform(run, delay_s=0, lose_answers=run.scale(20, 3))
    await sending
    outcomes = await load.outcomes()
    await configure_platform(run, lose_answers=0)
    return await setup.report(outcomes)
