"""Chooses a target of a plain service.

Load pattern: short calls at a few targets with a handful of slots each that
refuse what doesn't fit. Few are in use at a time, so the own zone will do
until this router alone has about filled a target.
"""

import random
from collections.abc import Iterable

import attrs

from balsamreach.placement.places import Place

#: Requests in another zone's target cost as much as this many more here.
_ZONE_REQUESTS = 2


@attrs.define
class ServiceChooser:
    """Takes the target with the fewest requests, the own zone first.

    Parameters
    ----------
    zone : str
        Zone of this router.
    rng : random.Random
        Chooses among equals, so that routers don't all choose the same.
    """

    zone: str
    rng: random.Random

    def choose(self, places: Iterable[Place]) -> Place | None:
        """Return the target to use, None if there is none."""
        candidates = tuple(places)
        if not candidates:
            return None
        return min(candidates, key=self._score)

    def _score(self, place: Place) -> float:
        away = 0 if place.entry.zone == self.zone else _ZONE_REQUESTS
        busy = place.busy + away + self.rng.random()
        return busy / max(1, place.entry.slots)
