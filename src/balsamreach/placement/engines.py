"""Chooses the engine with the shortest expected wait at the lowest cost.

Load pattern: prompts of thousands of tokens, most of them shared with other
prompts (a document, a booking), arrive in bursts at a few engines. Together
the engines' caches hold all shared parts once, but no engine holds them all.
"""

from collections.abc import Callable, Iterable

import attrs

from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.placement.engine_costs import EngineCosts
from balsamreach.placement.first_event import BASE_MS
from balsamreach.placement.prompts import CacheEstimate, Prompt
from balsamreach.placement.relay_targets import RelayTarget

#: Prompt tokens that a typical engine processes in a millisecond, where no
#: speeds are shared. Only the ratios between scores matter.
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
#: Tokens not known to be cached from which on a prompt gives a sample of its
#: engine's speed. The time of a shorter one is mostly the network's.
MIN_SAMPLE_TOKENS = 1500

_MS = 1000


@attrs.define
class EngineChooser:
    """Scores engines by the wait that a request would have at each.

    Parameters
    ----------
    zone : str
        Zone of this router.
    costs : EngineCosts or None
        Compares engines where speeds are shared; None if they never are.
    shares_speeds : callable
        Returns whether routers share the speeds of engines now.
    """

    zone: str
    costs: EngineCosts | None = None
    shares_speeds: Callable[[], bool] = bool
    _last_prompt: Prompt | None = None
    _last_preferred: RelayTarget | None = None

    def choose(
        self,
        prompt: Prompt,
        places: Iterable[RelayTarget],
        aim: float,
    ) -> RelayTarget | None:
        """Return the engine with the lowest score, None if there is none.

        Parameters
        ----------
        prompt : Prompt
            Prompt of the request.
        places : iterable of RelayTarget
            Engines that may be used.
        aim : float
            Seconds within which the first event is on time.
        """
        candidates = tuple(places)
        if not candidates:
            return None
        if self._uses_speeds:
            preferred = self.costs.preferred(prompt, candidates)
            self._last_prompt = prompt
            self._last_preferred = preferred
            return self.costs.choose(prompt, candidates, preferred, aim)
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
    ) -> int:
        """Record that a prompt was sent to an engine.

        Parameters
        ----------
        prompt : Prompt
            The prompt.
        place : RelayTarget
            The engine.
        capacity : int
            Tokens that the engine's cache holds.

        Returns
        -------
        int
            Tokens that count as unprocessed until the first event.
        """
        unread = prompt.tokens
        if self._uses_speeds:
            unread -= self._expected_cached(prompt, place)
        if place.cache is None:
            place.cache = CacheEstimate(capacity)
        place.cache.add(prompt.shared)
        return unread

    def record_first_event(
        self, place: RelayTarget, unread: int, processed: int, seconds: float
    ) -> None:
        """Record when a stream began, as a sample of the engine's speed.

        Parameters
        ----------
        place : RelayTarget
            The engine.
        unread : int
            Tokens of the prompt that the engine had to process.
        processed : int
            The same, and all tokens that were queued before.
        seconds : float
            Time since the request was sent.
        """
        if unread >= MIN_SAMPLE_TOKENS and self._uses_speeds:
            reading = seconds - BASE_MS / _MS
            self.costs.speeds.record(place.incarnation, processed, reading)

    @property
    def _uses_speeds(self) -> bool:
        return self.costs is not None and self.shares_speeds()

    def _expected_cached(self, prompt: Prompt, place: RelayTarget) -> int:
        # The same expectation as that of the choice, so that predictions and
        # samples agree on what an engine has to process.
        if prompt is self._last_prompt and place is self._last_preferred:
            return sum(part.tokens for part in prompt.shared)
        return self._cached(prompt, place)

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
            key=lambda place: rendezvous_weight(deepest, place.entry.target_id),
        )
