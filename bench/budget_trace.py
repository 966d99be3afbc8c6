"""Random calls of teams to routers, equal for every policy by the seed."""

import random

import attrs

_MIN_TOKENS = 200
_MAX_TOKENS = 2000
_MIN_USED_SHARE = 0.2
_MEAN_DURATION_S = 3


@attrs.frozen
class Load:
    """Size and rate of the requests.

    Parameters
    ----------
    routers, teams : int
        Numbers of routers and teams.
    rate : float
        Mean requests per second and router.
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
    arrival : float
        Time of arrival, in seconds.
    router : int
        Number of the router at which it arrives.
    team : str
        Team that pays.
    tokens : int
        Maximum usage, which is reserved.
    used : int
        Tokens that it uses.
    duration : float
        Duration in seconds.
    """

    arrival: float
    router: int
    team: str
    tokens: int
    used: int
    duration: float


def draw_calls(load: Load, seed: int) -> list[Call]:
    """Return calls with Poisson arrivals, skewed over teams and routers.

    Parameters
    ----------
    load : Load
        Size and rate. The demand of teams follows Zipf's law, and so does the
        distribution of each team's demand over the routers, with a random
        order of routers for each team.
    seed : int
        Seed of the random numbers.
    """
    rng = random.Random(seed)
    team_shares = _zipf(load.teams)
    router_orders = [
        rng.sample(range(load.routers), load.routers) for _ in team_shares
    ]
    router_shares = _zipf(load.routers)
    calls = []
    arrival = rng.expovariate(load.rate * load.routers)
    while arrival < load.length:
        team = rng.choices(range(load.teams), team_shares)[0]
        router = rng.choices(router_orders[team], router_shares)[0]
        calls.append(_draw_call(rng, arrival, router, f't{team}'))
        arrival += rng.expovariate(load.rate * load.routers)
    return calls


def demand(calls: list[Call], until: float) -> dict[str, int]:
    """Return the tokens that each team's calls before a time use."""
    sums: dict[str, int] = {}
    for call in calls:
        if call.arrival < until:
            sums[call.team] = sums.get(call.team, 0) + call.used
    return sums


def _zipf(count: int) -> list[float]:
    return [1 / (rank + 1) for rank in range(count)]


def _draw_call(
    rng: random.Random, arrival: float, router: int, team: str
) -> Call:
    tokens = rng.randint(_MIN_TOKENS, _MAX_TOKENS)
    used = int(tokens * rng.uniform(_MIN_USED_SHARE, 1))
    duration = rng.expovariate(1 / _MEAN_DURATION_S)
    return Call(arrival, router, team, tokens, used, duration)
