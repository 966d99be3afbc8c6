"""What every scenario is given."""

import math
import random
import sys
import time

import attrs

from bench.fleet import Fleet


@attrs.define
class Outage:
    """A time in which routers could not reach the platform.

    Parameters
    ----------
    since, until : float
        Its ends on the monotonic clock.
    routers : frozenset of str
        Names of the routers cut off; empty for all of them.
    """

    since: float
    until: float = math.inf
    routers: frozenset[str] = frozenset()

    def meets(self, router: str, at: float) -> bool:
        """Return whether a router was cut off at a moment."""
        named = not self.routers or router in self.routers
        return named and self.since <= at < self.until


@attrs.define
class Run:
    """One run of one scenario.

    Parameters
    ----------
    name : str
        The scenario.
    seed : int
        Seed of all its randomness.
    smoke : bool
        Whether only a few requests are made, for the tests.
    fleet : Fleet
        Its processes.
    sabotage : bool
        Whether the recorded spend is tampered with before it is audited.
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
        """Seed the randomness."""
        self.rng = random.Random(self.seed)

    def scale(self, full: int, small: int) -> int:
        """Return a count for this kind of run."""
        return small if self.smoke else full

    def lose_platform(self, *routers: str) -> None:
        """Note that routers, or all, can't reach the platform from now on."""
        self.outages.append(Outage(self.now(), routers=frozenset(routers)))

    def regain_platform(self) -> None:
        """Note that the platform can be reached again."""
        self.outages[-1].until = self.now()

    def now(self) -> float:
        """Return the moment on the clock of all figures."""
        return time.monotonic()

    def say(self, text: str) -> None:
        """Print progress."""
        passed = self.now() - self.began
        sys.stderr.write(f'[{passed:6.1f} s] {self.name}: {text}\n')
