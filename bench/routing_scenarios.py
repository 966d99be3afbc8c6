"""Benchmarks of target choice, overload, fairness, retries and shares."""

from collections import Counter

from bench.routing_fleet import FakeTarget, Fleet, Outcome, run_all
from bench.routing_loop import run_virtually
from bench.routing_works import Traffic, capacity, make_requests

POLICIES = (
    'random',
    'round_robin',
    'least_requests',
    'two_choices',
    'affinity',
)
TARGETS = 16
SLOTS = 8
ROUTERS = 4
LOAD_S = 120.0
P95 = 0.95
WARM_UP_S = 20.0
TWICE_CAPACITY = 2.0


def _targets() -> list[FakeTarget]:
    return [FakeTarget(f'engine-{num}', SLOTS) for num in range(TARGETS)]


def quantile(numbers: list[float], share: float) -> float:
    """Return the quantile of numbers at a fraction from 0 to 1."""
    ordered = sorted(numbers)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _run(fleet: Fleet, traffics: list[Traffic], seed: int) -> list[Outcome]:
    specs = [
        spec
        for stream in traffics
        for spec in make_requests(stream, fleet.routers, seed)
    ]
    return run_virtually(run_all(fleet, specs))


def measure_choice(seed: int) -> list[dict]:
    """Compare cache hits and time to first token of policies."""
    rate = 0.75 * capacity(TARGETS, SLOTS)
    rows = []
    for lag in (0.0, 2.0):
        for policy in POLICIES:
            fleet = Fleet(_targets(), policy, lag, seed, ROUTERS)
            outcomes = _run(fleet, [Traffic('team', rate, LOAD_S)], seed)
            hits = sum(target.hits for target in fleet.targets)
            misses = sum(target.misses for target in fleet.targets)
            first_byte_times = [
                out.first_byte_s for out in outcomes if not out.fault
            ]
            rows.append(
                {
                    'scenario': 'choice',
                    'policy': policy,
                    'report_lag_s': lag,
                    'requests': len(outcomes),
                    'hit_rate': hits / (hits + misses),
                    'ttft_p50': quantile(first_byte_times, 0.5),
                    'ttft_p95': quantile(first_byte_times, P95),
                    'not_answered': len(outcomes) - len(first_byte_times),
                },
            )
    return rows


def measure_overload(seed: int) -> list[dict]:
    """Compare throughput at several loads with the best near capacity."""
    rows = []
    for load in (0.9, 1.0, 1.1, 2.0, 3.0):
        rate = load * capacity(TARGETS, SLOTS)
        fleet = Fleet(_targets(), 'affinity', 0.5, seed, ROUTERS)
        traffic = Traffic('team', rate, LOAD_S, deadline=10)
        outcomes = _run(fleet, [traffic], seed)
        useful = sum(not out.fault for out in outcomes)
        rows.append(
            {
                'scenario': 'overload',
                'load': load,
                'requests': len(outcomes),
                'useful_per_s': useful / LOAD_S,
                'faults': dict(Counter(out.fault for out in outcomes)),
                'limits': _mean_limit(fleet),
            },
        )
    best = max(
        row['useful_per_s'] for row in rows if row['load'] < TWICE_CAPACITY
    )
    for row in rows:
        row['of_best_at_capacity'] = row['useful_per_s'] / best
    return rows


def _mean_limit(fleet: Fleet) -> float:
    """Return the mean per target of the sum of all routers' limits."""
    pools = [node[0].admission.picker.pools for node in fleet.nodes]
    limits = [
        state.limit.limit for pool in pools for state in pool.states.values()
    ]
    return sum(limits) / len(fleet.targets)


def measure_fairness(seed: int) -> list[dict]:
    """Compare a quiet team's latency with and without a flooding team."""
    rows = [
        _measure_quiet_team(name, flood, seed)
        for name, flood in (('alone', 0), ('half', 0.5), ('flood', 2.0))
    ]
    for row in rows:
        row['p95_ratio'] = row['total_p95'] / rows[0]['total_p95']
    return rows


def _measure_quiet_team(name: str, flood: float, seed: int) -> dict:
    full = capacity(TARGETS, SLOTS)
    traffics = [Traffic('quiet', 0.2 * full, LOAD_S, deadline=30)]
    if flood:
        traffics.append(Traffic('flood', flood * full, LOAD_S, deadline=30))
    fleet = Fleet(_targets(), 'affinity', 0.5, seed, ROUTERS)
    outcomes = _run(fleet, traffics, seed)
    quiet = [out for out in outcomes if out.spec.team == 'quiet']
    quiet = [out for out in quiet if out.spec.arrival > WARM_UP_S]
    served = [out for out in quiet if not out.fault]
    return {
        'scenario': 'fairness',
        'beside': name,
        'requests': len(quiet),
        'refused': len(quiet) - len(served),
        'ttft_p95': quantile([out.first_byte_s for out in served], P95),
        'total_p95': quantile([out.total_s for out in served], P95),
    }


def measure_failures(seed: int) -> list[dict]:
    """Count attempts while a third of the targets fail."""
    rows = []
    for fails in ('refuses', 'errors'):
        targets = _targets()
        for target in targets[: TARGETS // 3 + 1]:
            target.fails = fails
        rate = 0.5 * capacity(TARGETS, SLOTS)
        fleet = Fleet(targets, 'affinity', 0.5, seed, ROUTERS)
        traffic = Traffic('team', rate, LOAD_S, idempotent_share=0.8)
        outcomes = _run(fleet, [traffic], seed)
        attempts = sum(out.attempts for out in outcomes)
        single = [out for out in outcomes if not out.spec.idempotent]
        rows.append(
            {
                'scenario': 'failures',
                'third': fails,
                'requests': len(outcomes),
                'attempts_per_request': attempts / len(outcomes),
                'not_answered': sum(bool(out.fault) for out in outcomes),
                'single_most_attempts': max(out.attempts for out in single),
            },
        )
    return rows


def measure_shares(seed: int) -> list[dict]:
    """Compare targets' shares of requests with their weights."""
    return [_measure_policy_shares(policy, seed) for policy in POLICIES]


def _measure_policy_shares(policy: str, seed: int) -> dict:
    targets = _targets()
    for number, target in enumerate(targets):
        target.slots = SLOTS * (1 + number % 3)
    weights = {one.name: one.slots / SLOTS for one in targets}
    rate = 0.5 * capacity(sum(weights.values()), SLOTS)
    fleet = Fleet(targets, policy, 0.5, seed, ROUTERS, weights)
    outcomes = _run(fleet, [Traffic('team', rate, LOAD_S)], seed)
    fair = len(outcomes) / sum(weights.values())
    errors = [abs(one.served / fair / weights[one.name] - 1) for one in targets]
    return {
        'scenario': 'shares',
        'policy': policy,
        'requests': len(outcomes),
        'mean_error': sum(errors) / len(errors),
        'largest_error': max(errors),
    }
