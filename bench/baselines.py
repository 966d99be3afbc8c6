"""Simple budget policies, replayed over the requests of a run."""

from collections import Counter
from typing import Any

from bench.callers import Outcome
from bench.run import Outage


def even_split(
    outcomes: list[Outcome],
    prepaid: dict[str, int],
    routers: int,
) -> dict[str, Any]:
    """Replay budgets that are split evenly among routers at the start."""
    used_by_router: Counter[tuple[str, str]] = Counter()
    spent: Counter[str] = Counter()
    refusals = 0
    false_refusals = 0
    for outcome in sorted(outcomes, key=_start_time):
        request = outcome.request
        used = used_by_router[request.team, outcome.router]
        share = prepaid[request.team] // routers
        if used + request.max_tokens <= share:
            used_by_router[request.team, outcome.router] += request.max_tokens
            spent[request.team] += request.max_tokens
            continue
        refusals += 1
        if spent[request.team] + request.max_tokens <= prepaid[request.team]:
            false_refusals += 1
    return {'refusals': refusals, 'false_refusals': false_refusals}


def central_counter(
    outcomes: list[Outcome],
    prepaid: dict[str, int],
    outages: list[Outage],
) -> dict[str, Any]:
    """Replay a counter at the platform that every request has to update.

    A router admits nothing while it can't reach the platform. One write per
    request is the minimum: each write settles the previous request and
    reserves tokens for the next one.
    """
    spent: Counter[str] = Counter()
    refusals = 0
    false_refusals = 0
    for outcome in sorted(outcomes, key=_start_time):
        request = outcome.request
        is_within_budget = (
            spent[request.team] + request.max_tokens <= prepaid[request.team]
        )
        is_cut_off = _is_cut_off(outcome, outages)
        if is_within_budget and not is_cut_off:
            spent[request.team] += request.max_tokens
            continue
        refusals += 1
        false_refusals += is_within_budget
    return {
        'requests': len(outcomes),
        'refusals': refusals,
        'false_refusals': false_refusals,
        'overspend_tokens': 0,
        'platform_writes_per_1000': 1000,
    }


def _is_cut_off(outcome: Outcome, outages: list[Outage]) -> bool:
    return any(
        outage.includes(outcome.router, outcome.began_at) for outage in outages
    )


def _start_time(outcome: Outcome) -> float:
    return outcome.began_at
