"""Targets grouped by the model or service that they serve."""

import bisect
import itertools
import random
from collections.abc import Iterator, Sequence

import attrs

from balsamreach.config.settings import RoutingSettings
from balsamreach.routing.breaker import Breaker
from balsamreach.routing.ring import Ring, make_ring
from balsamreach.routing.state import TargetState
from balsamreach.routing.want import Want
from balsamreach.table.rows import ENGINE, TargetRow
from balsamreach.targets.registry import Targets

_DRAWS = 8
#: Members looked at for the mean load of a large group.
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
    _steps: list[float] = attrs.field(init=False)
    _places: dict[str, int] = attrs.field(init=False)
    _mean: float = 0
    _mean_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        names = [state.name for state in self.members]
        self.ring = make_ring(names, self.weights)
        self._steps = list(itertools.accumulate(self.weights))
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
        sample = self._sample(rng)
        held = sum(self.members[index].held for index in sample)
        weight = sum(self.weights[index] for index in sample)
        return held / weight + self._mean_others(now)

    def _sample(self, rng: random.Random) -> Sequence[int]:
        size = len(self.members)
        if size <= _SAMPLE:
            return range(size)
        return rng.sample(range(size), _SAMPLE)

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
    everyone : Group
        All of them.
    near : Group or None
        Those of this router's zone, where there are some but not all.
    """

    everyone: Group
    near: Group | None = None


@attrs.define(eq=False)
class Pools:
    """All pools, rebuilt when the registry's rows change.

    Parameters
    ----------
    cfg : RoutingSettings
        Threshold of the breakers.
    targets : Targets
        The registry.
    zone : str
        Availability zone of this router.
    """

    cfg: RoutingSettings
    targets: Targets
    zone: str
    states: dict[str, TargetState] = attrs.field(factory=dict)
    _revision: int = -1
    _rows: dict[PoolKey, list[TargetRow]] = attrs.field(factory=dict)
    _pools: dict[PoolKey, Pool] = attrs.field(factory=dict)

    def find(self, key: PoolKey) -> Pool | None:
        """Return the pool of a model or service, None if nobody serves it."""
        self._follow()
        pool = self._pools.get(key)
        if pool is None and key in self._rows:
            pool = self._build(key)
            self._pools[key] = pool
        return pool

    def keys_of(self, row: TargetRow) -> Iterator[PoolKey]:
        """Yield the pools that a target belongs to."""
        if row.kind == ENGINE:
            for model in row.models:
                yield (ENGINE, model)
        else:
            yield (row.kind, row.service)

    def _follow(self) -> None:
        if self._revision == self.targets.revision:
            return
        self._revision = self.targets.revision
        old = self._rows
        self._rows = self._group()
        self._states_follow()
        # A pool whose rows are the same keeps its ring: at 10,000 targets an
        # edit of one row would otherwise cost the rings of all models.
        self._pools = {
            key: pool
            for key, pool in self._pools.items()
            if self._rows.get(key) == old.get(key) and self._stands(pool)
        }

    def _group(self) -> dict[PoolKey, list[TargetRow]]:
        grouped: dict[PoolKey, list[TargetRow]] = {}
        for target in self.targets.by_name.values():
            if target.row.weight > 0:
                for key in self.keys_of(target.row):
                    grouped.setdefault(key, []).append(target.row)
        return grouped

    def _states_follow(self) -> None:
        by_name = self.targets.by_name
        for name in set(self.states) - set(by_name):
            self.states.pop(name)
        for name, target in by_name.items():
            known = self.states.get(name)
            if known is None or known.target is not target:
                breaker = Breaker(self.cfg.quarantine_after)
                self.states[name] = TargetState(target, breaker)

    def _stands(self, pool: Pool) -> bool:
        return all(
            self.states.get(state.name) is state
            for state in pool.everyone.members
        )

    def _build(self, key: PoolKey) -> Pool:
        rows = self._rows[key]
        near = [row for row in rows if row.zone == self.zone]
        if len(near) in {0, len(rows)}:
            return Pool(self._make_group(key, rows))
        return Pool(self._make_group(key, rows), self._make_group(key, near))

    def _make_group(self, key: PoolKey, rows: Sequence[TargetRow]) -> Group:
        weighed = [(row, _weight(key, row)) for row in rows]
        weighed = [pair for pair in weighed if pair[1] > 0] or [
            (row, row.weight) for row in rows
        ]
        return Group(
            tuple(self.states[row.name] for row, _weight_here in weighed),
            tuple(weight for _row, weight in weighed),
        )


def _weight(key: PoolKey, row: TargetRow) -> float:
    return row.weight * row.models.get(key[1], 1)
