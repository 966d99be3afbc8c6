"""Runs of a budget policy under a load and faults, with their figures."""

import asyncio
import random

import attrs

from balsamreach.budget.account import Account, account_key, encode_record
from balsamreach.budget.auditor import Auditor
from balsamreach.budget.faults import BudgetFault
from balsamreach.config.settings import BudgetSettings
from balsamreach.services.base import Commit, Write
from balsamreach.standins.memory import MemoryPlatform
from bench.budget_policies import Central, Escrow, Policy, Static
from bench.budget_trace import Call, Load, demand, draw_calls
from bench.routing_loop import LoopClock
from tests.budget_world import SwitchedService

POLICIES = ('escrow', 'central', 'static')

_SAMPLE_INTERVAL_S = 5
_SETTLE_S = 60
_PERMILLE = 0.001
_THOUSAND = 1000
_DELAY_S = 0.005
_MEDIAN = 0.5
_P99 = 0.99


@attrs.frozen
class Scenario:
    """Load and faults of a run.

    Parameters
    ----------
    load : Load
        Requests of the callers.
    fund : float
        Payments before the start, as a multiple of the total demand.
    top_up : float
        Payments during the fault, as a multiple of the total demand.
    begin, end : float
        Start and end of the fault, as fractions of the load's length.
    cuts : bool
        Whether the fault disconnects half the routers from the others and
        from the platform.
    down : bool
        Whether the fault is an outage of the platform for all routers.
    losing : float
        Share of commits whose answer is lost, during the whole run.
    """

    load: Load
    fund: float = 1.5
    top_up: float = 0
    begin: float = 0
    end: float = 0
    cuts: bool = False
    down: bool = False
    losing: float = 0


@attrs.define
class Tally:
    """Counts of one run."""

    requests: int = 0
    refused: int = 0
    false_up: int = 0
    false_away: int = 0
    false_early: int = 0
    waits: list[float] = attrs.field(factory=list)
    idle: list[float] = attrs.field(factory=list)
    counts_at_half: tuple[int, int] = (0, 0)


@attrs.define(eq=False)
class Run:
    """Run of one policy under one scenario."""

    scenario: Scenario
    calls: list[Call]
    seed: int
    platform: MemoryPlatform
    connections: list[SwitchedService]
    policy: Policy
    tally: Tally = attrs.field(factory=Tally)
    prepaid: dict[str, int] = attrs.field(factory=dict)
    spent: dict[str, int] = attrs.field(factory=dict)
    reserved: dict[str, int] = attrs.field(factory=dict)
    payment_tasks: list[asyncio.Task] = attrs.field(factory=list)

    async def measure(self) -> dict[str, float | int]:
        """Make all calls and return the figures, with those of the audit."""
        await self._pay(self.scenario.fund)
        self.platform.weather.delay_s = _DELAY_S
        background = [
            asyncio.create_task(work)
            for work in (
                self.policy.run_background(),
                self._run_fault(),
                self._sample(),
                _record_half(self),
                self._lose_answers(),
            )
        ]
        await self._make_calls()
        figures = self._figures()
        await asyncio.sleep(_SETTLE_S)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        return figures | await self._audit()

    async def _make_calls(self) -> None:
        running = set()
        for number, call in enumerate(self.calls):
            pause = call.arrival - asyncio.get_running_loop().time()
            if pause > 0:
                await asyncio.sleep(pause)
            task = asyncio.create_task(self._call(number, call))
            running.add(task)
            task.add_done_callback(running.discard)
        if running:
            await asyncio.wait(running)

    async def _call(self, number: int, call: Call) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        reservation = await self.policy.reserve(number, call)
        self.tally.requests += 1
        if loop.time() > began:
            self.tally.waits.append(loop.time() - began)
        if isinstance(reservation, BudgetFault):
            self._count_refusal(call)
            return
        team = call.team
        self.reserved[team] = self.reserved.get(team, 0) + call.tokens
        await asyncio.sleep(call.duration)
        self.reserved[team] -= call.tokens
        self.spent[team] = self.spent.get(team, 0) + call.used
        await self.policy.bill(number, call, reservation)

    def _count_refusal(self, call: Call) -> None:
        self.tally.refused += 1
        prepaid = self.prepaid[call.team]
        room = prepaid - self.spent.get(call.team, 0)
        room -= self.reserved.get(call.team, 0)
        if room < call.tokens:
            return
        connection = self.connections[call.router]
        if not connection.open or self.platform.weather.down:
            self.tally.false_away += 1
            return
        self.tally.false_up += 1
        self.tally.false_early += room > prepaid * _PERMILLE

    async def _run_fault(self) -> None:
        length = self.scenario.load.length
        span = (self.scenario.end - self.scenario.begin) * length
        if not span:
            return
        await asyncio.sleep(self.scenario.begin * length)
        counts_at_half = list(
            range(len(self.connections) // 2, len(self.connections))
        )
        self.platform.weather.down = self.scenario.down
        if self.scenario.cuts:
            self.policy.disconnect(counts_at_half)
            for number in counts_at_half:
                self.connections[number].open = False
        await asyncio.sleep(span / 3)
        if self.scenario.top_up:
            await self._pay(self.scenario.top_up)
        await asyncio.sleep(span * 2 / 3)
        self.platform.weather.down = False
        for connection in self.connections:
            connection.open = True
        self.policy.reconnect()

    async def _pay(self, factor: float) -> None:
        load = self.scenario.load
        for team, tokens in demand(self.calls, load.length).items():
            paid = int(tokens * factor)
            self.prepaid[team] = self.prepaid.get(team, 0) + paid
            await self._top_up(team, paid)
            # A part of a payment may be delayed until a partition ends.
            split = asyncio.create_task(self.policy.on_payment(team, paid))
            self.payment_tasks.append(split)
        await asyncio.sleep(0)

    async def _top_up(self, team: str, paid: int) -> None:
        # A payment takes no time and isn't counted. Without delays, no other
        # task runs between these calls.
        table = self.platform.table
        before = attrs.evolve(self.platform.weather)
        self._set_platform(0, down=False, losing=0)
        rows = await table.read((account_key(team),))
        account = Account(**(rows[0].value or {}))
        topped = attrs.evolve(account, prepaid=account.prepaid + paid)
        await table.commit(
            Commit((Write(account_key(team), encode_record(topped)),)),
        )
        self._set_platform(
            before.delay_s,
            down=before.down,
            losing=before.lose_answers,
        )
        self.platform.weather.reads = before.reads
        self.platform.weather.writes = before.writes

    def _set_platform(self, delay: float, *, down: bool, losing: int) -> None:
        weather = self.platform.weather
        weather.delay_s = delay
        weather.down = down
        weather.lose_answers = losing

    async def _sample(self) -> None:
        whole = sum(self.prepaid.values())
        while True:
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
            self.tally.idle.append(self.policy.idle_tokens() / whole)

    async def _lose_answers(self) -> None:
        rng = random.Random(self.seed)
        weather = self.platform.weather
        seen = 0
        while self.scenario.losing:
            await asyncio.sleep(_DELAY_S)
            fresh = weather.writes - seen
            seen = weather.writes
            lost = (rng.random() < self.scenario.losing for _ in range(fresh))
            weather.lose_answers += sum(lost)

    def _figures(self) -> dict[str, float | int]:
        tally = self.tally
        weather = self.platform.weather
        waits = sorted(tally.waits)
        requests, writes = tally.counts_at_half
        late = weather.writes - writes
        return {
            'requests': tally.requests,
            'refused_share': tally.refused / tally.requests,
            'false_up_share': tally.false_up / tally.requests,
            'false_away_share': tally.false_away / tally.requests,
            'false_early': tally.false_early,
            'idle_share': _mean(tally.idle),
            'writes_1000': weather.writes * _THOUSAND / tally.requests,
            'writes_1000_late': late * _THOUSAND / (tally.requests - requests),
            'reads_1000': weather.reads * _THOUSAND / tally.requests,
            'waited_share': len(waits) / tally.requests,
            'wait_p50_ms': _quantile(waits, _MEDIAN) * _THOUSAND,
            'wait_p99_ms': _quantile(waits, _P99) * _THOUSAND,
        }

    async def _audit(self) -> dict[str, int]:
        report = await Auditor(self.platform.table).audit()
        over = 0
        for team, prepaid in self.prepaid.items():
            recorded = report.teams[team].recorded
            spent = max(recorded, self.spent.get(team, 0))
            over += max(0, spent - prepaid)
        recorded = sum(sums.billed for sums in report.teams.values())
        ours = isinstance(self.policy, Escrow)
        missing = sum(self.spent.values()) - recorded if ours else 0
        return {
            'overspend_tokens': over,
            'breaches': len(report.breaches) if ours else 0,
            'unbilled_tokens': missing,
            'stranded_tokens': sum(one.tokens for one in report.stranded),
        }


async def measure(
    scenario: Scenario,
    cfg: BudgetSettings,
    policy: str,
    seed: int,
) -> dict[str, float | int]:
    """Run one policy and return its figures.

    Parameters
    ----------
    scenario : Scenario
        Load and faults.
    cfg : BudgetSettings
        Settings of the policies that use them.
    policy : str
        One of ``POLICIES``.
    seed : int
        Seed of all random numbers.
    """
    platform = MemoryPlatform.start(LoopClock())
    connections = [
        SwitchedService(platform.table) for _ in range(scenario.load.routers)
    ]
    calls = draw_calls(scenario.load, seed)
    shared = (platform, connections, seed)
    if policy == 'central':
        chosen: Policy = Central(*shared)
    elif policy == 'static':
        chosen = Static(*shared, cfg)
    else:
        chosen = Escrow(*shared, cfg)
    run = Run(scenario, calls, seed, platform, connections, chosen)
    return await run.measure()


async def _record_half(run: Run) -> None:
    # In the first half all routers make their first draws for all teams, so
    # the second half is also counted separately.
    await asyncio.sleep(run.scenario.load.length / 2)
    run.tally.counts_at_half = (run.tally.requests, run.platform.weather.writes)


def _mean(numbers: list[float]) -> float:
    return sum(numbers) / len(numbers) if numbers else 0


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] if ordered else 0
