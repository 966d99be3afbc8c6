"""Random multi-turn conversations as a load."""

import random

from balsamreach.standins.engine_cache import blocks_of
from bench.routing_fleet import BLOCK, Work
from bench.routing_works import DECODE, Traffic

#: Each conversation starts with one of a few system prompts and grows with each
#: turn.
_SYSTEMS = 4
_SYSTEM_BLOCKS = 12
_TURN_BLOCKS = 6
_TURNS = 6
_PAUSE = 10.0


def make_chats(traffic: Traffic, routers: int, seed: int) -> list[Work]:
    """Return the turns of conversations, each at a random router."""
    rng = random.Random(f'{seed}-{traffic.team}')
    works = []
    started = 0.0
    while started < traffic.seconds:
        started += rng.expovariate(traffic.rate / _TURNS)
        works.extend(_turns(traffic, routers, rng, started))
    return sorted(works, key=_arrival)


def _arrival(work: Work) -> float:
    return work.at


def _turns(
    traffic: Traffic,
    routers: int,
    rng: random.Random,
    at: float,
) -> list[Work]:
    system = rng.randrange(_SYSTEMS)
    text = ''.join(_block(f'{system}.{num}') for num in range(_SYSTEM_BLOCKS))
    works = []
    for _ in range(_TURNS):
        own = rng.getrandbits(64)
        text += ''.join(_block(f'{own}.{num}') for num in range(_TURN_BLOCKS))
        works.append(_work(traffic, at, text, rng.randrange(routers), rng))
        at += rng.expovariate(1 / _PAUSE) + DECODE
    return [work for work in works if work.at < traffic.seconds]


def _block(name: str) -> str:
    return name.ljust(BLOCK)


def _work(
    traffic: Traffic,
    at: float,
    text: str,
    router: int,
    rng: random.Random,
) -> Work:
    return Work(
        at=at,
        team=traffic.team,
        prefix=text.encode(),
        blocks=blocks_of(text),
        decode=min(5, rng.expovariate(1 / DECODE)),
        deadline=traffic.deadline,
        router=router,
        idempotent=rng.random() < traffic.idempotent_share,
    )
