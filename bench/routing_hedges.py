"""Benchmark of hedged requests with fake targets, one of them slow."""

import asyncio
import itertools
import random
from collections import Counter

import attrs

from balsamreach.config.reader import read_settings
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.request_attempts import (
    RequestAttempts,
    make_attempt_parts,
)
from balsamreach.dispatch.upstream import Attempt, Intake, Upstream
from balsamreach.requests.answers import Output
from balsamreach.requests.identity import RequestId
from balsamreach.routing.routing import make_routing
from balsamreach.table.rows import ENGINE, TargetRow, TeamRow
from balsamreach.targets.registry import LoadReport, Targets
from balsamreach.telemetry.metrics import Metrics
from bench.routing_fleet import REPORT_INTERVAL_S
from bench.routing_loop import LoopClock, run_virtually
from bench.routing_scenarios import quantile

MODEL = 'model-a'
_TARGETS = 8
_REQUESTS = 6000
#: Requests per second, which use 0.25 and 0.7 of the targets' slots.
_RATES = (40.0, 110.0)
_SLOTS = 4
_USUAL_S = 0.1
_SLOW_FACTOR = 20.0
_WORDS = 10
_TEAM = TeamRow(name='team', prepaid=1)
_HEADERS = {'content-type': 'text/event-stream'}


@attrs.define(eq=False)
class _Engines(Upstream):
    """Fake engines; one target takes longer for the first event."""

    rng: random.Random
    slow: str
    sent: int = 0
    sent_to_slow: int = 0
    _busy: Counter[str] = attrs.field(factory=Counter)
    _slots: dict[str, asyncio.Semaphore] = attrs.field(factory=dict)

    async def send(self, attempt: Attempt, intake: Intake) -> None:
        """Answer a request; a cancellation needs no answer."""
        if attempt.call.method == 'DELETE' or not intake.may_send():
            return
        self.sent += 1
        name = attempt.target.name
        self.sent_to_slow += name == self.slow
        slots = self._slots.setdefault(name, asyncio.Semaphore(_SLOTS))
        self._busy[name] += 1
        try:
            async with slots:
                factor = _SLOW_FACTOR if name == self.slow else 1
                await self._generate(intake, factor)
        finally:
            self._busy[name] -= 1

    async def report(self, targets: Targets) -> None:
        """Report the load of each target periodically."""
        while True:
            now = asyncio.get_running_loop().time()
            for name, target in targets.by_name.items():
                busy = self._busy[name]
                report = LoadReport(
                    running=min(busy, _SLOTS),
                    queued=max(0, busy - _SLOTS),
                    slots=_SLOTS,
                    incarnation='first',
                    valid_at=now,
                )
                target.apply_report(report, now)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _generate(self, intake: Intake, factor: float) -> None:
        await asyncio.sleep(
            factor * _USUAL_S * self.rng.lognormvariate(0, 0.5),
        )
        intake.start(200, _HEADERS)
        for _ in range(_WORDS):
            intake.write(b'data: {}\n\n')
            await asyncio.sleep(_USUAL_S / _WORDS)
        intake.write(b'data: [DONE]\n\n')


@attrs.define(eq=False)
class _Caller(Output):
    """Output that records the time of its first byte."""

    status: int = 0
    first_at: float = 0

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Record status and time; the first bytes follow at once."""
        self.status = status
        self.first_at = asyncio.get_running_loop().time()

    def write(self, chunk: bytes) -> None:
        """Discard the body."""


def measure_hedges(seed: int) -> list[dict]:
    """Compare the time to first byte with and without hedging."""
    return [
        run_virtually(_measure(hedge, slow, rate, seed))
        for rate, slow, hedge in itertools.product(
            _RATES,
            ('', 'engine-0'),
            ('no', 'yes'),
        )
    ]


async def _measure(
    hedge: str,
    slow: str,
    rate: float,
    seed: int,
) -> dict:
    cfg = read_settings(
        None,
        ('host.zone=zone-a', f'routing.hedge={hedge}'),
    )
    targets = Targets()
    targets.update(_row(number) for number in range(_TARGETS))
    rng = random.Random(seed)
    routing = make_routing(cfg, targets, LoopClock(), rng, Metrics())
    engines = _Engines(rng, slow)
    parts = make_attempt_parts(cfg.requests, routing, engines)
    reporting = asyncio.create_task(engines.report(targets))
    first_byte_times = await _run_all(parts, rng, rate)
    reporting.cancel()
    return {
        'scenario': 'hedges',
        'hedge': hedge,
        'rate': rate,
        'slow_targets': 1 if slow else 0,
        'requests': _REQUESTS,
        'not_answered': _REQUESTS - len(first_byte_times),
        'ttft_p50': quantile(first_byte_times, 0.5),
        'ttft_p95': quantile(first_byte_times, 0.95),
        'ttft_p99': quantile(first_byte_times, 0.99),
        'attempts_per_request': engines.sent / _REQUESTS,
        'share_at_slow': engines.sent_to_slow / _REQUESTS,
    }


async def _run_all(
    parts,
    rng: random.Random,
    rate: float,
) -> list[float]:
    running = []
    for number in range(_REQUESTS):
        await asyncio.sleep(rng.expovariate(rate))
        running.append(asyncio.create_task(_run(parts, number)))
    first_byte_times = await asyncio.gather(*running)
    return [seconds for seconds in first_byte_times if seconds is not None]


async def _run(parts, number: int) -> float | None:
    began = parts.clock.now()
    call = _call(number, began)
    slot = await parts.placer.acquire_slot(call)
    if isinstance(slot, DispatchFault):
        return None
    caller = _Caller()
    fault = await RequestAttempts(parts, call, caller).run(slot)
    if fault:
        return None
    return caller.first_at - began


def _call(number: int, now: float) -> Call:
    return Call(
        req=RequestId('team', f'key-{number}', minted=True, fingerprint='f'),
        team=_TEAM,
        kind=ENGINE,
        name=MODEL,
        method='POST',
        path='/v1/chat/completions',
        headers={},
        body=b'{}',
        stream=True,
        idempotent=True,
        reserved_tokens=100,
        deadline=now + 60,
        prefix=f'{number:064}'.encode(),
    )


def _row(number: int) -> TargetRow:
    return TargetRow(
        name=f'engine-{number}',
        address=f'127.0.0.1:{9000 + number}',
        zone='zone-a',
        service='llm',
        models=(MODEL,),
    )
