"""One team floods the routers while others send at a constant rate."""

import asyncio

from bench.probe import quantiles
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, warm_up

_QUIET_TEAMS = ('team-b', 'team-c')
_FLOODING_TEAM = 'team-a'


async def run(run: Run) -> Report:
    """Compare latencies of the quiet teams before and during the flood."""
    setup = await set_up(run, engines=1)
    await warm_up(setup)
    shares = dict.fromkeys(_QUIET_TEAMS, 1.0)
    before = setup.load(rate=10, teams=shares, prefix='before')
    run.print_progress('only quiet teams send')
    await before.run(run.scale(80, 5))
    outcomes_before = await before.outcomes()
    during = setup.load(rate=10, teams=shares, prefix='during')
    flood = setup.load(
        rate=400,
        teams={_FLOODING_TEAM: 1.0},
        prefix='flood',
        retries=False,
        words=30,
    )
    run.print_progress(f'{_FLOODING_TEAM} floods the routers')
    flooding = asyncio.create_task(flood.run(run.scale(4000, 40)))
    await during.run(run.scale(80, 5))
    await flooding
    outcomes_during = await during.outcomes()
    outcomes = [*outcomes_before, *outcomes_during, *await flood.outcomes()]
    report = await setup.report(outcomes)
    before_ms = quantiles([outcome.took_s for outcome in outcomes_before])
    during_ms = quantiles([outcome.took_s for outcome in outcomes_during])
    report.figures |= {
        'quiet_refused': sum(
            not outcome.is_complete for outcome in outcomes_during
        ),
        'quiet_p50_ms': during_ms[0],
        'quiet_p99_ms': during_ms[1],
    }
    report.baseline |= {
        'quiet_p50_ms': before_ms[0],
        'quiet_p99_ms': before_ms[1],
    }
    return report
