"""Pools: targets grouped by the model or service that they serve."""

import bisect
import functools
import itertools
import random
from array import array
from collections.abc import Callable, Iterator, Sequence

import attrs

from balsamreach.config.settings import RoutingSettings
from balsamreach.routing import faults
from balsamreach.routing.breaker import Breaker
from balsamreach.routing.criteria import Criteria
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.ring import Ring, make_ring
from balsamreach.routing.state import TargetState
from balsamreach.table.rows import ENGINE, TargetRow
from balsamreach.targets.registry import Target, Targets

_MAX_DRAWS = 8
#: Smallest number of members sampled for the mean load of a large group.
_MIN_SAMPLE_SIZE = 16
#: Seconds after which the mean load from other routers is recomputed.
_MEAN_LIFETIME = 0.25

#: Kind and name: ``('engine', model)`` or ``('service', service)``.
PoolKey = tuple[str, str]


@attrs.define(eq=False)
class Group:
    """Targets among which one choice is made, with their weights.

    Parameters
    ----------
    members : tuple of TargetState
        The targets, all with a weight above zero.
    weights : tuple of float
        Their weights in this pool.
    ring : Ring
        Consistent hash ring of the members.
    next_index : int
        Where round robin continues.
    """

    members: tuple[TargetState, ...]
    weights: tuple[float, ...]
    ring: Ring = attrs.field(init=False)
    next_index: int = 0
    _cumulative_weights: array = attrs.field(init=False)
    _indices: dict[str, int] = attrs.field(init=False)
    _others_mean: float = 0
    _others_mean_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        names = [state.name for state in self.members]
        self.ring = make_ring(names, self.weights)
        self._cumulative_weights = array(
            'd', itertools.accumulate(self.weights)
        )
        self._indices = {name: index for index, name in enumerate(names)}

    def find(self, name: str) -> int | None:
        """Return the index of a member, None if it is not in the group."""
        return self._indices.get(name)

    def draw(self, rng: random.Random) -> int:
        """Return the index of a member drawn by weight."""
        point = rng.random() * self._cumulative_weights[-1]
        found = bisect.bisect_right(self._cumulative_weights, point)
        return min(found, len(self.members) - 1)

    def draw_available(
        self,
        rng: random.Random,
        now: float,
        criteria: Criteria,
    ) -> int | None:
        """Return the index of an available member, drawn by weight."""
        for _ in range(_MAX_DRAWS):
            index = self.draw(rng)
            if self.is_available(index, now, criteria):
                return index
        available = self.available_indices(now, criteria)
        if not available:
            return None
        weights = [self.weights[index] for index in available]
        return rng.choices(available, weights)[0]

    def available_indices(
        self, now: float, criteria: Criteria
    ) -> Sequence[int]:
        """Return the indices of all available members."""
        indices = range(len(self.members))
        return [
            index
            for index in indices
            if self.is_available(index, now, criteria)
        ]

    def is_available(self, index: int, now: float, criteria: Criteria) -> bool:
        """Return whether a member has a free slot and may be chosen."""
        state = self.members[index]
        if state.name in criteria.tried:
            return False
        if criteria.ignore_breakers:
            return state.has_slot(now)
        if state.breaker.is_open and not criteria.may_probe:
            return False
        return state.has_slot(now) and state.breaker.allows_request(now)

    def all_suspended(self) -> bool:
        """Return whether the breaker of every member is open."""
        return all(state.breaker.is_open for state in self.members)

    def earliest_retry(self, now: float) -> float | None:
        """Return when the first member that backed off accepts requests again.

        Parameters
        ----------
        now : float
            Monotonic seconds. Once a time is past, it is returned as is.

        Returns
        -------
        float or None
            Monotonic seconds; None if all members are leaving.
        """
        first = None
        for state in self.members:
            target = state.target
            if target.leaving:
                continue
            if target.retry_at <= now:
                return target.retry_at
            first = min(target.retry_at, first or target.retry_at)
        return first

    def load(self, index: int, now: float) -> float:
        """Return a member's estimated load divided by its weight."""
        weight = self.weights[index]
        mean = self._mean_others_load(now) * weight
        state = self.members[index]
        # A target that warms up looks idle next to the others. Without this
        # correction it would get more than its growing share and answer slowly
        # after a restart.
        weight *= state.target.warm_share(now)
        return state.estimated_load(mean, now) / weight

    def mean_load(self, rng: random.Random, now: float) -> float:
        """Return the mean load per weight, sampled in large groups."""
        step = max(1, len(self.members) // _MIN_SAMPLE_SIZE)
        first = int(rng.random() * step)
        held = sum(state.slots_held for state in self.members[first::step])
        weight = sum(self.weights[first::step])
        return held / weight + self._mean_others_load(now)

    def _mean_others_load(self, now: float) -> float:
        if now - self._others_mean_at >= _MEAN_LIFETIME:
            self._others_mean_at = now
            other_requests = sum(state.other_requests for state in self.members)
            self._others_mean = other_requests / self._cumulative_weights[-1]
        return self._others_mean


@attrs.define(eq=False)
class Pool:
    """The targets of one model or service.

    Parameters
    ----------
    local : Group or None
        Targets in this router's zone; None if there are none or if all
        targets are in this zone.
    """

    local: Group | None
    _targets: Sequence[Target]
    _make_group: Callable[[Sequence[Target]], Group]
    _everyone: Group | None = None

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def check_back_off(self, now: float) -> RoutingFault | None:
        """Return a refusal with a retry time if all targets back off."""
        local_retry = (
            None if self.local is None else self.local.earliest_retry(now)
        )
        if local_retry is not None and local_retry <= now:
            return None
        first = self.full_group.earliest_retry(now)
        if first is None or first <= now:
            return None
        return faults.TARGETS_BACK_OFF.with_retry_after(
            first - now,
            'all targets asked to receive no requests',
        )

    @property
    def full_group(self) -> Group:
        """All targets; created when a request first leaves the zone.

        Most requests stay in their zone, and the state of thousands of targets
        in other zones would take several times the memory of the local ones.
        """
        if self._everyone is None:
            self._everyone = self._make_group(self._targets)
        return self._everyone


@attrs.define(eq=False)
class Pools:
    """All pools, kept up to date with the registry row by row.

    Parameters
    ----------
    cfg : RoutingSettings
        Threshold of the breakers.
    targets : Targets
        Registry of targets.
    zone : str
        Availability zone of this router.
    states : dict of str to TargetState
        State of each target in a group that has been created.
    """

    cfg: RoutingSettings
    targets: Targets
    zone: str
    states: dict[str, TargetState] = attrs.field(factory=dict)
    _members: dict[PoolKey, dict[str, Target]] = attrs.field(factory=dict)
    _pools: dict[PoolKey, Pool] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Add the registered targets and subscribe to changes."""
        for target in self.targets.by_name.values():
            self._on_change(None, target)
        self.targets.watchers.append(self._on_change)

    def find(self, key: PoolKey) -> Pool | None:
        """Return the pool of a model or service, None if nothing serves it."""
        pool = self._pools.get(key)
        if pool is None and key in self._members:
            pool = self._build(key)
            self._pools[key] = pool
        return pool

    def slots_held(self, key: PoolKey) -> int:
        """Return the number of slots held at the targets of a pool."""
        members = self._members.get(key, ())
        known = filter(None, map(self.states.get, members))
        return sum(state.slots_held for state in known)

    def serves(self, service: str, key: PoolKey) -> bool:
        """Return whether a pool contains targets of a service."""
        members = self._members.get(key, {}).values()
        return any(target.row.service == service for target in members)

    def keys_of(self, row: TargetRow) -> Iterator[PoolKey]:
        """Yield the keys of the pools that a target belongs to."""
        if row.kind == ENGINE:
            for model in row.models:
                yield (ENGINE, model)
        else:
            yield (row.kind, row.service)

    def _on_change(
        self, before: TargetRow | None, target: Target | None
    ) -> None:
        state = None
        if before is not None:
            state = self.states.get(before.name)
        keeps_state = state is None or state.target is target
        if not keeps_state:
            self.states.pop(state.name)
        row = None if target is None else target.row
        if (
            keeps_state
            and before
            and row
            and _pool_fields(before) == _pool_fields(row)
        ):
            # Groups read all other fields from the current row. Without this
            # check, pausing one of 10,000 targets would rebuild its pools.
            return
        if before is not None:
            self._remove(before)
        if target is not None and target.row.weight > 0:
            self._add(target)

    def _remove(self, row: TargetRow) -> None:
        for key in self.keys_of(row):
            self._pools.pop(key, None)
            members = self._members.get(key, {})
            members.pop(row.name, None)
            if not members:
                self._members.pop(key, None)

    def _add(self, target: Target) -> None:
        for key in self.keys_of(target.row):
            self._pools.pop(key, None)
            self._members.setdefault(key, {})[target.name] = target

    def _build(self, key: PoolKey) -> Pool:
        targets = tuple(self._members[key].values())
        local = [target for target in targets if target.row.zone == self.zone]
        make = functools.partial(self._make_group, key)
        if len(local) in {0, len(targets)}:
            return Pool(None, targets, make, make(targets))
        return Pool(make(local), targets, make)

    def _make_group(self, key: PoolKey, targets: Sequence[Target]) -> Group:
        weighted = [
            (target, _pool_weight(key, target.row)) for target in targets
        ]
        weighted = [pair for pair in weighted if pair[1] > 0] or [
            (target, target.row.weight) for target in targets
        ]
        return Group(
            tuple(
                self._state_of(target) for target, _member_weight in weighted
            ),
            tuple(weight for _one, weight in weighted),
        )

    def _state_of(self, target: Target) -> TargetState:
        state = self.states.get(target.name)
        if state is None:
            breaker = Breaker(self.cfg.quarantine_after)
            state = TargetState(target, breaker)
            self.states[target.name] = state
        return state


def _pool_fields(row: TargetRow) -> tuple[object, ...]:
    """Return the fields of a row that determine its state and its pools."""
    return (
        row.address,
        row.kind,
        row.service,
        row.models,
        row.weight,
        row.zone,
    )


def _pool_weight(key: PoolKey, row: TargetRow) -> float:
    return row.weight * row.models.get(key[1], 1)
