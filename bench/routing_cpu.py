"""CPU time per placement with 10,000 targets."""

import asyncio
import random
import time

from balsamreach.config.reader import read_settings
from balsamreach.routing.routing import make_routing
from balsamreach.routing.slot import Verdict
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.table.rows import ENGINE, TargetRow
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.metrics import Metrics
from bench.routing_loop import LoopClock

TARGETS = 10_000
MODELS = 30
ZONES = 27
_PLACEMENTS = 5000
_MICRO = 1_000_000
_PREFIX_BYTES = 2048


def measure_cpu(seed: int) -> list[dict]:
    """Measure placements for each of three policies."""
    return [
        asyncio.run(_measure(policy, seed))
        for policy in ('two_choices', 'affinity', 'least_requests')
    ]


async def _measure(policy: str, seed: int) -> dict:
    rng = random.Random(seed)
    cfg = read_settings(None, ('host.zone=zone-0', f'routing.policy={policy}'))
    targets = Targets()
    rows = make_rows()
    targets.update(rows)
    routing = make_routing(cfg, targets, LoopClock(), rng, Metrics())
    await place(routing, MODELS * 4, rng)
    began = time.process_time()
    await place(routing, _PLACEMENTS, rng)
    took = time.process_time() - began
    rows[0] = TargetRow(**{**_fields(rows[0]), 'weight': 2})
    targets.update(rows)
    rebuild_s = time.process_time()
    routing.admission.picker.pools.find((ENGINE, 'model-1'))
    rebuild_s = time.process_time() - rebuild_s
    return {
        'scenario': 'cpu',
        'policy': policy,
        'targets': TARGETS,
        'microseconds_per_request': took / _PLACEMENTS * _MICRO,
        'microseconds_per_edit': rebuild_s * _MICRO,
    }


def make_rows() -> list[TargetRow]:
    """Return rows of engines with one model each, spread over zones."""
    return [
        TargetRow(
            name=f'engine-{number}',
            address=f'127.0.0.1:{number + 1}',
            zone=f'zone-{number % ZONES}',
            service='llm',
            models=(f'model-{number // ZONES % MODELS}',),
        )
        for number in range(TARGETS)
    ]


def _fields(row: TargetRow) -> dict:
    return {
        'name': row.name,
        'address': row.address,
        'zone': row.zone,
        'service': row.service,
        'models': row.models,
    }


async def place(
    routing,
    placements: int,
    rng: random.Random,
    models: int = MODELS,
) -> None:
    """Place requests for a number of models, with 1000 in progress at most."""
    held = []
    for number in range(placements):
        ask = SlotRequest(
            team='team',
            pool=(ENGINE, f'model-{number % models}'),
            fingerprint=str(number),
            deadline=routing.clock.now() + 60,
            prefix=rng.randbytes(_PREFIX_BYTES),
        )
        slot = await routing.acquire_slot(ask)
        routing.feedback.record_sent(slot)
        slot.record_first_byte()
        held.append(slot)
        if len(held) > 1000:
            ended = held.pop(0)
            ended.verdict = Verdict.GOOD
            routing.release_slot(ended)
    for slot in held:
        slot.verdict = Verdict.GOOD
        routing.release_slot(slot)
