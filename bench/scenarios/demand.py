"""Demand rises to three times the initial rate in one step."""

from bench.probe import quantiles
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, warm_up

_STEP_FACTOR = 3


async def run(run: Run) -> Report:
    """Compare latencies before and after the step."""
    setup = await set_up(run)
    await warm_up(setup)
    rate = 50
    before = setup.load(rate=rate, prefix='before', words=20)
    await before.run(run.scale(300, 10))
    outcomes_before = await before.outcomes()
    run.print_progress('demand rises')
    after = setup.load(rate=rate * _STEP_FACTOR, prefix='after', words=20)
    await after.run(run.scale(900, 30))
    outcomes_after = await after.outcomes()
    after_ms = quantiles([outcome.took_s for outcome in outcomes_after])
    before_ms = quantiles([outcome.took_s for outcome in outcomes_before])
    report = await setup.report(
        [*outcomes_before, *outcomes_after],
        step_p50_ms=after_ms[0],
        step_p99_ms=after_ms[1],
    )
    report.baseline |= {
        'step_p50_ms': before_ms[0],
        'step_p99_ms': before_ms[1],
    }
    return report
