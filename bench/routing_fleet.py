"""Fake targets and routers for the routing benchmarks."""

import asyncio
import random
from collections import deque

import attrs

from balsamreach.config.reader import read_settings
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.routing import Routing, make_routing
from balsamreach.routing.slot import Slot, Verdict
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.standins.engine_cache import PrefixCache
from balsamreach.table.rows import ENGINE, TargetRow
from balsamreach.targets.registry import LoadReport, Targets
from balsamreach.telemetry.metrics import Metrics
from bench.routing_cache import EventDelivery
from bench.routing_loop import LoopClock

MODEL = 'model-a'
BLOCK_CHARS = 64
REPORT_INTERVAL_S = 0.5
PREFILL_S_PER_BLOCK = 0.003
OVERHEAD_S = 0.02


@attrs.define(eq=False)
class FakeTarget:
    """Target with slots, a FIFO queue and a prefix cache.

    Parameters
    ----------
    name : str
        Name of its row.
    slots : int
        Maximum number of concurrent requests.
    cache_blocks : int
        Capacity of its cache in blocks.
    fails : str
        Kind of failure: empty, ``refuses`` or ``errors``.
    """

    name: str
    slots: int = 8
    cache_blocks: int = 512
    fails: str = ''
    running: int = 0
    hits: int = 0
    misses: int = 0
    served: int = 0
    _queue: deque = attrs.field(factory=deque)
    cache: PrefixCache = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cache = PrefixCache(self.cache_blocks)

    @property
    def address(self) -> str:
        """Unique address, from the number at the end of its name."""
        return f'127.0.0.1:{9000 + int(self.name.rpartition("-")[2])}'

    def report(self, now: float) -> LoadReport:
        """Return its current load."""
        return LoadReport(
            running=self.running,
            queued=len(self._queue),
            slots=self.slots,
            incarnation=f'{self.name}-1',
            valid_at=now,
        )

    async def serve(self, outcome: 'Outcome', slot: Slot) -> Verdict:
        """Run one request and return the verdict."""
        if self.fails == 'refuses':
            return Verdict.REFUSED
        if self.fails == 'errors':
            await asyncio.sleep(OVERHEAD_S)
            return Verdict.FAILED
        await self._enter()
        try:
            await self._run(outcome, slot)
        finally:
            self._leave()
        self.served += 1
        return Verdict.GOOD

    async def _run(self, outcome: 'Outcome', slot: Slot) -> None:
        missed = self._fill_cache(outcome.spec.blocks)
        await asyncio.sleep(OVERHEAD_S + PREFILL_S_PER_BLOCK * missed)
        slot.record_first_byte()
        outcome.first_byte_s = slot.first_byte_at - outcome.spec.arrival
        await asyncio.sleep(outcome.spec.decode)

    async def _enter(self) -> None:
        if self.running < self.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._queue.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._leave()
            else:
                self._queue.remove(turn)
            raise

    def _leave(self) -> None:
        while self._queue:
            turn = self._queue.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def _fill_cache(self, blocks) -> int:
        held = self.cache.use(blocks)
        self.hits += held
        self.misses += len(blocks) - held
        return len(blocks) - held


@attrs.frozen
class RequestSpec:
    """One request of a scenario."""

    arrival: float
    team: str
    prefix: bytes
    blocks: tuple
    decode: float
    deadline: float
    router: int
    idempotent: bool = True


@attrs.define
class Outcome:
    """Result of one request; times in seconds since its arrival."""

    spec: RequestSpec
    first_byte_s: float = 0
    total_s: float = 0
    attempts: int = 0
    fault: str = ''
    retry_after: float = 0


@attrs.define(eq=False)
class Fleet:
    """Targets and routers that get delayed load reports.

    Parameters
    ----------
    targets : list of FakeTarget
        Fake targets.
    policy : str
        Value of the setting ``[routing] policy``.
    lag : float
        Delay of load reports in seconds.
    seed : int
        Seed of the routers' random numbers.
    routers : int
        Number of routers.
    weights : dict of str to float
        Weights of targets by name; 1 by default.
    options : tuple of str
        Further settings of the routers.
    events : EventDelivery or None
        Delivery of cache events, if routers follow them.
    """

    targets: list[FakeTarget]
    policy: str
    lag: float
    seed: int
    routers: int = 4
    weights: dict[str, float] = attrs.field(factory=dict)
    options: tuple[str, ...] = ()
    admits: bool = True
    nodes: list[tuple[Routing, Targets]] = attrs.field(factory=list)
    by_name: dict[str, FakeTarget] = attrs.field(factory=dict)
    events: EventDelivery | None = None

    def start(self) -> list[asyncio.Task]:
        """Create the routers and return their background tasks."""
        cfg = read_settings(
            None,
            (
                'host.zone=zone-a',
                f'routing.policy={self.policy}',
                *self.options,
            ),
        )
        self.by_name = {target.name: target for target in self.targets}
        if self.events is not None:
            for one in self.targets:
                one.cache = self.events.make_cache(one.cache_blocks, one.name)
        tasks = []
        for number in range(self.routers):
            targets = Targets()
            targets.update(self._row(target) for target in self.targets)
            routing = make_routing(
                cfg,
                targets,
                LoopClock(),
                random.Random(self.seed * 100 + number),
                Metrics(),
            )
            self.nodes.append((routing, targets))
            tasks.append(asyncio.create_task(routing.run()))
            if self.events is not None:
                follower = self.events.follow(cfg, targets, self.targets)
                follower.watchers.append(routing.apply_cache_events)
                tasks.append(asyncio.create_task(follower.run()))
        tasks.append(asyncio.create_task(self._report()))
        return tasks

    async def run(self, spec: RequestSpec) -> Outcome:
        """Run one request, starting at its time of arrival."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(spec.arrival - loop.time())
        outcome = Outcome(spec)
        routing, _targets = self.nodes[spec.router]
        ask = SlotRequest(
            team=spec.team,
            pool=(ENGINE, MODEL),
            fingerprint=f'{spec.team}-{spec.arrival}',
            deadline=spec.arrival + spec.deadline,
            prefix=spec.prefix,
            idempotent=spec.idempotent,
        )
        try:
            async with asyncio.timeout(spec.deadline):
                await self._try_targets(routing, ask, outcome)
        except TimeoutError:
            outcome.fault = 'timeout'
        outcome.total_s = loop.time() - spec.arrival
        return outcome

    async def _try_targets(self, routing, ask, outcome) -> None:
        slot = await routing.acquire_slot(ask)
        tried = set()
        while not isinstance(slot, RoutingFault):
            tried.add(slot.target.name)
            verdict = await self._send(routing, slot, outcome)
            outcome.fault = '' if verdict == Verdict.GOOD else verdict.value
            can_retry = ask.idempotent or verdict == Verdict.REFUSED
            if not outcome.fault or not can_retry or len(tried) > 2:
                return
            slot = await routing.retry(ask, frozenset(tried))
        outcome.fault = outcome.fault or slot.code
        outcome.retry_after = slot.retry_after

    async def _send(self, routing, slot: Slot, outcome) -> Verdict:
        outcome.attempts += 1
        routing.feedback.record_sent(slot)
        slot.target.in_flight += 1
        try:
            target = self.by_name[slot.target.name]
            slot.verdict = await target.serve(outcome, slot)
        finally:
            slot.target.in_flight -= 1
            routing.release_slot(slot)
        return slot.verdict

    async def _report(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            reports = {
                target.name: target.report(now) for target in self.targets
            }
            loop.call_later(self.lag, self._deliver, reports)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _deliver(self, reports) -> None:
        for _routing, targets in self.nodes:
            for name, report in reports.items():
                targets.by_name[name].report = report

    def _row(self, target: FakeTarget) -> TargetRow:
        return TargetRow(
            name=target.name,
            address=target.address,
            zone='zone-a',
            service='llm',
            models=(MODEL,),
            weight=self.weights.get(target.name, 1),
        )


async def run_all(fleet: Fleet, specs: list[RequestSpec]) -> list[Outcome]:
    """Run all requests of a scenario and return their outcomes."""
    background = fleet.start()
    outcomes = await asyncio.gather(*(fleet.run(spec) for spec in specs))
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    return outcomes
