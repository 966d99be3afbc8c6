"""Random requests with shared prompt prefixes as a load."""

import itertools
import random

import attrs

from balsamreach.standins.engine_cache import blocks_of
from bench.routing_fleet import (
    BLOCK_CHARS,
    OVERHEAD_S,
    PREFILL_S_PER_BLOCK,
    RequestSpec,
)

SHARED_BLOCKS = 24
OWN_BLOCKS = 6
PREFIX_GROUPS = 240
MEAN_DECODE_S = 1.0


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


def make_requests(
    traffic: Traffic, routers: int, seed: int
) -> list[RequestSpec]:
    """Return requests with shared prompt prefixes of uneven popularity."""
    rng = random.Random(f'{seed}-{traffic.team}')
    popularity = [1 / (rank + 4) for rank in range(PREFIX_GROUPS)]
    cumulative = list(itertools.accumulate(popularity))
    specs = []
    arrival = rng.expovariate(traffic.rate)
    while arrival < traffic.seconds:
        group = rng.choices(range(PREFIX_GROUPS), cum_weights=cumulative)[0]
        request_id = rng.getrandbits(64)
        names = [f'{group}.{number}' for number in range(SHARED_BLOCKS)]
        names += [f'{request_id}.{number}' for number in range(OWN_BLOCKS)]
        text = ''.join(name.ljust(BLOCK_CHARS) for name in names)
        specs.append(
            RequestSpec(
                arrival=arrival,
                team=traffic.team,
                prefix=text.encode(),
                blocks=blocks_of(text),
                decode=min(5, rng.expovariate(1 / MEAN_DECODE_S)),
                deadline=traffic.deadline,
                router=rng.randrange(routers),
                idempotent=rng.random() < traffic.idempotent_share,
            ),
        )
        arrival += rng.expovariate(traffic.rate)
    return specs


def capacity(targets: int, slots: int) -> float:
    """Return the requests per second that targets serve without a cache."""
    blocks = SHARED_BLOCKS + OWN_BLOCKS
    return (
        targets
        * slots
        / (OVERHEAD_S + PREFILL_S_PER_BLOCK * blocks + MEAN_DECODE_S)
    )
