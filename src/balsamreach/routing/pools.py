"""Targets grouped by the model or service that they serve."""

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
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.ring import Ring, make_ring
from balsamreach.routing.state import TargetState
from balsamreach.routing.want import Want
from balsamreach.table.rows import ENGINE, TargetRow
from balsamreach.targets.registry import Target, Targets

_DRAWS = 8
#: Members looked at, at least, for the mean load of a large group.
_SAMPLE = 16
#: Others' mean load is worked out anew after this many seconds.
_MEAN_AGE = 0.25

#: Kind and name: ('engine', model) or ('service', service).
PoolKey = tuple[str, str]


@attrs.define(eq=False)
class Group:
    """Targets among which one choice is made, with their weights.

    Parameters
    ----------
    members : tuple of TargetState
        Targets of weight above zero.
    weights : tuple of float
        Their weights in this pool.
    """

    members: tuple[TargetState, ...]
    weights: tuple[float, ...]
    ring: Ring = attrs.field(init=False)
    turn: int = 0
    _steps: array = attrs.field(init=False)
    _places: dict[str, int] = attrs.field(init=False)
    _mean: float = 0
    _mean_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        names = [state.name for state in self.members]
        self.ring = make_ring(names, self.weights)
        self._steps = array('d', itertools.accumulate(self.weights))
        self._places = {name: place for place, name in enumerate(names)}

    def find(self, name: str) -> int | None:
        """Return the index of a member, None if it is not in the group."""
        return self._places.get(name)

    def draw(self, rng: random.Random) -> int:
        """Return the index of a member drawn by weight."""
        spot = rng.random() * self._steps[-1]
        found = bisect.bisect_right(self._steps, spot)
        return min(found, len(self.members) - 1)

    def draw_open(
        self,
        rng: random.Random,
        now: float,
        want: Want,
    ) -> int | None:
        """Return the index of a member with room, drawn by weight."""
        for _ in range(_DRAWS):
            index = self.draw(rng)
            if self.is_open(index, now, want):
                return index
        able = self.open_ones(now, want)
        if not able:
            return None
        weights = [self.weights[index] for index in able]
        return rng.choices(able, weights)[0]

    def open_ones(self, now: float, want: Want) -> Sequence[int]:
        """Return the indices of all members with room."""
        everyone = range(len(self.members))
        return [index for index in everyone if self.is_open(index, now, want)]

    def is_open(self, index: int, now: float, want: Want) -> bool:
        """Return whether a member has room and may be chosen."""
        state = self.members[index]
        if state.name in want.tried:
            return False
        if want.desperate:
            return state.has_slot(now)
        if state.breaker.open and not want.probes:
            return False
        return state.has_slot(now) and state.breaker.passes(now)

    def all_suspended(self) -> bool:
        """Return whether no member is known to work."""
        return all(state.breaker.open for state in self.members)

    def retry_at(self, now: float) -> float | None:
        """Return when the first member takes requests by its own word.

        Parameters
        ----------
        now : float
            Monotonic seconds; what lies before it is returned as it is found.

        Returns
        -------
        float or None
            Monotonic seconds; None where all members leave.
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
        """Return a member's likely load in relation to its weight."""
        weight = self.weights[index]
        mean = self._mean_others(now) * weight
        state = self.members[index]
        # A target that warms up would look idle beside the others and take
        # more than its growing share, seen as slow answers after a restart.
        weight *= state.target.warm_share(now)
        return state.likely_load(mean, now) / weight

    def mean_load(self, rng: random.Random, now: float) -> float:
        """Return the load per weight, of a sample where there are many."""
        step = max(1, len(self.members) // _SAMPLE)
        first = int(rng.random() * step)
        held = sum(state.held for state in self.members[first::step])
        weight = sum(self.weights[first::step])
        return held / weight + self._mean_others(now)

    def _mean_others(self, now: float) -> float:
        if now - self._mean_at >= _MEAN_AGE:
            self._mean_at = now
            others = sum(state.others for state in self.members)
            self._mean = others / self._steps[-1]
        return self._mean


@attrs.define(eq=False)
class Pool:
    """The targets of one model or service.

    Parameters
    ----------
    near : Group or None
        Those of this router's zone, where there are some but not all.
    """

    near: Group | None
    _targets: Sequence[Target]
    _make: Callable[[Sequence[Target]], Group]
    _everyone: Group | None = None

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def refuse(self, now: float) -> RoutingFault | None:
        """Return a refusal if all targets back off, by when the first ends."""
        near = None if self.near is None else self.near.retry_at(now)
        if near is not None and near <= now:
            return None
        first = self.everyone.retry_at(now)
        if first is None or first <= now:
            return None
        return faults.TARGETS_BACK_OFF.after(
            first - now,
            'all targets asked for no requests',
        )

    @property
    def everyone(self) -> Group:
        """All of them; made when a request first leaves the zone.

        Most requests never do, and what is kept of the thousands of targets
        of other zones would be several times what the own zone needs.
        """
        if self._everyone is None:
            self._everyone = self._make(self._targets)
        return self._everyone


@attrs.define(eq=False)
class Pools:
    """All pools, which follow the registry row by row.

    Parameters
    ----------
    cfg : RoutingSettings
        Threshold of the breakers.
    targets : Targets
        The registry.
    zone : str
        Availability zone of this router.
    states : dict of str to TargetState
        What is known of targets that requests could go to so far.
    """

    cfg: RoutingSettings
    targets: Targets
    zone: str
    states: dict[str, TargetState] = attrs.field(factory=dict)
    _members: dict[PoolKey, dict[str, Target]] = attrs.field(factory=dict)
    _pools: dict[PoolKey, Pool] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Take what the registry has and follow it from now on."""
        for target in self.targets.by_name.values():
            self._follow(None, target)
        self.targets.watchers.append(self._follow)

    def find(self, key: PoolKey) -> Pool | None:
        """Return the pool of a model or service, None if nobody serves it."""
        pool = self._pools.get(key)
        if pool is None and key in self._members:
            pool = self._build(key)
            self._pools[key] = pool
        return pool

    def held(self, key: PoolKey) -> int:
        """Return the slots held at the targets of a pool."""
        members = self._members.get(key, ())
        known = filter(None, map(self.states.get, members))
        return sum(state.held for state in known)

    def serves(self, service: str, key: PoolKey) -> bool:
        """Return whether a service's targets are among those of a pool."""
        members = self._members.get(key, {}).values()
        return any(one.row.service == service for one in members)

    def keys_of(self, row: TargetRow) -> Iterator[PoolKey]:
        """Yield the pools that a target belongs to."""
        if row.kind == ENGINE:
            for model in row.models:
                yield (ENGINE, model)
        else:
            yield (row.kind, row.service)

    def _follow(self, before: TargetRow | None, target: Target | None) -> None:
        known = None
        if before is not None:
            known = self.states.get(before.name)
        stands = known is None or known.target is target
        if not stands:
            self.states.pop(known.name)
        row = None if target is None else target.row
        if stands and before and row and _place(before) == _place(row):
            # Groups read everything else from the row in force. At 10,000
            # targets a pause of one would otherwise cost its pools.
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
        every = tuple(self._members[key].values())
        local = [one for one in every if one.row.zone == self.zone]
        make = functools.partial(self._make_group, key)
        if len(local) in {0, len(every)}:
            return Pool(None, every, make, make(every))
        return Pool(make(local), every, make)

    def _make_group(self, key: PoolKey, targets: Sequence[Target]) -> Group:
        weighed = [(one, _weight(key, one.row)) for one in targets]
        weighed = [pair for pair in weighed if pair[1] > 0] or [
            (one, one.row.weight) for one in targets
        ]
        return Group(
            tuple(self._state_of(one) for one, _weight_here in weighed),
            tuple(weight for _one, weight in weighed),
        )

    def _state_of(self, target: Target) -> TargetState:
        state = self.states.get(target.name)
        if state is None:
            breaker = Breaker(self.cfg.quarantine_after)
            state = TargetState(target, breaker)
            self.states[target.name] = state
        return state


def _place(row: TargetRow) -> tuple[object, ...]:
    """Return what of a row decides its state, pools and part in them."""
    return (
        row.address,
        row.kind,
        row.service,
        row.models,
        row.weight,
        row.zone,
    )


def _weight(key: PoolKey, row: TargetRow) -> float:
    return row.weight * row.models.get(key[1], 1)
