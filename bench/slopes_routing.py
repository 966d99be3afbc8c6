"""Memory, edits and placements with 10,000 targets."""

import functools
import random
import time
from collections.abc import Mapping

import attrs

from balsamreach.config.reader import read_settings
from balsamreach.routing.routing import Routing, make_routing
from balsamreach.table.rows import ENGINE, TargetRow
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.metrics import Metrics
from bench import routing_cpu
from bench.routing_loop import LoopClock, run_virtually
from bench.slopes_kinds import Measure, Size, bytes_of, cpu_us_since

_NEAR_TARGETS = 330


def _memory(size: Size) -> Mapping[str, float]:
    # Totals are reported, since a dict grows by doubling and its memory has no
    # constant slope.
    count = size.scale(routing_cpu.TARGETS, 2000)
    _rows()
    return {
        'listed_10000_bytes': bytes_of(_make_targets, count),
        'found_10000_bytes': bytes_of(_route_every_model, count),
        'used_10000_bytes': bytes_of(_use_all_targets, count),
    }


@functools.cache
def _rows() -> list[TargetRow]:
    # Created before the measurement, since the rows belong to the table view.
    return routing_cpu.make_rows()


def _make_targets(count: int) -> Targets:
    targets = Targets()
    targets.update(_rows()[:count])
    return targets


def _make_routing(targets: Targets) -> Routing:
    cfg = read_settings(None, ('host.zone=zone-0',))
    rng = random.Random(1)
    return make_routing(cfg, targets, LoopClock(), rng, Metrics())


def _route_every_model(count: int) -> Routing:
    # One request for each model has been placed in the own zone.
    routing = _make_routing(_make_targets(count))
    models = routing_cpu.MODELS
    run_virtually(routing_cpu.place(routing, models, random.Random(1)))
    return routing


def _use_all_targets(count: int) -> Routing:
    # All targets have received requests, as after days in which some requests
    # went to other zones.
    routing = _route_every_model(count)
    for pool in _pools(routing):
        for state in pool.full_group.members:
            state.take_slot(0)
            state.release_slot(1)
    return routing


def _pools(routing: Routing) -> list:
    find = routing.admission.picker.pools.find
    return [
        find((ENGINE, f'model-{model}')) for model in range(routing_cpu.MODELS)
    ]


def _edits(size: Size) -> Mapping[str, float]:
    # Each edit includes the next look-up of the edited target's pool.
    count = size.scale(100, 2)
    return {
        f'{field}_of_10000_us': run_virtually(_edit(count, field))
        for field in ('concurrency', 'weight')
    }


async def _edit(count: int, field: str) -> float:
    targets = _make_targets(routing_cpu.TARGETS)
    routing = _make_routing(targets)
    await routing_cpu.place(routing, routing_cpu.MODELS, random.Random(1))
    find = routing.admission.picker.pools.find
    began = time.process_time()
    for number in range(count):
        # All edited targets are in the own zone, which is the slower case.
        row = _rows()[number * routing_cpu.ZONES % routing_cpu.TARGETS]
        edited = attrs.evolve(row, **{field: 2 + number % 3})
        targets.put({row.name: edited})
        find((row.kind, *row.models))
    return cpu_us_since(began, count)


def _placing(size: Size) -> Mapping[str, float]:
    return run_virtually(_place(size))


async def _place(size: Size) -> Mapping[str, float]:
    count = size.scale(3000, 10)
    targets = Targets()
    targets.update(
        attrs.evolve(row, zone='zone-0', models=('model-0',))
        for row in _rows()[:_NEAR_TARGETS]
    )
    routing = _make_routing(targets)
    rng = random.Random(size.seed)
    began = time.process_time()
    await routing_cpu.place(routing, count, rng, models=1)
    return {'placement_at_330_us': cpu_us_since(began, count)}


MEASURES: dict[str, Measure] = {
    'memory_targets': _memory,
    'target_edits': _edits,
    'placing': _placing,
}
