"""Bounds the rate of requests to a target while it is cold.

Load pattern: one or many targets come up empty and cold (a release, a new
target, a zone that returns). Hundreds of routers take them for idle, and all
of them send there within the tenth of a second that load reports take. A cold
target crashes above a rate that all routers share, including those that are
cut off from each other.
"""

from collections.abc import Callable, Iterable

import attrs

from balsamreach.catalogue.entries import Service
from balsamreach.clock import Clock
from balsamreach.peers.homes import weigh
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.wire.membership import Member

#: Routers that may send to one cold target. Few, so that each may send often
#: enough to be of use to it; several, so that one of them has a request.
MAX_SENDERS = 5
#: Share of the target's cold rate that they use together. Twice as many
#: routers may send to it if some don't know the same fleet.
_RATE_SHARE = 0.7
#: Seconds after its start in which a router doesn't know the fleet yet, and
#: would wrongly choose itself as one of the senders.
_DISCOVERY_S = 3.0
#: Seconds for which the list of routers is cached.
_REFRESH_S = 0.5


@attrs.define(eq=False)
class ColdTargetLimiter:
    """Decides whether this router may send to a cold target, and when.

    Of all routers ever known in the target's zone, those at the addresses
    with the highest rendezvous hash may send, each with a pause after each
    request. So the total rate is bounded without any message, whichever
    routers are cut off from each other.

    Parameters
    ----------
    address : callable
        Returns the ``ip:port`` of this router's peer listener, as other
        routers know it.
    routers : callable
        Returns all routers known, including dead ones: one that is only cut
        off still sends.
    evacuations : Evacuations
        Targets of a zone whose evacuation has just ended count as cold even
        if their entries don't say so.
    clock : Clock
        Source of the current time.
    """

    address: Callable[[], str]
    routers: Callable[[], Iterable[Member]]
    evacuations: Evacuations
    clock: Clock
    _started: float = attrs.field(init=False)
    _refreshed_at: float = float('-inf')
    _by_zone: dict[str, list[str]] = attrs.field(factory=dict)
    _sends_to: dict[str, bool] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Record the start time of this router."""
        self._started = self.clock.now()

    def allows(self, place: RelayTarget, service: Service | None) -> bool:
        """Return whether this router may send a request to a target now.

        Parameters
        ----------
        place : RelayTarget
            The target.
        service : Service or None
            Configuration of its service; None if there is none.
        """
        if service is None or service.cold_rate <= 0:
            return True
        now = self.clock.now()
        if not self._is_cold(place, service, now):
            return True
        if now - self._started < _DISCOVERY_S:
            return False
        pause = MAX_SENDERS / (service.cold_rate * _RATE_SHARE)
        return now - place.cold_sent_at >= pause and self._is_sender(place)

    def record_sent(self, place: RelayTarget) -> None:
        """Record that a request is sent to a target."""
        place.cold_sent_at = self.clock.now()

    def _is_cold(
        self, place: RelayTarget, service: Service, now: float
    ) -> bool:
        entry = place.entry
        if place.cold_version != entry.version:
            place.cold_version = entry.version
            if entry.cold_for > 0:
                place.cold_until = now + entry.cold_for
        lifted_at = self.evacuations.lifted_at(entry.zone)
        return now < max(place.cold_until, lifted_at + service.cold_time)

    def _is_sender(self, place: RelayTarget) -> bool:
        self._refresh()
        target_id = place.entry.target_id
        if target_id not in self._sends_to:
            senders = self._senders(target_id, place.entry.zone)
            self._sends_to[target_id] = self.address() in senders
        return self._sends_to[target_id]

    def _senders(self, target_id: str, zone: str) -> list[str]:
        addresses = self._by_zone.get(zone)
        if not addresses:
            all_zones = self._by_zone.values()
            addresses = [one for found in all_zones for one in found]
        return sorted(
            addresses,
            key=lambda address: weigh(target_id, address),
            reverse=True,
        )[:MAX_SENDERS]

    def _refresh(self) -> None:
        now = self.clock.now()
        if now - self._refreshed_at < _REFRESH_S:
            return
        self._refreshed_at = now
        self._sends_to.clear()
        zones: dict[str, set[str]] = {}
        for router in self.routers():
            zones.setdefault(router.zone, set()).add(router.address)
        self._by_zone = {zone: sorted(found) for zone, found in zones.items()}
