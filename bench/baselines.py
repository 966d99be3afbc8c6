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
    left: Counter[tuple[str, str]] = Counter()
    spent: Counter[str] = Counter()
    refusals = 0
    false_refusals = 0
    for outcome in sorted(outcomes, key=_began):
        ask = outcome.ask
        used = left[ask.team, outcome.router]
        share = prepaid[ask.team] // routers
        if used + ask.most_tokens <= share:
            left[ask.team, outcome.router] += ask.most_tokens
            spent[ask.team] += ask.most_tokens
            continue
        refusals += 1
        if spent[ask.team] + ask.most_tokens <= prepaid[ask.team]:
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
    for outcome in sorted(outcomes, key=_began):
        ask = outcome.ask
        within = spent[ask.team] + ask.most_tokens <= prepaid[ask.team]
        cut_off = _is_cut_off(outcome, outages)
        if within and not cut_off:
            spent[ask.team] += ask.most_tokens
            continue
        refusals += 1
        false_refusals += within
    return {
        'requests': len(outcomes),
        'refusals': refusals,
        'false_refusals': false_refusals,
        'overspend_tokens': 0,
        'platform_writes_per_1000': 1000,
    }


def _is_cut_off(outcome: Outcome, outages: list[Outage]) -> bool:
    return any(
        outage.meets(outcome.router, outcome.began_at) for outage in outages
    )


def _began(outcome: Outcome) -> float:
    return outcome.began_at
