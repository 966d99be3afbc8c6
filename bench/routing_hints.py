"""Benchmark of cache events for prefix affinity."""

from bench.routing_cache import CacheTelling
from bench.routing_chats import make_chats
from bench.routing_fleet import FakeTarget, Fleet, run_all
from bench.routing_loop import run_virtually
from bench.routing_scenarios import P95, SECONDS, quantile
from bench.routing_works import Traffic, capacity, make_works

_TARGETS = 16
_SLOTS = 8
_ROUTERS = 4
_LOAD = 0.75
_TELLINGS = (
    None,
    CacheTelling(),
    CacheTelling(lag=2),
    CacheTelling(lag=10),
    CacheTelling(lost=0.1),
    CacheTelling(lag=10, lost=0.5),
    CacheTelling(lag=185),
)
#: Kinds of prompts: the load function and the cache size in blocks.
_WORKS = {'prefixes': (make_works, 512), 'chats': (make_chats, 2048)}


def measure_hints(seed: int) -> list[dict]:
    """Compare cache hits without, with late and with lost cache events."""
    return [
        _hints(prompts, events, seed)
        for prompts in _WORKS
        for events in _TELLINGS
    ]


def _hints(prompts: str, events: CacheTelling | None, seed: int) -> dict:
    make, blocks = _WORKS[prompts]
    targets = [
        FakeTarget(f'engine-{num}', _SLOTS, blocks) for num in range(_TARGETS)
    ]
    fleet = Fleet(targets, 'affinity', 0.5, seed, _ROUTERS, events=events)
    traffic = Traffic('team', _LOAD * capacity(_TARGETS, _SLOTS), SECONDS)
    works = make(traffic, _ROUTERS, seed)
    outcomes = run_virtually(run_all(fleet, works))
    hits = sum(target.hits for target in fleet.targets)
    misses = sum(target.misses for target in fleet.targets)
    firsts = [out.first for out in outcomes if not out.fault]
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
