"""Finds a target with room: own zone first, others where it is full."""

import random

import attrs

from balsamreach.clock import Clock
from balsamreach.routing.ask import Ask
from balsamreach.routing.choice import Chooser
from balsamreach.routing.pools import Pool, Pools
from balsamreach.routing.state import TargetState
from balsamreach.routing.want import Want

#: Load over the mean of all zones from which a request leaves its zone.
_SPILL = 1.5
_SPILL_SLACK = 2.0
_NOBODY: frozenset[str] = frozenset()


@attrs.define(eq=False)
class Picker:
    """Takes slots at targets and gives them back.

    Parameters
    ----------
    pools : Pools
        Targets by model and service.
    chooser : Chooser
        The policy of choice.
    clock : Clock
        Time.
    rng : random.Random
        For samples of loads.
    """

    pools: Pools
    chooser: Chooser
    clock: Clock
    rng: random.Random

    def pick(
        self,
        ask: Ask,
        pool: Pool,
        tried: frozenset[str] = _NOBODY,
    ) -> TargetState | None:
        """Return a target with a slot taken, None if none has room."""
        now = self.clock.now()
        want = Want(ask.prefix, tried, ask.idempotent)
        state = self._choose(want, pool, now)
        if state is not None:
            state.take(now)
        return state

    def release(
        self,
        state: TargetState,
        ask: Ask | None,
        now: float,
    ) -> None:
        """Give a slot back; no ask if it was never used."""
        state.free(now)
        if ask is None or state.alone == ask.fingerprint:
            state.alone = ''

    def _choose(
        self,
        want: Want,
        pool: Pool,
        now: float,
    ) -> TargetState | None:
        if pool.near is not None:
            index = self.chooser.choose(want, pool.near, now)
            if index is not None and not self._spills(pool, index, now):
                return pool.near.members[index]
        group = pool.everyone
        index = self.chooser.choose(want, group, now)
        if index is None and group.all_suspended():
            # With every target suspended there is nothing left to spare, and
            # a pool whose requests may not be used as probes would never
            # find out that its targets are back.
            desperate = attrs.evolve(want, desperate=True)
            index = self.chooser.choose(desperate, group, now)
        return None if index is None else group.members[index]

    def _spills(self, pool: Pool, index: int, now: float) -> bool:
        assert pool.near is not None
        load = pool.near.load(index, now)
        # No mean is below zero, and below this bound nothing need be known
        # of the other zones at all.
        if load <= _SPILL_SLACK:
            return False
        mean = pool.everyone.mean_load(self.rng, now)
        return load > _SPILL * mean + _SPILL_SLACK
