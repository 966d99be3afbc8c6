"""Benchmark of cache events for prefix affinity."""

from bench.routing_cache import EventDelivery
from bench.routing_chats import make_chats
from bench.routing_fleet import FakeTarget, Fleet, run_all
from bench.routing_loop import run_virtually
from bench.routing_scenarios import LOAD_S, P95, quantile
from bench.routing_works import Traffic, capacity, make_requests

_TARGETS = 16
_SLOTS = 8
_ROUTERS = 4
_LOAD = 0.75
_DELIVERIES = (
    None,
    EventDelivery(),
    EventDelivery(lag=2),
    EventDelivery(lag=10),
    EventDelivery(lost=0.1),
    EventDelivery(lag=10, lost=0.5),
    EventDelivery(lag=185),
)
#: Kinds of prompts: the load function and the cache size in blocks.
_PROMPT_KINDS = {'prefixes': (make_requests, 512), 'chats': (make_chats, 2048)}


def measure_hints(seed: int) -> list[dict]:
    """Compare cache hits without, with late and with lost cache events."""
    return [
        _measure(prompts, events, seed)
        for prompts in _PROMPT_KINDS
        for events in _DELIVERIES
    ]


def _measure(prompts: str, events: EventDelivery | None, seed: int) -> dict:
    make_specs, blocks = _PROMPT_KINDS[prompts]
    targets = [
        FakeTarget(f'engine-{num}', _SLOTS, blocks) for num in range(_TARGETS)
    ]
    fleet = Fleet(targets, 'affinity', 0.5, seed, _ROUTERS, events=events)
    traffic = Traffic('team', _LOAD * capacity(_TARGETS, _SLOTS), LOAD_S)
    specs = make_specs(traffic, _ROUTERS, seed)
    outcomes = run_virtually(run_all(fleet, specs))
    hits = sum(target.hits for target in fleet.targets)
    misses = sum(target.misses for target in fleet.targets)
    firsts = [out.first_byte_s for out in outcomes if not out.fault]
    return {
        'scenario': 'hints',
        'prompts': prompts,
        'events': 'none' if events is None else 'told',
        'lag_s': events.lag if events else 0,
        'lost': events.lost if events else 0,
        'requests': len(outcomes),
        'hit_rate': hits / (hits + misses),
        'ttft_p50': quantile(firsts, 0.5),
        'ttft_p95': quantile(firsts, P95),
    }
