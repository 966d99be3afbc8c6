"""The policies of choice by the names that settings give them."""

import random

from balsamreach.routing.affinity import Affinity
from balsamreach.routing.choice import (
    Chooser,
    LeastRequests,
    RandomChoice,
    RoundRobin,
    TwoChoices,
)

POLICIES: dict[str, type[Chooser]] = {
    'affinity': Affinity,
    'two_choices': TwoChoices,
    'least_requests': LeastRequests,
    'round_robin': RoundRobin,
    'random': RandomChoice,
}


def make_chooser(policy: str, rng: random.Random) -> Chooser:
    """Return the policy of a name that the settings have checked."""
    return POLICIES[policy](rng)
