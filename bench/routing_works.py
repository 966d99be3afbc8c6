"""Random requests with shared prompt prefixes as a load."""

import itertools
import random

import attrs

from balsamreach.standins.engine_cache import blocks_of
from bench.routing_fleet import BLOCK, OVERHEAD, PREFILL, Work

SHARED_BLOCKS = 24
OWN_BLOCKS = 6
GROUPS = 240
DECODE = 1.0


@attrs.frozen
class Traffic:
    """Parameters of the requests of one team.

    Parameters
    ----------
    team : str
        Name of the team.
    rate : float
        Mean requests per second.
    seconds : float
        Duration of the load.
    deadline : float
        Maximum duration of a request in seconds.
    idempotent_share : float
        Share of idempotent requests.
    """

    team: str
    rate: float
    seconds: float
    deadline: float = 60.0
    idempotent_share: float = 1.0


def make_works(traffic: Traffic, routers: int, seed: int) -> list[Work]:
    """Return requests with shared prompt prefixes of uneven popularity."""
    rng = random.Random(f'{seed}-{traffic.team}')
    popularity = [1 / (rank + 4) for rank in range(GROUPS)]
    steps = list(itertools.accumulate(popularity))
    works = []
    at = rng.expovariate(traffic.rate)
    while at < traffic.seconds:
        group = rng.choices(range(GROUPS), cum_weights=steps)[0]
        own = rng.getrandbits(64)
        names = [f'{group}.{number}' for number in range(SHARED_BLOCKS)]
        names += [f'{own}.{number}' for number in range(OWN_BLOCKS)]
        text = ''.join(name.ljust(BLOCK) for name in names)
        works.append(
            Work(
                at=at,
                team=traffic.team,
                prefix=text.encode(),
                blocks=blocks_of(text),
                decode=min(5, rng.expovariate(1 / DECODE)),
                deadline=traffic.deadline,
                router=rng.randrange(routers),
                idempotent=rng.random() < traffic.idempotent_share,
            ),
        )
        at += rng.expovariate(traffic.rate)
    return works


def capacity(targets: int, slots: int) -> float:
    """Return the requests per second that targets serve without a cache."""
    blocks = SHARED_BLOCKS + OWN_BLOCKS
    return targets * slots / (OVERHEAD + PREFILL * blocks + DECODE)
