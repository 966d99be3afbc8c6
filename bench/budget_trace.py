"""Seeded calls of teams on routers, the same for every policy of a run."""

import random

import attrs

_SMALLEST = 200
_LARGEST = 2000
_LEAST_USE = 0.2
_MEAN_RUN_S = 3


@attrs.frozen
class Load:
    """What the callers ask for.

    Parameters
    ----------
    routers, teams : int
        How many there are.
    rate : float
        Requests a second at a router, on average over the routers.
    length : float
        Seconds from the first to the last request.
    """

    routers: int = 8
    teams: int = 10
    rate: float = 100
    length: float = 120


@attrs.frozen
class Call:
    """One request.

    Parameters
    ----------
    at : float
        Second of its arrival.
    router : int
        Where it arrives.
    team : str
        Who pays.
    tokens : int
        Worst case that is reserved.
    used : int
        What it turns out to use.
    runs : float
        Seconds that it runs.
    """

    at: float
    router: int
    team: str
    tokens: int
    used: int
    runs: float


def draw_calls(load: Load, seed: int) -> list[Call]:
    """Draw Poisson arrivals, skewed over teams and over routers.

    Parameters
    ----------
    load : Load
        Sizes. A team's demand falls with its rank (Zipf's law), and so does
        the part of it at each router, in an order of the team's own.
    seed : int
        Seed of all that is drawn.
    """
    rng = random.Random(seed)
    ranks = _zipf(load.teams)
    orders = [rng.sample(range(load.routers), load.routers) for _ in ranks]
    shares = _zipf(load.routers)
    calls = []
    at = rng.expovariate(load.rate * load.routers)
    while at < load.length:
        team = rng.choices(range(load.teams), ranks)[0]
        router = rng.choices(orders[team], shares)[0]
        calls.append(_draw_call(rng, at, router, f't{team}'))
        at += rng.expovariate(load.rate * load.routers)
    return calls


def demand(calls: list[Call], until: float) -> dict[str, int]:
    """Return the tokens that each team would use until a time."""
    sums: dict[str, int] = {}
    for call in calls:
        if call.at < until:
            sums[call.team] = sums.get(call.team, 0) + call.used
    return sums


def _zipf(count: int) -> list[float]:
    return [1 / (rank + 1) for rank in range(count)]


def _draw_call(rng: random.Random, at: float, router: int, team: str) -> Call:
    tokens = rng.randint(_SMALLEST, _LARGEST)
    used = int(tokens * rng.uniform(_LEAST_USE, 1))
    runs = rng.expovariate(1 / _MEAN_RUN_S)
    return Call(at, router, team, tokens, used, runs)
