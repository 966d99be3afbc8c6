"""Chooses an engine by its predicted time to first event and the cost.

Routers of a large fleet have as little as 0.4 of a core, and compare all
engines for each request; so what changes slowly is kept for each engine.
"""

import math
import random

import attrs

from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.placement.engine_speeds import CLASS_RATIO, EngineSpeeds
from balsamreach.placement.first_event import (
    OTHER_ZONE_MS,
    first_event_ms,
    late_after_ms,
    lateness_cost_ms,
    running_cost_ms,
)
from balsamreach.placement.prompts import Prompt
from balsamreach.placement.relay_targets import RelayTarget

#: Cost, in milliseconds, of each shared token that is processed again.
REPROCESS_MS = 0.05
#: Difference in cost, in milliseconds, within which engines are equally good.
#: Routers with the same data would otherwise all choose the same engine.
TIE_MS = 5

#: Seconds for which the speeds and classes of engines are kept.
_REFRESH_S = 2.0
#: Bits of a hash that a float between 0 and 1 holds exactly, with the half
#: that keeps it off both ends.
_HASH_BITS = 52
_DROPPED_BITS = 64 - _HASH_BITS
_HASH_RANGE = 1 << _HASH_BITS


@attrs.frozen
class _Traits:
    """What changes slowly at an engine."""

    target_id: str
    speed: float
    weight: float
    distance_ms: float


@attrs.define(eq=False)
class EngineCosts:
    """Compares engines by their speeds and loads.

    Parameters
    ----------
    zone : str
        Zone of this router.
    speeds : EngineSpeeds
        Speeds of the engines.
    rng : random.Random
        Chooses between equally good engines.
    """

    zone: str
    speeds: EngineSpeeds
    rng: random.Random
    _traits: dict[RelayTarget, _Traits] = attrs.field(factory=dict)
    _traits_until: float = float('-inf')

    def choose(
        self,
        prompt: Prompt,
        candidates: tuple[RelayTarget, ...],
        preferred: RelayTarget | None,
        aim: float,
    ) -> RelayTarget:
        """Return an engine of the lowest cost.

        Parameters
        ----------
        prompt : Prompt
            Prompt of the request.
        candidates : tuple of RelayTarget
            Engines that may be used, at least one.
        preferred : RelayTarget or None
            Engine that is expected to cache the shared parts.
        aim : float
            Seconds within which the first event is on time.
        """
        self._refresh()
        costs = self._costs(prompt, candidates, preferred, aim)
        highest = min(costs) + TIE_MS
        best = [
            place
            for place, cost in zip(candidates, costs, strict=True)
            if cost <= highest
        ]
        return best[0] if len(best) == 1 else self.rng.choice(best)

    def preferred(
        self, prompt: Prompt, candidates: tuple[RelayTarget, ...]
    ) -> RelayTarget | None:
        """Return the engine that caches the prompt's shared parts.

        Weighted rendezvous hashing: an engine keeps parts in proportion to
        its speed, in steps, so that routers agree while estimates vary.
        """
        if not prompt.shared:
            return None
        self._refresh()
        deepest = prompt.shared[-1].part_id
        preferred, highest = None, -1
        for place in candidates:
            traits = self._traits.get(place) or self._add_traits(place)
            rank = _rank(deepest, traits)
            if rank > highest:
                preferred, highest = place, rank
        return preferred

    def _costs(
        self,
        prompt: Prompt,
        candidates: tuple[RelayTarget, ...],
        preferred: RelayTarget | None,
        aim: float,
    ) -> list[float]:
        shared_parts = prompt.shared
        shared = sum(part.tokens for part in shared_parts)
        late_after = late_after_ms(aim)
        costs = []
        for place in candidates:
            traits = self._traits.get(place) or self._add_traits(place)
            cached = 0
            if place is preferred:
                cached = shared
            elif place.cache is not None:
                cached = place.cache.cached_tokens(shared_parts)
            uncached = prompt.tokens - cached
            first_ms = first_event_ms(
                place.unread + place.others_unread,
                uncached,
                traits.speed,
                traits.distance_ms,
            )
            costs.append(
                first_ms
                + lateness_cost_ms(first_ms, late_after)
                + (shared - cached) * REPROCESS_MS
                + running_cost_ms(
                    uncached / traits.speed,
                    place.running + place.others_running,
                )
            )
        return costs

    def _refresh(self) -> None:
        now = self.speeds.clock.now()
        if now >= self._traits_until:
            self._traits_until = now + _REFRESH_S
            self._traits.clear()

    def _add_traits(self, place: RelayTarget) -> _Traits:
        entry = place.entry
        incarnation = entry.incarnation
        traits = _Traits(
            entry.target_id,
            self.speeds.speed(incarnation),
            CLASS_RATIO ** self.speeds.speed_class(incarnation),
            0 if entry.zone == self.zone else OTHER_ZONE_MS,
        )
        self._traits[place] = traits
        return traits


def _rank(part_id: str, traits: _Traits) -> float:
    digest = rendezvous_weight(part_id, traits.target_id)
    share = ((digest >> _DROPPED_BITS) + 0.5) / _HASH_RANGE
    return -traits.weight / math.log(share)
