"""Chooses a target of a service that runs no engines.

Load pattern: short calls go to a few targets with a handful of slots each,
which reject what doesn't fit. Few slots are in use at a time, so this
router's own zone is enough until this router alone has nearly filled a
target.
"""

import random
from collections.abc import Iterable

import attrs

from balsamreach.placement.relay_targets import RelayTarget

#: Additional requests that a target in another zone is scored with.
_OTHER_ZONE_REQUESTS = 2


@attrs.define
class ServiceChooser:
    """Chooses the target with the fewest requests, preferring the own zone.

    Parameters
    ----------
    zone : str
        Zone of this router.
    rng : random.Random
        Breaks ties, so that routers don't all choose the same target.
    """

    zone: str
    rng: random.Random

    def choose(self, places: Iterable[RelayTarget]) -> RelayTarget | None:
        """Return the target to use, None if there is none."""
        candidates = tuple(places)
        if not candidates:
            return None
        return min(candidates, key=self._score)

    def _score(self, place: RelayTarget) -> float:
        extra = 0 if place.entry.zone == self.zone else _OTHER_ZONE_REQUESTS
        busy = place.busy + extra + self.rng.random()
        return busy / max(1, place.entry.slots)
