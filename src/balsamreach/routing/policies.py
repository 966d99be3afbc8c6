"""Target choice policies by their names in the settings."""

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
    """Return the policy of a given name, which the settings have validated."""
    return POLICIES[policy](rng)
