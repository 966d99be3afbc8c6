"""Bounds what routers send to targets that crash if they reject too much.

Load pattern: targets say that they fall over if they have to reject more than
a few requests in a second. Each router knows only its own rejections, so it
keeps to its share of what the target can take and of what it may reject.
"""

from collections.abc import Callable, Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.relay_targets import RelayTarget

#: Seconds after the last answer that says so in which a service is brittle.
#: All answers of its targets say it while it lasts.
_BRITTLE_S = 2.0
#: Share of the allowed rejections that routers use together. Routers that
#: started just now, or can't be seen, send requests as well.
_REJECTION_SHARE = 0.5
#: Maximum seconds without requests after a rejection, as the state ends.
_MAX_REST_S = 5.0
#: Share of a target's slots in use, as far as known, up to which the own
#: share of the slots doesn't bind.
_FREE_SHARE = 0.5


def _one() -> int:
    """Return 1, until the number of routers is known."""
    return 1


@attrs.frozen
class _Brittle:
    """What the targets of a service have said last."""

    max_rejections: int
    until: float


@attrs.define(eq=False)
class BrittleServices:
    """The services whose targets fall over if they reject too much.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    routers : callable
        Returns the number of routers that send requests.
    """

    clock: Clock
    routers: Callable[[], int] = _one
    _services: dict[str, _Brittle] = attrs.field(factory=dict)

    def record(self, service: str, max_rejections: int) -> None:
        """Record that an answer says that its target is brittle.

        Parameters
        ----------
        service : str
            Service of the target.
        max_rejections : int
            Rejections in a second beyond which it falls over.
        """
        until = self.clock.now() + _BRITTLE_S
        self._services[service] = _Brittle(max_rejections, until)

    def is_brittle(self, service: str) -> bool:
        """Return whether targets of a service have said of late that it is."""
        return self._find(service) is not None

    def with_room(
        self, service: str, places: Iterable[RelayTarget]
    ) -> Iterable[RelayTarget]:
        """Return the targets of a service that may get one more request."""
        if self.is_brittle(service):
            return filter(self._has_room, places)
        return places

    def rest(self, service: str) -> float:
        """Return the seconds without requests after a rejection, or 0.

        All routers together then cause fewer rejections than the targets
        bear.
        """
        brittle = self._find(service)
        if brittle is None:
            return 0
        allowed = max(1, brittle.max_rejections) * _REJECTION_SHARE
        return min(_MAX_REST_S, self.routers() / allowed)

    def _has_room(self, place: RelayTarget) -> bool:
        slots = place.entry.slots
        if place.busy < slots * _FREE_SHARE:
            return True
        return place.running < max(1, slots // max(1, self.routers()))

    def _find(self, service: str) -> _Brittle | None:
        brittle = self._services.get(service)
        if brittle is None or brittle.until <= self.clock.now():
            return None
        return brittle
