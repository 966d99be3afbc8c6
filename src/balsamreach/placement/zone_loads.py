"""Loads at engines, added up by one router of each zone.

Load pattern: hundreds of routers with one or two requests a second each send
to scores of engines. The few neighbours of a router show it next to nothing
of an engine's load; reports of every router to every other would cost more
than the requests, and grow with the square of the fleet. So each router
reports to the first hub of its zone. That hub reports its zone's loads to the
first hubs of the other zones, and the whole fleet's loads to the routers of
its zone.
"""

from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.peer_loads import (
    NO_LOAD,
    STALE_S,
    Load,
    ReceivedLoads,
    SentLoads,
    Threshold,
    read_loads,
)
from balsamreach.placement.relay_targets import RelayTarget, RelayTargets
from balsamreach.wire.loads import LoadWords
from balsamreach.wire.membership import Member

#: Scopes of messages: the loads of one router, of a zone, of the whole fleet.
ROUTER = 'router'
ZONE = 'zone'
FLEET = 'fleet'

#: A router has few requests at an engine, and each of them counts in the sums.
_ROUTER_THRESHOLD = Threshold(running=1, unread=1)
_ZONE_THRESHOLD = Threshold(running=1, unread=1000)
#: The smallest change of the fleet's load that matters for a choice: an
#: engine processes as many tokens in 20 ms.
_FLEET_THRESHOLD = Threshold(running=2, unread=2000)
#: Minimum seconds between two messages of a hub. An engine processes the mean
#: long prompt in that time, and each router of the zone reads every message.
_MIN_INTERVAL_S = 0.1
#: Prompt tokens of one target that a hub reports before its next round.
_URGENT_TOKENS = 4000
#: Targets whose loads are kept before stale loads are dropped.
_MAX_TARGETS = 5000


@attrs.define(eq=False)
class ZoneLoads:
    """Sends and receives the load reports of one router, hub or not.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    places : RelayTargets
        The targets.
    clock : Clock
        Source of the current time.
    """

    net: PeerNet
    places: RelayTargets
    clock: Clock
    _sent_router: SentLoads = attrs.field(
        factory=lambda: SentLoads(ROUTER, _ROUTER_THRESHOLD),
    )
    _sent_zone: SentLoads = attrs.field(
        factory=lambda: SentLoads(ZONE, _ZONE_THRESHOLD),
    )
    _sent_fleet: SentLoads = attrs.field(
        factory=lambda: SentLoads(FLEET, _FLEET_THRESHOLD),
    )
    _from_routers: ReceivedLoads = attrs.field(factory=ReceivedLoads)
    _from_zones: ReceivedLoads = attrs.field(factory=ReceivedLoads)
    _fleet: dict[str, Load] = attrs.field(factory=dict)
    _sent_at: float = float('-inf')

    def start(self) -> None:
        """Begin to receive the reports of other routers."""
        self.net.on(LoadWords, self._receive)

    def run_round(self) -> None:
        """Report changed loads; a hub adds them up and reports the sums."""
        hub = self._hub()
        if hub is None:
            return
        if hub.incarnation != self.net.me.incarnation:
            self.report_to_hub()
            self._update_places(filter(_has_others, self.places))
        elif self.clock.now() - self._sent_at >= _MIN_INTERVAL_S:
            self._sent_at = self.clock.now()
            self._add_up()
            self._update_places(self.places)

    def report_to_hub(self) -> None:
        """Report the load of this router's own requests to the hub."""
        hub = self._hub()
        if hub is None or hub.incarnation == self.net.me.incarnation:
            return
        message = self._sent_router.changes(self._own(), self.clock.now())
        if message is not None:
            self.net.tell(hub.incarnation, message)

    def _hub(self) -> Member | None:
        hubs = self.net.hubs.of(self.net.me.zone)
        return hubs[0] if hubs else None

    def _own(self) -> list[tuple[str, Load]]:
        # Of scores of engines a router has requests at a few.
        return [
            (place.incarnation, Load(place.running, place.unread))
            for place in self.places
            if place.running
            or self._sent_router.last(place.incarnation).running
        ]

    def _add_up(self) -> None:
        now = self.clock.now()
        own = self._own()
        sums = {target: load for target, load in own if load.running}
        self._from_routers.add_to(sums, now)
        self._report_to_hubs(sums, now)
        self._from_zones.add_to(sums, now)
        self._fleet = {
            target: Load(load.running, load.unread, now)
            for target, load in sums.items()
        }
        # The hub's own loads are part of the sums, like those of the others.
        self._sent_router.changes(own, now)
        self._report_to_zone(sums, now)

    def _report_to_hubs(self, sums: dict[str, Load], now: float) -> None:
        message = self._sent_zone.changes(self._listed(sums), now)
        if message is None:
            return
        for zone in self.net.hubs.zones():
            hubs = self.net.hubs.of(zone)
            if hubs and zone != self.net.me.zone:
                self.net.tell(hubs[0].incarnation, message)

    def _report_to_zone(self, sums: dict[str, Load], now: float) -> None:
        message = self._sent_fleet.changes(self._listed(sums), now)
        if message is not None:
            self.net.tell_zone(message)

    def _listed(self, sums: dict[str, Load]) -> list[tuple[str, Load]]:
        return [
            (place.incarnation, sums.get(place.incarnation, NO_LOAD))
            for place in self.places
        ]

    async def _receive(self, member: Member, message: LoadWords) -> None:
        now = self.clock.now()
        if message.scope == ROUTER:
            self._from_routers.receive(member.incarnation, message, now)
            self._report_if_urgent(message, now)
        elif message.scope == ZONE:
            self._from_zones.receive(member.zone, message, now)
        else:
            self._receive_fleet(message, now)

    def _report_if_urgent(self, message: LoadWords, now: float) -> None:
        # A long prompt occupies its engine for much of the time that other
        # requests have for their first event. Reported only in the next
        # round, it would cause late first events at one engine while others
        # are idle.
        urgent = max(message.unread, default=0) >= _URGENT_TOKENS
        if urgent and now - self._sent_at >= _MIN_INTERVAL_S:
            self.run_round()

    def _receive_fleet(self, message: LoadWords, now: float) -> None:
        self._fleet.update(read_loads(message, now))
        reported = map(self.places.find_incarnation, message.targets)
        self._update_places(place for place in reported if place is not None)

    def _update_places(self, places: Iterable[RelayTarget]) -> None:
        oldest = self.clock.now() - STALE_S
        if len(self._fleet) > _MAX_TARGETS:
            self._fleet = {
                target: load
                for target, load in self._fleet.items()
                if load.time >= oldest
            }
        for place in places:
            load = self._fleet.get(place.incarnation, NO_LOAD)
            own = self._sent_router.last(place.incarnation)
            if load.time < oldest:
                load = own
            place.others_running = max(0, load.running - own.running)
            place.others_unread = max(0, load.unread - own.unread)


def _has_others(place: RelayTarget) -> bool:
    return bool(place.others_running or place.others_unread)
