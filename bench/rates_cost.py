"""Cost of rate limit messages per router, by fleet size."""

import asyncio
import random
import time
from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.table.rows import TeamRow
from bench.rates_net import Fabric
from bench.rates_scenarios import WAYS

#: For each load, the number of teams and their demand by their limits.
LOADS: Mapping[str, tuple[int, float]] = {
    '12 teams at 2x': (12, 2),
    '400 teams at 0.1x': (400, 0.1),
}
_STEP = 0.25
_SETTLE = 20
_SECONDS = 20
#: Number of routers that stand for all where messages are flooded.
_SAMPLE = 16
_LARGE = 17
_PER_ROUTER = 60
_MICRO = 1_000_000


@attrs.define(eq=False)
class Cost:
    """Measurement of one fleet under one load.

    Parameters
    ----------
    way : str
        Implementation of rate limits, a key of `WAYS`.
    load : str
        Key of `LOADS`.
    fabric : Fabric
        Simulated network of the fleet.
    """

    way: str
    load: str
    fabric: Fabric
    limits: dict[str, Any] = attrs.field(init=False)
    rows: tuple[TeamRow, ...] = attrs.field(init=False)
    wanted: int = 0
    admitted: int = 0
    used: float = 0

    def __attrs_post_init__(self) -> None:
        teams, _demand = LOADS[self.load]
        self.rows = tuple(
            TeamRow(
                name=f'team-{number:05}',
                requests_per_minute=_PER_ROUTER * self.fabric.routers,
            )
            for number in range(teams)
        )
        make = WAYS[self.way]
        self.limits = {
            name: make(self.fabric.clock, net)
            for name, net in self.fabric.nets.items()
        }

    async def run(self) -> Mapping[str, object]:
        """Run the load and return the figures per router."""
        flooded = self.way != 'homes' and self.fabric.routers > _LARGE
        found = await (self._sample() if flooded else self._span())
        return {
            'load': self.load,
            'routers': self.fabric.routers,
            'way': self.way,
            **{key: round(amount, 1) for key, amount in found.items()},
        }

    async def _span(self) -> Mapping[str, float]:
        rng = random.Random(self.fabric.seed)
        await self._pass(0, _SETTLE, rng)
        self.fabric.forget()
        self.wanted = 0
        self.admitted = 0
        self.used = 0
        await self._pass(_SETTLE, _SETTLE + _SECONDS, rng)
        return self._figures(_SECONDS, 1)

    async def _sample(self) -> Mapping[str, float]:
        """Let some routers send once, since each message costs the same."""
        self._ask(random.Random(self.fabric.seed))
        speaking = list(self.limits.values())[:_SAMPLE]
        # Admissions at a single point in time are not meaningful.
        self.wanted = 0
        self.admitted = 0
        await self._tell(speaking)
        scale = self.fabric.routers / len(speaking)
        return self._figures(speaking[0].interval(), scale)

    async def _tell(self, speaking: list[Any]) -> None:
        began = time.process_time()
        for one in speaking:
            one.tick()
        await self.fabric.deliver()
        self.used += time.process_time() - began

    async def _pass(self, begin: int, end: int, rng: random.Random) -> None:
        for step in range(round(begin / _STEP), round(end / _STEP)):
            now = step * _STEP
            self.fabric.clock.seconds = now
            if now == int(now):
                self._ask(rng)
            # Routers start one after the other.
            await self._tell(
                [
                    one
                    for number, one in enumerate(self.limits.values())
                    if step >= number % (1 / _STEP)
                ],
            )

    def _ask(self, rng: random.Random) -> None:
        _teams, demand = LOADS[self.load]
        for one in self.limits.values():
            for row in self.rows:
                wanted = int(demand + rng.random())
                self.wanted += wanted
                self.admitted += _ask_often(one, row, wanted)

    def _figures(
        self,
        seconds: float,
        scale: float,
    ) -> Mapping[str, float]:
        per = scale / seconds
        fabric = self.fabric
        links = fabric.links_each()
        return {
            'messages a second': fabric.sent.total() * per / fabric.routers,
            'most of one': max(fabric.sent.values()) * per,
            'bytes a second': fabric.octets.total() * per / fabric.routers,
            'most bytes of one': max(fabric.octets.values()) * per,
            'links': sum(links) / fabric.routers,
            'most links': max(links),
            'CPU us a second': self.used * per / fabric.routers * _MICRO,
            'admitted %': 100 * self.admitted / max(1, self.wanted),
        }


def _ask_often(limits: Any, row: TeamRow, count: int) -> int:
    """Try a number of requests and return how many are admitted."""
    refusals = [limits.enter(row, 1) for _ in range(count)]
    admitted = refusals.count(None)
    for _ in range(admitted):
        limits.release(row, 1, 1)
    return admitted


def measure(load: str, way: str, routers: int, seed: int) -> dict[str, object]:
    """Return the cost per router under a load."""
    cost = Cost(way, load, Fabric(routers, seed, decodes=True))
    return dict(asyncio.run(cost.run()))
