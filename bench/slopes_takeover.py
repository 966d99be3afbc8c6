"""Cost of a maintenance round of budgets and of taking over allotments."""

import asyncio
import time
from collections.abc import Mapping

from balsamreach.budget.budgets import Budgets
from balsamreach.config.reader import read_settings
from balsamreach.standins.memory import MemoryPlatform
from bench.routing_loop import LoopClock, run_virtually
from bench.slopes_kinds import Measure, Size, cpu_us_since
from bench.slopes_memory import fund

_ADDRESS = '10.0.0.1:8082'
_TOKENS = 100
_ROUNDS = 5


def _rounds(size: Size) -> Mapping[str, float]:
    return run_virtually(_idle_rounds(size.scale(4000, 50)))


async def _idle_rounds(count: int) -> Mapping[str, float]:
    teams = [f'team-{number}' for number in range(count)]
    platform = await fund(teams, LoopClock())
    router = await _start_holding_router(platform, 'router', teams)
    began = time.process_time()
    for _ in range(_ROUNDS):
        await router.maintenance.run_round()
    return {'round_us_per_ledger': cpu_us_since(began, count * _ROUNDS)}


async def _start_holding_router(
    platform: MemoryPlatform,
    incarnation: str,
    teams: list[str],
) -> Budgets:
    """Return a router that holds an allotment of each team."""
    cfg = read_settings(None, ('host.zone=zone-a',))
    router = Budgets(
        platform.table,
        incarnation,
        cfg.budget,
        LoopClock(),
        address=_ADDRESS,
    )
    await router.maintenance.run_round()
    for name in teams:
        router.release(await router.reserve(name, _TOKENS))
    return router


def _takeover(size: Size) -> Mapping[str, float]:
    return run_virtually(_take_over(size.scale(500, 10)))


async def _take_over(count: int) -> Mapping[str, float]:
    teams = [f'team-{number}' for number in range(count)]
    platform = await fund(teams, LoopClock())
    await _start_holding_router(platform, 'before', teams)
    await asyncio.sleep(1)
    weather = platform.weather
    before = (weather.reads, weather.writes)
    after = await _start_holding_router(platform, 'after', [])
    for _ in range(_ROUNDS):
        await after.maintenance.run_round()
    return {
        'reads_per_allotment': (weather.reads - before[0]) / count,
        'writes_per_allotment': (weather.writes - before[1]) / count,
    }


MEASURES: dict[str, Measure] = {
    'rounds': _rounds,
    'takeover': _takeover,
}
