"""Context of a scenario run and its platform outages."""

import math
import random
import sys
import time

import attrs

from bench.fleet import Fleet


@attrs.define
class Outage:
    """Period in which routers could not reach the platform.

    Parameters
    ----------
    since, until : float
        Start and end on the monotonic clock.
    routers : frozenset of str
        Names of the disconnected routers; empty for all routers.
    """

    since: float
    until: float = math.inf
    routers: frozenset[str] = frozenset()

    def includes(self, router: str, at: float) -> bool:
        """Return whether a router was disconnected at a time."""
        affects_router = not self.routers or router in self.routers
        return affects_router and self.since <= at < self.until


@attrs.define
class Run:
    """One run of one scenario.

    Parameters
    ----------
    name : str
        Name of the scenario.
    seed : int
        Seed of all its random numbers.
    smoke : bool
        Whether only a few requests are sent, for the tests.
    fleet : Fleet
        Processes of the run.
    sabotage : bool
        Whether an overspend is recorded before the audit, which must find it.
    rng : random.Random
        Random numbers from the seed.
    outages : list of Outage
        Platform outages so far.
    began : float
        Start on the monotonic clock.
    """

    name: str
    seed: int
    smoke: bool
    fleet: Fleet
    sabotage: bool = False
    rng: random.Random = attrs.field(init=False)
    outages: list[Outage] = attrs.field(factory=list)
    began: float = attrs.field(factory=time.monotonic)

    def __attrs_post_init__(self) -> None:
        """Create the random number generator."""
        self.rng = random.Random(self.seed)

    def scale(self, full: int, small: int) -> int:
        """Return ``small`` for a smoke run, else ``full``."""
        return small if self.smoke else full

    def begin_outage(self, *routers: str) -> None:
        """Record the start of an outage for the named routers, or for all."""
        self.outages.append(Outage(self.now(), routers=frozenset(routers)))

    def end_outage(self) -> None:
        """Record the end of the last outage."""
        self.outages[-1].until = self.now()

    def now(self) -> float:
        """Return the time on the monotonic clock."""
        return time.monotonic()

    def print_progress(self, text: str) -> None:
        """Print a progress message to stderr."""
        elapsed_s = self.now() - self.began
        sys.stderr.write(f'[{elapsed_s:6.1f} s] {self.name}: {text}\n')
