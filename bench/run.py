"""What every scenario is given."""

import random
import sys
import time

import attrs

from bench.fleet import Fleet


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
    _began: float = attrs.field(factory=time.monotonic)

    def __attrs_post_init__(self) -> None:
        """Seed the randomness."""
        self.rng = random.Random(self.seed)

    def scale(self, full: int, small: int) -> int:
        """Return a count for this kind of run."""
        return small if self.smoke else full

    def say(self, text: str) -> None:
        """Print progress."""
        passed = time.monotonic() - self._began
        sys.stderr.write(f'[{passed:6.1f} s] {self.name}: {text}\n')
