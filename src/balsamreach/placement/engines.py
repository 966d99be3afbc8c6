"""Chooses the engine that serves a request soonest at the least cost.

Load pattern: prompts of thousands of tokens of which most are shared with
others (a document, a booking), arriving in clumps, at a few engines whose
memory holds all shared parts together once but not on each engine.
"""

from collections.abc import Iterable

import attrs

from balsamreach.peers.homes import weigh
from balsamreach.placement.places import Place
from balsamreach.placement.prompts import CacheMemory, Prompt

#: Prompt tokens that an engine of the usual speed reads in a millisecond.
#: Source: the users' sheets; only ratios of scores matter.
READ_PER_MS = 100
#: Milliseconds of waiting that one shared token read again is worth to
#: avoid. Reading again is paid for beside its time, about five times as dear
#: as that by the users' prices.
REREAD_MS = 0.05
#: Milliseconds of waiting that one running request is worth to avoid: each
#: makes every step of the others a little longer.
RUNNING_MS = 1
#: Milliseconds of waiting that a request is sent into another zone for.
ZONE_MS = 4


@attrs.define
class EngineChooser:
    """Scores engines for a request by the wait that each would mean.

    Parameters
    ----------
    zone : str
        Zone of this router.
    """

    zone: str

    def choose(
        self,
        prompt: Prompt,
        places: Iterable[Place],
    ) -> Place | None:
        """Return the engine with the least score, None if there is none.

        Parameters
        ----------
        prompt : Prompt
            What is to be read.
        places : iterable of Place
            Engines that may be used.
        """
        candidates = tuple(places)
        if not candidates:
            return None
        home = self._home(prompt, candidates)
        return min(
            candidates,
            key=lambda place: self.score(prompt, place, place is home),
        )

    def score(self, prompt: Prompt, place: Place, is_home: bool) -> float:
        """Return milliseconds of waiting, and costs in the same measure."""
        shared = sum(part.tokens for part in prompt.shared)
        held = shared if is_home else self._held(prompt, place)
        to_read = place.queued + prompt.tokens - held
        wait = to_read / READ_PER_MS + place.busy * RUNNING_MS
        wait += (shared - held) * REREAD_MS
        if place.entry.zone != self.zone:
            wait += ZONE_MS
        return wait

    def note(self, prompt: Prompt, place: Place, capacity: int) -> None:
        """Take note that a request was sent to an engine."""
        if place.cache is None:
            place.cache = CacheMemory(capacity)
        place.cache.note(prompt.shared)

    def _held(self, prompt: Prompt, place: Place) -> int:
        if place.cache is None:
            return 0
        return place.cache.held(prompt.shared)

    def _home(
        self,
        prompt: Prompt,
        candidates: tuple[Place, ...],
    ) -> Place | None:
        if not prompt.shared:
            return None
        # Rendezvous hashing: routers that know the same engines agree on the
        # home without a message, and one that goes moves only its own parts.
        # One that starts again under its id moves none.
        deepest = prompt.shared[-1].part_id
        return max(
            candidates,
            key=lambda place: weigh(deepest, place.entry.target_id),
        )
