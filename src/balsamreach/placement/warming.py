"""Bounds what a target gets while it is cold.

Load pattern: one or many targets come up empty and cold (a release, a new
target, a zone that returns) before hundreds of routers, each of which holds
them for idle and all of which send there within the tenth of a second that
words on loads take. A cold target crashes above a rate that all routers
share, also those that don't hear of each other.
"""

from collections.abc import Callable, Iterable

import attrs

from balsamreach.catalogue.entries import Service
from balsamreach.clock import Clock
from balsamreach.peers.homes import weigh
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.places import Place
from balsamreach.wire.membership import Member

#: Routers that may send to one cold target. Few, so that each may send often
#: enough to be of use to it; several, so that one of them has a request.
SHARERS = 5
#: Part of the bearable rate that they use together. Twice as many routers may
#: send there where some don't know the same fleet.
_RATE_SHARE = 0.7
#: Seconds after its start in which a router doesn't know the fleet yet, and
#: would take itself for one of few.
_UNKNOWN_S = 3.0
#: Seconds between two looks at the list of routers.
_LOOK_EVERY_S = 0.5


@attrs.define(eq=False)
class Warming:
    """Chooses by hashing which routers may send to a cold target, and when.

    Of the routers that the target's zone ever had, those on the addresses of
    the greatest weight may, each with a pause after each request. So the sum
    is bounded without a message, whatever is cut off from whatever.

    Parameters
    ----------
    address : str
        ``ip:port`` of this router's peers' listener, as others know it.
    routers : callable
        Returns all routers known, dead ones too: one that is only cut off
        still sends.
    evacuations : Evacuations
        Targets of a zone whose evacuation is lifted are cold without having
        said so.
    clock : Clock
        Time.
    """

    address: Callable[[], str]
    routers: Callable[[], Iterable[Member]]
    evacuations: Evacuations
    clock: Clock
    _started: float = attrs.field(init=False)
    _looked_at: float = float('-inf')
    _by_zone: dict[str, list[str]] = attrs.field(factory=dict)
    _mine: dict[str, bool] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Count this router's age from now."""
        self._started = self.clock.now()

    def allows(self, place: Place, service: Service | None) -> bool:
        """Return whether this router may send a request there now.

        Parameters
        ----------
        place : Place
            The target.
        service : Service or None
            What the configuration says of it; None where it says nothing.
        """
        if service is None or service.cold_rate <= 0:
            return True
        now = self.clock.now()
        if not self._is_cold(place, service, now):
            return True
        if now - self._started < _UNKNOWN_S:
            return False
        pause = SHARERS / (service.cold_rate * _RATE_SHARE)
        return now - place.cold_sent_at >= pause and self._is_sharer(place)

    def sent(self, place: Place) -> None:
        """Take note that a request goes to a target."""
        place.cold_sent_at = self.clock.now()

    def _is_cold(self, place: Place, service: Service, now: float) -> bool:
        entry = place.entry
        if place.cold_version != entry.version:
            place.cold_version = entry.version
            if entry.cold_for > 0:
                place.cold_until = now + entry.cold_for
        lifted_at = self.evacuations.lifted_at(entry.zone)
        return now < max(place.cold_until, lifted_at + service.cold_time)

    def _is_sharer(self, place: Place) -> bool:
        self._look()
        target_id = place.entry.target_id
        if target_id not in self._mine:
            sharers = self._sharers(target_id, place.entry.zone)
            self._mine[target_id] = self.address() in sharers
        return self._mine[target_id]

    def _sharers(self, target_id: str, zone: str) -> list[str]:
        addresses = self._by_zone.get(zone)
        if not addresses:
            everywhere = self._by_zone.values()
            addresses = [one for some in everywhere for one in some]
        return sorted(
            addresses,
            key=lambda address: weigh(target_id, address),
            reverse=True,
        )[:SHARERS]

    def _look(self) -> None:
        now = self.clock.now()
        if now - self._looked_at < _LOOK_EVERY_S:
            return
        self._looked_at = now
        self._mine.clear()
        zones: dict[str, set[str]] = {}
        for router in self.routers():
            zones.setdefault(router.zone, set()).add(router.address)
        self._by_zone = {zone: sorted(found) for zone, found in zones.items()}
