"""Bounds what routers send to targets that crash if they reject too much.

Load pattern: targets say that they fall over if they have to reject more than
a few requests in a second. Each router knows only its own rejections, so it
keeps to its share of what the target can take and of what it may reject. Beyond
half of its slots, a target gets requests of no more routers than it may reject.
"""

from collections.abc import Callable, Iterable
from functools import partial

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.placement.relay_targets import RelayTarget

#: Seconds after the last answer that says so in which a service is brittle.
#: All answers of its targets say it while it lasts.
_BRITTLE_S = 2.0
#: Share of the allowed rejections that routers use together. Routers that
#: started just now, or can't be seen, send requests as well.
_REJECTION_SHARE = 0.5
#: Maximum seconds without requests after a rejection, as the state ends.
_MAX_REST_S = 5.0
#: Share of a target's slots in use, as far as known, up to which every router
#: may send to it.
_FREE_SHARE = 0.5


def _alone() -> tuple[str, ...]:
    """Return no other router, until some are known."""
    return ()


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
    me : str
        Incarnation of this router.
    routers : callable
        Returns the incarnations of all routers that send requests.
    """

    clock: Clock
    me: str = ''
    routers: Callable[[], tuple[str, ...]] = _alone
    _services: dict[str, _Brittle] = attrs.field(factory=dict)
    _known_routers: tuple[str, ...] = ()
    _sends_to: dict[tuple[str, int], bool] = attrs.field(factory=dict)

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
        brittle = self._find(service)
        if brittle is None:
            return places
        routers = self.routers()
        if routers != self._known_routers:
            self._known_routers = routers
            self._sends_to.clear()
        return filter(partial(self._has_room, brittle), places)

    def rest(self, service: str) -> float:
        """Return the seconds without requests after a rejection, or 0.

        All routers together then cause fewer rejections than the targets
        bear.
        """
        brittle = self._find(service)
        if brittle is None:
            return 0
        allowed = max(1, brittle.max_rejections) * _REJECTION_SHARE
        return min(_MAX_REST_S, max(1, len(self.routers())) / allowed)

    def _has_room(self, brittle: _Brittle, place: RelayTarget) -> bool:
        slots = place.entry.slots
        routers = max(1, len(self._known_routers))
        if place.busy < slots * _FREE_SHARE:
            # What is known of others is some tenths of a second old, in which
            # a burst through all routers fills the target.
            return place.running < max(1, slots // routers)
        # One request of each sender may be rejected before any of them knows.
        senders = max(1, int(brittle.max_rejections * _REJECTION_SHARE))
        senders = min(senders, routers)
        share = max(1, slots // senders)
        return place.running < share and self._is_sender(place, senders)

    def _is_sender(self, place: RelayTarget, senders: int) -> bool:
        """Return whether this router is one of those that fill a target."""
        key = place.incarnation, senders
        if key not in self._sends_to:
            ranked = sorted(
                self._known_routers,
                key=lambda router: rendezvous_weight(place.incarnation, router),
                reverse=True,
            )
            is_sender = not ranked or self.me in ranked[:senders]
            self._sends_to[key] = is_sender
        return self._sends_to[key]

    def _find(self, service: str) -> _Brittle | None:
        brittle = self._services.get(service)
        if brittle is None or brittle.until <= self.clock.now():
            return None
        return brittle
