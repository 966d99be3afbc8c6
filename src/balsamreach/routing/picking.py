"""Picks a target with a free slot, from the own zone first."""

import random

import attrs

from balsamreach.clock import Clock
from balsamreach.routing.choice import Chooser
from balsamreach.routing.criteria import Criteria
from balsamreach.routing.pools import Pool, Pools
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.routing.state import TargetState

#: A request leaves its zone if the load of the local choice exceeds this
#: multiple of the mean over all zones, plus the slack.
_SPILL_RATIO = 1.5
_SPILL_SLACK = 2.0
_NO_NAMES: frozenset[str] = frozenset()


@attrs.define(eq=False)
class Picker:
    """Takes and releases slots at targets.

    Parameters
    ----------
    pools : Pools
        Targets by model and service.
    chooser : Chooser
        Policy that chooses among a group's members.
    clock : Clock
        Clock of the router.
    rng : random.Random
        Source of the samples of loads.
    """

    pools: Pools
    chooser: Chooser
    clock: Clock
    rng: random.Random

    def pick(
        self,
        ask: SlotRequest,
        pool: Pool,
        tried: frozenset[str] = _NO_NAMES,
    ) -> TargetState | None:
        """Return a target with a slot taken, None if no target is available."""
        now = self.clock.now()
        criteria = Criteria(ask.prefix, tried, ask.idempotent)
        state = self._choose(criteria, pool, now)
        if state is not None:
            state.take_slot(now)
        return state

    def release(
        self,
        state: TargetState,
        ask: SlotRequest | None,
        now: float,
    ) -> None:
        """Release a slot; ``ask`` is None if the slot was never used."""
        state.release_slot(now)
        if ask is None or state.reserved_for == ask.fingerprint:
            state.reserved_for = ''

    def _choose(
        self,
        criteria: Criteria,
        pool: Pool,
        now: float,
    ) -> TargetState | None:
        if pool.local is not None:
            index = self.chooser.choose(criteria, pool.local, now)
            if index is not None and not self._should_spill(pool, index, now):
                return pool.local.members[index]
        group = pool.full_group
        index = self.chooser.choose(criteria, group, now)
        if index is None and group.all_suspended():
            # If every breaker is open, avoiding suspended targets gains
            # nothing, and a pool whose requests may not be used as probes
            # would never detect that its targets are back.
            relaxed = attrs.evolve(criteria, ignore_breakers=True)
            index = self.chooser.choose(relaxed, group, now)
        return None if index is None else group.members[index]

    def _should_spill(self, pool: Pool, index: int, now: float) -> bool:
        assert pool.local is not None
        load = pool.local.load(index, now)
        # The mean is never negative, so below this load the other zones need
        # not be looked at.
        if load <= _SPILL_SLACK:
            return False
        mean = pool.full_group.mean_load(self.rng, now)
        return load > _SPILL_RATIO * mean + _SPILL_SLACK
