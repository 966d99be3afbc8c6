"""Teams of unequal size exhaust their budgets at unequally loaded routers."""

from bench.baselines import even_split
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up

_TEAMS = {'large': 40_000, 'middle': 8_000, 'small': 1_500}
_SHARES = {'large': 8.0, 'middle': 3.0, 'small': 1.0}


async def run(run: Run) -> Report:
    """Request more than the prepaid tokens, mostly at one router."""
    zones = ('zone-a',) * run.scale(4, 2)
    setup = await set_up(run, zones, _TEAMS, budget__least_draw=200)
    await setup.start_measuring()
    load = setup.load(rate=80, teams=_SHARES, retries=False)
    # The first router gets about half of all requests.
    load.routers = run.fleet.routers[:1] * len(zones) + run.fleet.routers
    await load.run(run.scale(2400, 40))
    outcomes = await load.outcomes()
    report = await setup.report(outcomes)
    split = even_split(outcomes, _TEAMS, len(zones))
    report.baseline['even_split'] = split
    return report
