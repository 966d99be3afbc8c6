"""Load of budgets on the table service, in virtual time."""

import asyncio
import random
from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.budgets import Budgets
from balsamreach.budget.faults import BudgetFault
from balsamreach.config.reader import read_settings
from balsamreach.services.base import Commit
from balsamreach.services.faults import CONFLICT
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.standins.memory_table import MemoryTableService
from bench.routing_loop import LoopClock, run_virtually
from bench.slopes_kinds import Measure, Size
from bench.slopes_memory import fund

_THOUSAND = 1000
_DELAY_S = 0.005
_ANSWER_S = 2
_MOST_TOKENS = 1000
_USED_TOKENS = 400
_FLEETS = (2, 4, 8, 16)
_DRAWERS = (1, 4, 16, 64)
_CROWDS = (64, 256, 910)
#: Settings with which a draw gets exactly what a request needs.
_NO_STOCK = (
    'budget.draw_ahead=0s',
    'budget.partition_cover=0s',
    'budget.least_draw=1000',
)


@attrs.define
class CountingTable:
    """Wrapper of a table service that counts conflicts."""

    table: MemoryTableService
    conflicts: int = 0

    def __getattr__(self, name: str) -> Any:
        """Return any other attribute of the table service."""
        return getattr(self.table, name)

    async def commit(self, change: Commit) -> Any:
        """Commit, and count the outcome if it is a conflict."""
        outcome = await self.table.commit(change)
        self.conflicts += outcome == CONFLICT
        return outcome


@attrs.define
class Crowd:
    """Routers that spend from the same accounts.

    Parameters
    ----------
    rng : random.Random
        Random numbers for times, teams and routers.
    platform : MemoryPlatform
        Platform whose table service takes ``_DELAY_S`` for each call.
    table : CountingTable
        Its table service.
    routers : list of Budgets
        Budgets of the routers.
    refused : int
        Number of refused requests.
    """

    rng: random.Random
    platform: MemoryPlatform
    table: CountingTable
    routers: list[Budgets] = attrs.field(factory=list)
    refused: int = 0

    @classmethod
    async def start(
        cls,
        routers: int,
        teams: list[str],
        seed: int,
        *settings: str,
    ) -> 'Crowd':
        """Create routers that hold no tokens yet."""
        clock = LoopClock()
        platform = await fund(teams, clock)
        platform.weather.delay_s = _DELAY_S
        crowd = cls(
            random.Random(seed),
            platform,
            CountingTable(platform.table),
        )
        cfg = read_settings(None, ('host.zone=zone-a', *settings))
        crowd.routers = [
            Budgets(crowd.table, f'router-{number}', cfg.budget, clock)
            for number in range(routers)
        ]
        return crowd

    async def serve(self, shares: dict[str, float], rate: float, count: int):
        """Serve requests at a rate until all have ended."""
        upkeep = [asyncio.create_task(one.run()) for one in self.routers]
        requests = []
        names, weights = list(shares), list(shares.values())
        for number in range(count):
            team = self.rng.choices(names, weights)[0]
            serving = self._serve_one(
                self.rng.choice(self.routers), team, number
            )
            requests.append(asyncio.create_task(serving))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*requests)
        for task in upkeep:
            task.cancel()

    async def _serve_one(self, router: Budgets, team: str, number: int) -> None:
        reservation = await router.reserve(team, _MOST_TOKENS)
        if isinstance(reservation, BudgetFault):
            self.refused += 1
            return
        await asyncio.sleep(self.rng.expovariate(1 / _ANSWER_S))
        router.bill(reservation, Bill(team, f'key-{number}', _USED_TOKENS))


def _platform(size: Size) -> Mapping[str, float]:
    figures = {}
    for routers in _FLEETS:
        found = run_virtually(_use(routers, size))
        for key, amount in found.items():
            figures[f'{key}_at_{routers}'] = amount
    return figures


async def _use(routers: int, size: Size) -> Mapping[str, float]:
    count = size.scale(12000, 200)
    # By Zipf's law, the first of 60 teams sends a fifth of the requests.
    shares = {f'team-{rank}': 1 / rank for rank in range(1, 61)}
    crowd = await Crowd.start(routers, list(shares), size.seed)
    weather = crowd.platform.weather
    before = (weather.reads, weather.writes, weather.rows_written)
    await crowd.serve(shares, rate=200, count=count)
    share = _THOUSAND / count
    return {
        'reads_per_1000': (weather.reads - before[0]) * share,
        'writes_per_1000': (weather.writes - before[1]) * share,
        'rows_per_1000': (weather.rows_written - before[2]) * share,
        'conflicts_per_1000': crowd.table.conflicts * share,
        'refused_per_1000': crowd.refused * share,
    }


def _sparse(size: Size) -> Mapping[str, float]:
    # One router's share of 73,000 requests per second of 36,000 teams, if the
    # load balancer sends each request to any of 910 routers.
    return run_virtually(_serve_sparsely(size))


async def _serve_sparsely(size: Size) -> Mapping[str, float]:
    teams = [f'team-{number}' for number in range(size.scale(36000, 200))]
    crowd = await Crowd.start(1, teams, size.seed)
    count = size.scale(4800, 100)
    weather = crowd.platform.weather
    before = (weather.reads, weather.writes)
    await crowd.serve(dict.fromkeys(teams, 1), rate=80, count=count)
    share = _THOUSAND / count
    return {
        'reads_per_1000': (weather.reads - before[0]) * share,
        'writes_per_1000': (weather.writes - before[1]) * share,
        'refused_per_1000': crowd.refused * share,
    }


def _contention(size: Size) -> Mapping[str, float]:
    figures = {}
    for drawers in _DRAWERS:
        found = run_virtually(_race(drawers, size))
        for key, amount in found.items():
            figures[f'{key}_at_{drawers}'] = amount
    return figures


async def _race(drawers: int, size: Size) -> Mapping[str, float]:
    # Each request is as large as the minimum draw, follows the last one at
    # once and is never billed, so each needs its own draw.
    crowd = await Crowd.start(drawers, ['team'], size.seed, *_NO_STOCK)
    seconds = size.scale(20, 2)
    began = crowd.platform.weather.writes
    made = await asyncio.gather(
        *(_draw_on(router, seconds) for router in crowd.routers),
    )
    tries = crowd.platform.weather.writes - began
    return {
        'draws_a_second': sum(made) / seconds,
        'commits_per_draw': tries / max(1, sum(made)),
    }


async def _draw_on(router: Budgets, seconds: float) -> int:
    loop = asyncio.get_running_loop()
    made = 0
    while loop.time() < seconds:
        outcome = await router.reserve('team', _MOST_TOKENS)
        refused = isinstance(outcome, BudgetFault)
        made += not refused
        if refused:
            await asyncio.sleep(_DELAY_S)
    return made


def _one_account(size: Size) -> Mapping[str, float]:
    figures = {}
    for routers in _CROWDS if not size.smoke else _CROWDS[:1]:
        found = run_virtually(_spend(routers, size))
        for key, amount in found.items():
            figures[f'{key}_at_{routers}'] = amount
    return figures


async def _spend(routers: int, size: Size) -> Mapping[str, float]:
    crowd = await Crowd.start(routers, ['team'], size.seed)
    count = size.scale(20 * routers, 100)
    weather = crowd.platform.weather
    before = weather.writes
    loop = asyncio.get_running_loop()
    began = loop.time()
    await crowd.serve({'team': 1}, rate=routers, count=count)
    seconds = loop.time() - began
    return {
        'writes_a_second': (weather.writes - before) / seconds,
        'conflicts_a_second': crowd.table.conflicts / seconds,
        'refused_share': crowd.refused / count,
    }


MEASURES: dict[str, Measure] = {
    'platform': _platform,
    'sparse': _sparse,
    'contention': _contention,
    'one_account': _one_account,
}
