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
_MEAN_ANSWER_S = 2
_RESERVED_TOKENS = 1000
_USED_TOKENS = 400
_FLEETS = (2, 4, 8, 16)
_DRAWERS = (1, 4, 16, 64)
_ONE_ACCOUNT_FLEETS = (64, 256, 910)
#: Settings with which a draw gets exactly what a request needs.
_MINIMAL_DRAWS = (
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
class BudgetFleet:
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
    ) -> 'BudgetFleet':
        """Create routers that hold no tokens yet."""
        clock = LoopClock()
        platform = await fund(teams, clock)
        platform.weather.delay_s = _DELAY_S
        fleet = cls(
            random.Random(seed),
            platform,
            CountingTable(platform.table),
        )
        cfg = read_settings(None, ('host.zone=zone-a', *settings))
        fleet.routers = [
            Budgets(fleet.table, f'router-{number}', cfg.budget, clock)
            for number in range(routers)
        ]
        return fleet

    async def serve(self, shares: dict[str, float], rate: float, count: int):
        """Serve requests at a rate until all have ended."""
        maintenance_tasks = [
            asyncio.create_task(one.run()) for one in self.routers
        ]
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
        for task in maintenance_tasks:
            task.cancel()

    async def _serve_one(self, router: Budgets, team: str, number: int) -> None:
        reservation = await router.reserve(team, _RESERVED_TOKENS)
        if isinstance(reservation, BudgetFault):
            self.refused += 1
            return
        await asyncio.sleep(self.rng.expovariate(1 / _MEAN_ANSWER_S))
        router.bill(reservation, Bill(team, f'key-{number}', _USED_TOKENS))


def _platform(size: Size) -> Mapping[str, float]:
    figures = {}
    for routers in _FLEETS:
        fleet_figures = run_virtually(_serve_fleet(routers, size))
        for key, amount in fleet_figures.items():
            figures[f'{key}_at_{routers}'] = amount
    return figures


async def _serve_fleet(routers: int, size: Size) -> Mapping[str, float]:
    count = size.scale(12000, 200)
    # By Zipf's law, the first of 60 teams sends a fifth of the requests.
    shares = {f'team-{rank}': 1 / rank for rank in range(1, 61)}
    fleet = await BudgetFleet.start(routers, list(shares), size.seed)
    weather = fleet.platform.weather
    before = (weather.reads, weather.writes, weather.rows_written)
    await fleet.serve(shares, rate=200, count=count)
    scale = _THOUSAND / count
    return {
        'reads_per_1000': (weather.reads - before[0]) * scale,
        'writes_per_1000': (weather.writes - before[1]) * scale,
        'rows_per_1000': (weather.rows_written - before[2]) * scale,
        'conflicts_per_1000': fleet.table.conflicts * scale,
        'refused_per_1000': fleet.refused * scale,
    }


def _sparse(size: Size) -> Mapping[str, float]:
    # One router's share of 73,000 requests per second of 36,000 teams, if the
    # load balancer sends each request to any of 910 routers.
    return run_virtually(_serve_sparsely(size))


async def _serve_sparsely(size: Size) -> Mapping[str, float]:
    teams = [f'team-{number}' for number in range(size.scale(36000, 200))]
    fleet = await BudgetFleet.start(1, teams, size.seed)
    count = size.scale(4800, 100)
    weather = fleet.platform.weather
    before = (weather.reads, weather.writes)
    await fleet.serve(dict.fromkeys(teams, 1), rate=80, count=count)
    scale = _THOUSAND / count
    return {
        'reads_per_1000': (weather.reads - before[0]) * scale,
        'writes_per_1000': (weather.writes - before[1]) * scale,
        'refused_per_1000': fleet.refused * scale,
    }


def _contention(size: Size) -> Mapping[str, float]:
    figures = {}
    for drawers in _DRAWERS:
        fleet_figures = run_virtually(_draw_concurrently(drawers, size))
        for key, amount in fleet_figures.items():
            figures[f'{key}_at_{drawers}'] = amount
    return figures


async def _draw_concurrently(drawers: int, size: Size) -> Mapping[str, float]:
    # Each request is as large as the minimum draw, follows the last one at
    # once and is never billed, so each needs its own draw.
    fleet = await BudgetFleet.start(
        drawers, ['team'], size.seed, *_MINIMAL_DRAWS
    )
    seconds = size.scale(20, 2)
    began = fleet.platform.weather.writes
    draws = await asyncio.gather(
        *(_draw_repeatedly(router, seconds) for router in fleet.routers),
    )
    commits = fleet.platform.weather.writes - began
    return {
        'draws_a_second': sum(draws) / seconds,
        'commits_per_draw': commits / max(1, sum(draws)),
    }


async def _draw_repeatedly(router: Budgets, seconds: float) -> int:
    loop = asyncio.get_running_loop()
    draws = 0
    while loop.time() < seconds:
        outcome = await router.reserve('team', _RESERVED_TOKENS)
        refused = isinstance(outcome, BudgetFault)
        draws += not refused
        if refused:
            await asyncio.sleep(_DELAY_S)
    return draws


def _one_account(size: Size) -> Mapping[str, float]:
    figures = {}
    for routers in (
        _ONE_ACCOUNT_FLEETS if not size.smoke else _ONE_ACCOUNT_FLEETS[:1]
    ):
        fleet_figures = run_virtually(_spend_one_account(routers, size))
        for key, amount in fleet_figures.items():
            figures[f'{key}_at_{routers}'] = amount
    return figures


async def _spend_one_account(routers: int, size: Size) -> Mapping[str, float]:
    fleet = await BudgetFleet.start(routers, ['team'], size.seed)
    count = size.scale(20 * routers, 100)
    weather = fleet.platform.weather
    before = weather.writes
    loop = asyncio.get_running_loop()
    began = loop.time()
    await fleet.serve({'team': 1}, rate=routers, count=count)
    seconds = loop.time() - began
    return {
        'writes_a_second': (weather.writes - before) / seconds,
        'conflicts_a_second': fleet.table.conflicts / seconds,
        'refused_share': fleet.refused / count,
    }


MEASURES: dict[str, Measure] = {
    'platform': _platform,
    'sparse': _sparse,
    'contention': _contention,
    'one_account': _one_account,
}
