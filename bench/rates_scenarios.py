"""Error of a team's enforced rate against its row, by scenario."""

import asyncio
import random
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

from balsamreach.routing.limits import TeamLimits
from balsamreach.table.rows import TeamRow
from bench.rates_baseline import FloodedLimits
from bench.rates_net import SimulatedNetwork

WAYS: Mapping[str, Callable[..., Any]] = {
    'homes': TeamLimits,
    'all to all': FloodedLimits,
}
STEP_S = 0.25
_MINUTE_S = 60
_SHORT_SPAN_S = 10
#: Seconds until a dead or disconnected router counts as dead.
_DETECTION_S = 3
_EVENT_S = 120
_END_S = 300
_SPARSE_LIMIT = 240


@attrs.frozen
class Scenario:
    """Demand of one team and a fault of the fleet.

    Parameters
    ----------
    demand : float
        Request rate, as a multiple of the limit.
    router_count : int
        Number of routers that get the requests; 0 for all.
    event : str
        Event after two minutes: empty, ``step`` (demand begins), ``cut``
        (partition into halves) or ``death`` (of a home router in the first
        router's zone).
    limit : int
        Requests per minute of the team; by default 30 per router.
    """

    demand: float
    router_count: int = 0
    event: str = ''
    limit: int = 0


SCENARIOS: Mapping[str, Scenario] = {
    'everywhere, 2x': Scenario(2),
    'everywhere, 0.7x': Scenario(0.7),
    'one router, 2x': Scenario(2, 1),
    'one router, 0.7x': Scenario(0.7, 1),
    'sparse, 0.5x of 240 a minute': Scenario(0.5, limit=_SPARSE_LIMIT),
    'step at one router to 0.9x': Scenario(0.9, 1, 'step'),
    'step at 8 routers to 2x': Scenario(2, 8, 'step'),
    'cut, everywhere, 2x': Scenario(2, 0, 'cut'),
    'cut, one router, 0.7x': Scenario(0.7, 1, 'cut'),
    'home dies, everywhere, 2x': Scenario(2, 0, 'death'),
    'home dies, one router, 0.7x': Scenario(0.7, 1, 'death'),
}


@attrs.define(eq=False)
class ScenarioRun:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
        Demand and event.
    way : str
        Implementation of rate limits, a key of `WAYS`.
    fabric : Fabric
        The fleet.
    """

    scenario: Scenario
    way: str
    network: SimulatedNetwork
    row: TeamRow = attrs.field(init=False)
    limits: dict[str, Any] = attrs.field(init=False)
    wanted: list[int] = attrs.field(factory=list)
    admitted: list[int] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        # Enough that a router's part isn't a fraction of a request.
        limit = self.scenario.limit or 30 * self.network.routers
        self.row = TeamRow(name='team-00001', requests_per_minute=limit)
        make = WAYS[self.way]
        self.limits = {
            name: make(self.network.clock, net)
            for name, net in self.network.nets.items()
        }

    async def run(self) -> Mapping[str, float]:
        """Run the scenario and return the errors."""
        rng = random.Random(self.network.seed)
        starts = {name: rng.random() * _SHORT_SPAN_S for name in self.limits}
        steps = round(_END_S / STEP_S)
        for step in range(steps):
            now = step * STEP_S
            self.network.clock.seconds = now
            self._trigger_event(now)
            self._send_requests(rng, now)
            for name, one in self.limits.items():
                if now >= starts[name] and name not in self.network.dead:
                    one.tick()
            await self.network.deliver()
        return self._errors()

    def _trigger_event(self, now: float) -> None:
        event = self.scenario.event
        if now == _EVENT_S and event == 'cut':
            names = list(self.limits)
            half = set(names[: len(names) // 2])
            self.network.sides = {name: int(name in half) for name in names}
        if now == _EVENT_S and event == 'death':
            self.network.dead.add(self._home())
        if now == _EVENT_S + _DETECTION_S and event in {'cut', 'death'}:
            self.network.update_members()

    def _home(self) -> str:
        nets = list(self.network.nets.values())
        keys = [f'rates {number}' for number in range(8)]
        homes = [nets[0].home(key).incarnation for key in keys]
        asking = set(list(self.limits)[: self.scenario.router_count or 1])
        return next(home for home in homes if home not in asking)

    def _send_requests(self, rng: random.Random, now: float) -> None:
        wanted = 0
        admitted = 0
        for name in self._arrivals(rng, now):
            wanted += 1
            one = self.limits[name]
            if one.enter(self.row, 1) is None:
                admitted += 1
                one.release(self.row, 1, 1)
        self.wanted.append(wanted)
        self.admitted.append(admitted)

    def _arrivals(self, rng: random.Random, now: float) -> Iterator[str]:
        scenario = self.scenario
        if scenario.event == 'step' and now < _EVENT_S:
            return
        names = list(self.limits)
        size = scenario.router_count or len(names)
        names = [name for name in names[:size] if name not in self.network.dead]
        rate = self.row.requests_per_minute / _MINUTE_S * scenario.demand
        at = rng.expovariate(rate)
        while at < STEP_S:
            yield rng.choice(names)
            at += rng.expovariate(rate)

    def _errors(self) -> Mapping[str, float]:
        begin = round(_EVENT_S / STEP_S)
        errors = {
            'most in 10 s': self._max_ratio(begin, _SHORT_SPAN_S),
            'most in 60 s': self._max_ratio(begin, _MINUTE_S),
            'least in 10 s': self._min_ratio(begin, _SHORT_SPAN_S),
            'mean': self._ratio(begin, len(self.wanted)),
        }
        return errors | {'refused though within': self._refused_share(begin)}

    def _max_ratio(self, begin: int, seconds: int) -> float:
        """Return the maximum admitted in a span, as a multiple of the limit."""
        span = round(seconds / STEP_S)
        allowed = self.row.requests_per_minute / _MINUTE_S * seconds
        return max(
            sum(self.admitted[at : at + span]) / allowed
            for at in range(begin, len(self.admitted) - span)
        )

    def _min_ratio(self, begin: int, seconds: int) -> float:
        span = round(seconds / STEP_S)
        return min(
            self._ratio(at, at + span)
            for at in range(begin, len(self.admitted) - span)
        )

    def _ratio(self, begin: int, end: int) -> float:
        """Return the ratio of admitted requests to those wanted and allowed."""
        seconds = (end - begin) * STEP_S
        allowed = self.row.requests_per_minute / _MINUTE_S * seconds
        wanted = sum(self.wanted[begin:end])
        return sum(self.admitted[begin:end]) / max(1, min(wanted, allowed))

    def _refused_share(self, begin: int) -> float:
        """Return the fraction refused of the requests that the limit allows."""
        return max(0, 1 - self._ratio(begin, len(self.wanted)))


def measure(
    name: str, way: str, routers: int, seed: int
) -> Mapping[str, object]:
    """Run one scenario and return a row of its errors."""
    scenario_run = ScenarioRun(
        SCENARIOS[name], way, SimulatedNetwork(routers, seed)
    )
    errors = asyncio.run(scenario_run.run())
    head = {'scenario': name, 'routers': routers, 'way': way}
    return head | {key: round(error, 3) for key, error in errors.items()}
