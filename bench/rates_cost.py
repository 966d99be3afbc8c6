"""Cost of rate limit messages per router, by fleet size."""

import asyncio
import random
import time
from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.table.rows import TeamRow
from bench.rates_net import SimulatedNetwork
from bench.rates_scenarios import WAYS

#: For each load, the number of teams and their demand by their limits.
LOADS: Mapping[str, tuple[int, float]] = {
    '12 teams at 2x': (12, 2),
    '400 teams at 0.1x': (400, 0.1),
}
_STEP = 0.25
_SETTLE_S = 20
_MEASURED_S = 20
#: Number of routers that stand for all where messages are flooded.
_SAMPLED_ROUTERS = 16
_MAX_UNSAMPLED_ROUTERS = 17
_LIMIT_PER_ROUTER = 60
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
    network : SimulatedNetwork
        Simulated network of the fleet.
    """

    way: str
    load: str
    network: SimulatedNetwork
    limits: dict[str, Any] = attrs.field(init=False)
    rows: tuple[TeamRow, ...] = attrs.field(init=False)
    wanted: int = 0
    admitted: int = 0
    cpu_s: float = 0

    def __attrs_post_init__(self) -> None:
        teams, _demand = LOADS[self.load]
        self.rows = tuple(
            TeamRow(
                name=f'team-{number:05}',
                requests_per_minute=_LIMIT_PER_ROUTER * self.network.routers,
            )
            for number in range(teams)
        )
        make = WAYS[self.way]
        self.limits = {
            name: make(self.network.clock, net)
            for name, net in self.network.nets.items()
        }

    async def run(self) -> Mapping[str, object]:
        """Run the load and return the figures per router."""
        flooded = (
            self.way != 'homes'
            and self.network.routers > _MAX_UNSAMPLED_ROUTERS
        )
        figures = await (
            self._measure_sample() if flooded else self._measure_all()
        )
        return {
            'load': self.load,
            'routers': self.network.routers,
            'way': self.way,
            **{key: round(amount, 1) for key, amount in figures.items()},
        }

    async def _measure_all(self) -> Mapping[str, float]:
        rng = random.Random(self.network.seed)
        await self._simulate(0, _SETTLE_S, rng)
        self.network.reset_counts()
        self.wanted = 0
        self.admitted = 0
        self.cpu_s = 0
        await self._simulate(_SETTLE_S, _SETTLE_S + _MEASURED_S, rng)
        return self._figures(_MEASURED_S, 1)

    async def _measure_sample(self) -> Mapping[str, float]:
        """Let some routers send once, since each message costs the same."""
        self._send_requests(random.Random(self.network.seed))
        senders = list(self.limits.values())[:_SAMPLED_ROUTERS]
        # Admissions at a single point in time are not meaningful.
        self.wanted = 0
        self.admitted = 0
        await self._send_messages(senders)
        scale = self.network.routers / len(senders)
        return self._figures(senders[0].interval(), scale)

    async def _send_messages(self, senders: list[Any]) -> None:
        began = time.process_time()
        for one in senders:
            one.tick()
        await self.network.deliver()
        self.cpu_s += time.process_time() - began

    async def _simulate(self, begin: int, end: int, rng: random.Random) -> None:
        for step in range(round(begin / _STEP), round(end / _STEP)):
            now = step * _STEP
            self.network.clock.seconds = now
            if now == int(now):
                self._send_requests(rng)
            # Routers start one after the other.
            await self._send_messages(
                [
                    one
                    for number, one in enumerate(self.limits.values())
                    if step >= number % (1 / _STEP)
                ],
            )

    def _send_requests(self, rng: random.Random) -> None:
        _teams, demand = LOADS[self.load]
        for one in self.limits.values():
            for row in self.rows:
                wanted = int(demand + rng.random())
                self.wanted += wanted
                self.admitted += _try_requests(one, row, wanted)

    def _figures(
        self,
        seconds: float,
        scale: float,
    ) -> Mapping[str, float]:
        per = scale / seconds
        network = self.network
        links = network.links_per_router()
        return {
            'messages a second': network.sent.total() * per / network.routers,
            'most of one': max(network.sent.values()) * per,
            'bytes a second': network.sent_bytes.total()
            * per
            / network.routers,
            'most bytes of one': max(network.sent_bytes.values()) * per,
            'links': sum(links) / network.routers,
            'most links': max(links),
            'CPU us a second': self.cpu_s * per / network.routers * _MICRO,
            'admitted %': 100 * self.admitted / max(1, self.wanted),
        }


def _try_requests(limits: Any, row: TeamRow, count: int) -> int:
    """Try a number of requests and return how many are admitted."""
    refusals = [limits.enter(row, 1) for _ in range(count)]
    admitted = refusals.count(None)
    for _ in range(admitted):
        limits.release(row, 1, 1)
    return admitted


def measure(load: str, way: str, routers: int, seed: int) -> dict[str, object]:
    """Return the cost per router under a load."""
    cost = Cost(way, load, SimulatedNetwork(routers, seed, decodes=True))
    return dict(asyncio.run(cost.run()))
