"""Random multi-turn conversations as a load."""

import random

from balsamreach.standins.engine_cache import blocks_of
from bench.routing_fleet import BLOCK_CHARS, RequestSpec
from bench.routing_works import MEAN_DECODE_S, Traffic

#: Each conversation starts with one of a few system prompts and grows with each
#: turn.
_SYSTEM_PROMPTS = 4
_SYSTEM_BLOCKS = 12
_TURN_BLOCKS = 6
_TURNS = 6
_TURN_PAUSE_S = 10.0


def make_chats(traffic: Traffic, routers: int, seed: int) -> list[RequestSpec]:
    """Return the turns of conversations, each at a random router."""
    rng = random.Random(f'{seed}-{traffic.team}')
    specs = []
    start = 0.0
    while start < traffic.seconds:
        start += rng.expovariate(traffic.rate / _TURNS)
        specs.extend(_turns(traffic, routers, rng, start))
    return sorted(specs, key=_arrival)


def _arrival(spec: RequestSpec) -> float:
    return spec.arrival


def _turns(
    traffic: Traffic,
    routers: int,
    rng: random.Random,
    arrival: float,
) -> list[RequestSpec]:
    system = rng.randrange(_SYSTEM_PROMPTS)
    text = ''.join(_block(f'{system}.{num}') for num in range(_SYSTEM_BLOCKS))
    specs = []
    for _ in range(_TURNS):
        turn_id = rng.getrandbits(64)
        text += ''.join(
            _block(f'{turn_id}.{num}') for num in range(_TURN_BLOCKS)
        )
        specs.append(
            _make_spec(traffic, arrival, text, rng.randrange(routers), rng)
        )
        arrival += rng.expovariate(1 / _TURN_PAUSE_S) + MEAN_DECODE_S
    return [spec for spec in specs if spec.arrival < traffic.seconds]


def _block(name: str) -> str:
    return name.ljust(BLOCK_CHARS)


def _make_spec(
    traffic: Traffic,
    arrival: float,
    text: str,
    router: int,
    rng: random.Random,
) -> RequestSpec:
    return RequestSpec(
        arrival=arrival,
        team=traffic.team,
        prefix=text.encode(),
        blocks=blocks_of(text),
        decode=min(5, rng.expovariate(1 / MEAN_DECODE_S)),
        deadline=traffic.deadline,
        router=router,
        idempotent=rng.random() < traffic.idempotent_share,
    )
