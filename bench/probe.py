"""Added latency: small requests sent directly and through a router."""

import asyncio
import contextlib
import itertools
import statistics

import attrs

from bench.callers import CallerClient, CallerRequest
from bench.fleet import Fleet
from bench.processes import Process
from bench.run import Run

TEAM = 'probe'
_INTERVAL_S = 0.05
_MS = 1000


@attrs.define
class Probe:
    """Measures the latency that a router adds, under the load of a run.

    Parameters
    ----------
    run : Run
        Scenario run whose routers are called in turn.
    engine : Process
        Target that is called directly.
    direct, routed : list of float
        Latencies in seconds; equal positions belong to one pair of requests.
    """

    run: Run
    engine: Process
    direct: list[float] = attrs.field(factory=list)
    routed: list[float] = attrs.field(factory=list)
    _callers: CallerClient = attrs.field(factory=CallerClient)
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending pairs of requests."""
        self._task = asyncio.create_task(self._send_pairs())

    async def stop(self) -> None:
        """Stop sending."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None

    def figures(self) -> tuple[dict[str, float], dict[str, float]]:
        """Return figures of routed and of direct requests, in milliseconds."""
        direct, routed = quantiles(self.direct), quantiles(self.routed)
        added = {
            'added_p50_ms': routed[0] - direct[0],
            'added_p99_ms': routed[1] - direct[1],
            'p50_ms': routed[0],
            'p99_ms': routed[1],
        }
        return added, {'p50_ms': direct[0], 'p99_ms': direct[1]}

    async def _send_pairs(self) -> None:
        for number in itertools.count():
            await self._send_pair(number)
            await asyncio.sleep(_INTERVAL_S)

    async def _send_pair(self, number: int) -> None:
        router = _pick_router(self.run.fleet, number)
        direct = CallerRequest(TEAM, f'direct-{number}', words=1)
        direct_outcome = await self._callers.send(direct, self.engine)
        routed = CallerRequest(TEAM, f'routed-{number}', words=1)
        routed_outcome = await self._callers.send(routed, router)
        # Refused and broken requests would count as fast answers.
        if direct_outcome.is_complete and routed_outcome.is_complete:
            self.direct.append(direct_outcome.took_s)
            self.routed.append(routed_outcome.took_s)


def quantiles(seconds: list[float]) -> tuple[float, float]:
    """Return median and 99th percentile in milliseconds."""
    if len(seconds) < 2:
        return 0, 0
    cuts = statistics.quantiles(seconds, n=100, method='inclusive')
    return cuts[49] * _MS, cuts[98] * _MS


def _pick_router(fleet: Fleet, number: int) -> Process:
    alive = [router for router in fleet.routers if router.alive]
    return alive[number % len(alive)]
