"""Compares power management with two baselines on a virtual clock.

Run with ``python -m bench.power --seed 1``.
"""

import argparse
import asyncio
import json
import logging
import random
import sys

import attrs

from tests.fake_targets import FakeHost
from tests.power_world import PowerSimulation

_HOSTS = 12
_SLOTS = 4
_SERVICE_S = 10.0
_RATE = 0.8
_PEAK_RATE = 3 * _RATE
_DECISION_INTERVAL_S = 5
_LENGTH_S = 1800
_IDLE_S = 120
_START_S = 20
_TARGET_USE = 0.7
_HIGH, _LOW = 0.7, 0.35
_P95 = 0.95
_SETTINGS = (
    f'power.idle={_IDLE_S}s',
    'power.order_settle=60s',
    f'power.start_time={_START_S}s',
    'power.warm_time=0s',
)


def _step(now: int) -> float:
    """Return the request rate: three times as high from 300 s to 900 s."""
    return _PEAK_RATE if 300 <= now < 900 else _RATE


def _swing(now: int) -> float:
    """Return the request rate: three times as high every other minute."""
    return _PEAK_RATE if now // 60 % 2 else _RATE


_DEMAND_CURVES = {'step': _step, 'swing': _swing}


@attrs.define
class Tally:
    """Results of one run."""

    policy: str
    shape: str
    answered: int = 0
    cut: int = 0
    switches: int = 0
    host_s: int = 0
    unneeded_s: int = 0
    longest_idle_s: int = 0
    to_capacity_s: int = -1
    waited: list[int] = attrs.field(factory=list)

    def row(self) -> dict[str, float | int | str]:
        """Return the figures to print, with waits as their 95th percentile."""
        shown = attrs.asdict(self)
        waited = sorted(shown.pop('waited'))
        shown['wait_p95_s'] = waited[int(len(waited) * _P95)]
        return shown


@attrs.define(eq=False)
class Run:
    """One run of a policy under one demand curve."""

    policy: str
    shape: str
    rng: random.Random
    tally: Tally = attrs.field(init=False)
    simulation: PowerSimulation = attrs.field(init=False)
    queue: list[int] = attrs.field(factory=list)
    running: list[tuple[int, FakeHost, int, object]] = attrs.field(factory=list)
    unneeded_s_by_host: dict[str, int] = attrs.field(factory=dict)
    queue_empty_since: int = -1

    def __attrs_post_init__(self) -> None:
        """Create the hosts, the power switch and two routers."""
        self.tally = Tally(self.policy, self.shape)
        up = _HOSTS if self.policy == 'static' else _SLOTS
        self.simulation = PowerSimulation(
            count=_HOSTS, up=up, overrides=_SETTINGS
        )
        self.simulation.fake_platform.delay = _START_S
        self.simulation.add_router('r0')
        self.simulation.add_router('r1')

    async def run(self) -> Tally:
        """Simulate all seconds and return the results."""
        await self.simulation.rounds(1)
        for now in range(_LENGTH_S):
            self._simulate_second(now)
            if now % _DECISION_INTERVAL_S == 0:
                await self._decide()
            await self.simulation.clock.advance(1)
        self.tally.cut = self.simulation.aborted_requests
        self.tally.switches = len(self.simulation.fake_platform.orders)
        return self.tally

    def _simulate_second(self, now: int) -> None:
        self.simulation.fake_platform.bring_up()
        self._finish(now)
        rate = _DEMAND_CURVES[self.shape](now)
        chance = rate / _SLOTS
        draws = (self.rng.random() < chance for _ in range(_SLOTS))
        self.queue.extend(now for drawn in draws if drawn)
        while self.queue and self._place(now):
            self.tally.waited.append(now - self.queue.pop(0))
        self._count_hosts(now)

    def _finish(self, now: int) -> None:
        due = [entry for entry in self.running if entry[0] <= now]
        self.running = [entry for entry in self.running if entry[0] > now]
        for _, host, start, target in due:
            target.in_flight -= 1
            if host.up and host.start == start:
                host.running -= 1
                self.tally.answered += 1

    def _place(self, now: int) -> bool:
        router = self.rng.choice(self.simulation.routers)
        candidates = [
            (self.simulation.client.hosts[target.row.address], target)
            for target in router.targets.usable(self.simulation.rows)
        ]
        free = [
            pair
            for pair in candidates
            if pair[0].up and pair[0].running < _SLOTS and not pair[0].leaving
        ]
        if not free:
            return False
        host, target = min(free, key=_by_running)
        target.in_flight += 1
        host.running += 1
        length = max(1, round(self.rng.expovariate(1 / _SERVICE_S)))
        self.running.append((now + length, host, host.start, target))
        return True

    def _count_hosts(self, now: int) -> None:
        on = [host for host in self.simulation.hosts if host.up]
        busy = sum(host.running for host in on)
        need = -(-busy // (_SLOTS * _TARGET_USE)) + 1
        self.tally.host_s += len(on)
        self.tally.unneeded_s += int(max(0, len(on) - need))
        for host in self.simulation.hosts:
            is_unneeded = host.up and not host.running and len(on) > need
            length = (
                self.unneeded_s_by_host.get(host.address, 0) + 1
                if is_unneeded
                else 0
            )
            self.unneeded_s_by_host[host.address] = length
            longest = max(self.tally.longest_idle_s, length)
            self.tally.longest_idle_s = longest
        self._measure_time_to_capacity(now)

    def _measure_time_to_capacity(self, now: int) -> None:
        if self.shape != 'step' or now < 300 or self.tally.to_capacity_s >= 0:
            return
        if self.queue:
            self.queue_empty_since = -1
        elif self.queue_empty_since < 0:
            self.queue_empty_since = now
        if self.queue_empty_since >= 0 and now - self.queue_empty_since >= 60:
            self.tally.to_capacity_s = self.queue_empty_since - 300

    async def _decide(self) -> None:
        await self.simulation.poll()
        if self.policy == 'ours':
            for router in self.simulation.routers:
                await self.simulation.step(router)
            await self.simulation.net.settle()
        elif self.policy == 'threshold':
            await self._apply_threshold()

    async def _apply_threshold(self) -> None:
        """Switch one host on or off, by the current use alone."""
        on = [host for host in self.simulation.hosts if host.up]
        use = sum(host.running for host in on) / (_SLOTS * len(on))
        off = [host for host in self.simulation.hosts if not host.up]
        if use > _HIGH and off:
            await self.simulation.fake_platform.power(
                off[0].address, on=True, fence=0
            )
        elif use < _LOW and len(on) > 1:
            least = min(on, key=_running_requests)
            await self.simulation.fake_platform.power(
                least.address, on=False, fence=0
            )


def _by_running(pair: tuple[FakeHost, object]) -> int:
    return pair[0].running


def _running_requests(host: FakeHost) -> int:
    return host.running


def main() -> None:
    """Run each policy under each demand curve and print a line of JSON."""
    logging.disable(logging.CRITICAL)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    for shape in _DEMAND_CURVES:
        for policy in ('ours', 'threshold', 'static'):
            run = Run(policy, shape, random.Random(seed))
            tally = asyncio.run(run.run())
            line = json.dumps(tally.row())
            sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
