"""One team floods the routers while others send at a constant rate."""

import asyncio

from bench.probe import quantiles
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, warm

_QUIET = ('team-b', 'team-c')
_FLOOD = 'team-a'


async def run(run: Run) -> Report:
    """Compare latencies of the quiet teams before and during the flood."""
    setup = await set_up(run, engines=1)
    await warm(setup)
    shares = dict.fromkeys(_QUIET, 1.0)
    before = setup.load(rate=10, teams=shares, prefix='before')
    run.say('only quiet teams send')
    await before.run(run.scale(80, 5))
    calm = await before.outcomes()
    during = setup.load(rate=10, teams=shares, prefix='during')
    flood = setup.load(
        rate=400,
        teams={_FLOOD: 1.0},
        prefix='flood',
        retries=False,
        words=30,
    )
    run.say(f'{_FLOOD} floods the routers')
    flooding = asyncio.create_task(flood.run(run.scale(4000, 40)))
    await during.run(run.scale(80, 5))
    await flooding
    pressed = await during.outcomes()
    outcomes = [*calm, *pressed, *await flood.outcomes()]
    report = await setup.report(outcomes)
    fast = quantiles([outcome.took_s for outcome in calm])
    slow = quantiles([outcome.took_s for outcome in pressed])
    report.figures |= {
        'quiet_refused': sum(not outcome.right for outcome in pressed),
        'quiet_p50_ms': slow[0],
        'quiet_p99_ms': slow[1],
    }
    report.baseline |= {'quiet_p50_ms': fast[0], 'quiet_p99_ms': fast[1]}
    return report
