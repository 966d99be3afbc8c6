"""A zone is cut off from the platform while a budget is topped up."""

import asyncio

from bench.baselines import even_split
from bench.fleet import team
from bench.links import Link
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, warm_up

_TEAMS = {'team-a': 60_000, 'team-b': 40_000}
_TOP_UP = 60_000
#: Several times the largest request, as the documentation of the setting
#: recommends. The default is meant for requests of thousands of tokens; with
#: it, an account of this size grants each router only what the current request
#: needs.
_LEAST_DRAW = 400
#: Half seconds before the cut, in which routers learn their teams' spend.
_WARM_UP_HALF_SECONDS = 24


async def run(run: Run) -> Report:
    """Cut one zone off, top a team up, reconnect the zone and audit."""
    setup = await set_up(
        run,
        ('zone-a',),
        dict(_TEAMS),
        budget__least_draw=_LEAST_DRAW,
    )
    link = Link(run.fleet.platform.address)
    run.fleet.platform_url = f'http://{await link.open()}'
    # Without seeds it knows no router of the other zone, as if cut off from it.
    isolated = await run.fleet.router(
        'zone-b',
        peers__seeds='',
        budget__least_draw=_LEAST_DRAW,
    )
    await warm_up(setup)
    load = setup.load(rate=40, retries=False)
    sending = asyncio.create_task(load.run(run.scale(1200, 40)))
    await asyncio.sleep(run.scale(_WARM_UP_HALF_SECONDS, 1) / 2)
    run.print_progress(f'{isolated.name} is cut off from the platform')
    link.cut = True
    run.begin_outage(isolated.name)
    await asyncio.sleep(run.scale(8, 1) / 2)
    run.print_progress('team-a is topped up')
    prepaid = _TEAMS['team-a'] + _TOP_UP
    await run.fleet.write_rows(team('team-a', prepaid))
    await sending
    run.print_progress('the network is back')
    link.cut = False
    run.end_outage()
    outcomes = await load.outcomes()
    await asyncio.sleep(run.scale(6, 2))
    outage = run.outages[0]
    setup.prepaid['team-a'] = prepaid
    report = await setup.report(outcomes, cut_s=outage.until - outage.since)
    split = even_split(outcomes, setup.prepaid, len(run.fleet.routers))
    report.baseline['even_split'] = split
    return report
