"""Simple ways of keeping budgets, replayed over the requests of a run."""

from collections import Counter
from typing import Any

from bench.callers import Outcome


def even_split(
    outcomes: list[Outcome],
    prepaid: dict[str, int],
    routers: int,
) -> dict[str, Any]:
    """Replay a budget that is split evenly among routers at the start."""
    left: Counter[tuple[str, str]] = Counter()
    spent: Counter[str] = Counter()
    false_refusals = 0
    for outcome in sorted(outcomes, key=_began):
        ask = outcome.ask
        used = left[ask.team, outcome.router]
        share = prepaid[ask.team] // routers
        if used + ask.most_tokens <= share:
            left[ask.team, outcome.router] += ask.most_tokens
            spent[ask.team] += ask.most_tokens
        elif spent[ask.team] + ask.most_tokens <= prepaid[ask.team]:
            false_refusals += 1
    return {'false_refusals': false_refusals, 'overspend_tokens': 0}


def central_counter(
    outcomes: list[Outcome],
    cut_off: set[str],
    since: float,
    until: float,
) -> dict[str, Any]:
    """Replay a counter at the platform that each request has to ask.

    A router that is cut off from it can admit nothing meanwhile.
    """
    refused = [
        outcome
        for outcome in outcomes
        if outcome.router in cut_off and since <= outcome.began_at < until
    ]
    return {'false_refusals': len(refused), 'platform_writes_per_1000': 1000}


def _began(outcome: Outcome) -> float:
    return outcome.began_at
