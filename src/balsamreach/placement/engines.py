"""Chooses the engine with the shortest expected wait at the lowest cost.

Load pattern: prompts of thousands of tokens, most of them shared with other
prompts (a document, a booking), arrive in bursts at a few engines. Together
the engines' caches hold all shared parts once, but no engine holds them all.
"""

from collections.abc import Iterable

import attrs

from balsamreach.peers.homes import weigh
from balsamreach.placement.prompts import CacheEstimate, Prompt
from balsamreach.placement.relay_targets import RelayTarget

#: Prompt tokens that a typical engine processes in a millisecond. Only the
#: ratios between scores matter.
TOKENS_PER_MS = 100
#: Cost, in milliseconds of waiting, of each shared token that is processed
#: again. It is charged on top of the processing time and is about five times
#: that time at the users' prices.
REPROCESS_MS = 0.05
#: Cost, in milliseconds of waiting, of each running request: each one makes
#: every step of the others a little longer.
RUNNING_MS = 1
#: Cost, in milliseconds of waiting, of sending to another zone.
OTHER_ZONE_MS = 4


@attrs.define
class EngineChooser:
    """Scores engines by the wait that a request would have at each.

    Parameters
    ----------
    zone : str
        Zone of this router.
    """

    zone: str

    def choose(
        self,
        prompt: Prompt,
        places: Iterable[RelayTarget],
    ) -> RelayTarget | None:
        """Return the engine with the lowest score, None if there is none.

        Parameters
        ----------
        prompt : Prompt
            Prompt of the request.
        places : iterable of RelayTarget
            Engines that may be used.
        """
        candidates = tuple(places)
        if not candidates:
            return None
        preferred = self._preferred(prompt, candidates)
        return min(
            candidates,
            key=lambda place: self.score(prompt, place, place is preferred),
        )

    def score(
        self, prompt: Prompt, place: RelayTarget, is_preferred: bool
    ) -> float:
        """Return the expected wait plus costs, in milliseconds."""
        shared = sum(part.tokens for part in prompt.shared)
        cached = shared if is_preferred else self._cached(prompt, place)
        uncached = place.queued + prompt.tokens - cached
        score = uncached / TOKENS_PER_MS + place.busy * RUNNING_MS
        score += (shared - cached) * REPROCESS_MS
        if place.entry.zone != self.zone:
            score += OTHER_ZONE_MS
        return score

    def record_sent(
        self, prompt: Prompt, place: RelayTarget, capacity: int
    ) -> None:
        """Record that a prompt was sent to an engine.

        Parameters
        ----------
        prompt : Prompt
            The prompt.
        place : RelayTarget
            The engine.
        capacity : int
            Tokens that the engine's cache holds.
        """
        if place.cache is None:
            place.cache = CacheEstimate(capacity)
        place.cache.add(prompt.shared)

    def _cached(self, prompt: Prompt, place: RelayTarget) -> int:
        if place.cache is None:
            return 0
        return place.cache.cached_tokens(prompt.shared)

    def _preferred(
        self,
        prompt: Prompt,
        candidates: tuple[RelayTarget, ...],
    ) -> RelayTarget | None:
        if not prompt.shared:
            return None
        # Rendezvous hashing: routers that know the same engines agree on the
        # preferred one without a message, and an engine that leaves moves
        # only its own parts. One that restarts under its id moves none.
        deepest = prompt.shared[-1].part_id
        return max(
            candidates,
            key=lambda place: weigh(deepest, place.entry.target_id),
        )
