"""Demand rises to three times the initial rate in one step."""

from bench.probe import quantiles
from bench.report import Report
from bench.run import Run
from bench.scenarios.common import set_up, warm

_STEP = 3


async def run(run: Run) -> Report:
    """Compare latencies before and after the step."""
    setup = await set_up(run)
    await warm(setup)
    rate = 50
    before = setup.load(rate=rate, prefix='before', words=20)
    await before.run(run.scale(300, 10))
    calm = await before.outcomes()
    run.say('demand rises')
    after = setup.load(rate=rate * _STEP, prefix='after', words=20)
    await after.run(run.scale(900, 30))
    pressed = await after.outcomes()
    slow = quantiles([outcome.took_s for outcome in pressed])
    fast = quantiles([outcome.took_s for outcome in calm])
    report = await setup.report(
        [*calm, *pressed],
        step_p50_ms=slow[0],
        step_p99_ms=slow[1],
    )
    report.baseline |= {'step_p50_ms': fast[0], 'step_p99_ms': fast[1]}
    return report
