"""Loads at engines, summed up by one router of each zone.

Load pattern: hundreds of routers with one or two requests a second each, at
scores of engines. What a router hears of its few neighbours says next to
nothing of an engine; told by each to each, the words would cost more than the
requests, and grow with the square of the fleet. So each router tells the
first hub of its zone, which tells the first hubs of the others what its zone
has, and the routers of its zone what all have.
"""

from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.places import Place, Places
from balsamreach.placement.words import (
    NOTHING,
    STALE_S,
    Grain,
    Heard,
    Told,
    Word,
    read_words,
)
from balsamreach.wire.loads import LoadWords
from balsamreach.wire.membership import Member

OWN = 'router'
ZONE = 'zone'
FLEET = 'fleet'

#: A router has few requests at an engine; each of them counts in the sums.
_OWN_GRAIN = Grain(running=1, unread=1)
_ZONE_GRAIN = Grain(running=1, unread=1000)
#: Of what all routers have, what makes a difference to a choice: an engine
#: reads so many tokens in 20 ms.
_FLEET_GRAIN = Grain(running=2, unread=2000)
#: Seconds between two words of a hub at least. Source: an engine reads the
#: prompt of the mean long request in that time, and each router of the zone
#: reads every word.
_LEAST_PAUSE_S = 0.1
#: Prompt tokens that a hub passes on before its next round.
_URGENT_TOKENS = 4000
#: Targets of which words are kept before those that are stale are dropped.
_MOST_TARGETS = 5000


@attrs.define(eq=False)
class ZoneLoads:
    """Tells and takes the words of one router, whether a hub or not.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    places : Places
        The targets.
    clock : Clock
        Time.
    """

    net: PeerNet
    places: Places
    clock: Clock
    _own: Told = attrs.field(factory=lambda: Told(OWN, _OWN_GRAIN))
    _zone: Told = attrs.field(factory=lambda: Told(ZONE, _ZONE_GRAIN))
    _fleet: Told = attrs.field(factory=lambda: Told(FLEET, _FLEET_GRAIN))
    _routers: Heard = attrs.field(factory=Heard)
    _zones: Heard = attrs.field(factory=Heard)
    _all: dict[str, Word] = attrs.field(factory=dict)
    _told_at: float = float('-inf')

    def start(self) -> None:
        """Take the words of others from now on."""
        self.net.on(LoadWords, self._take)

    def round(self) -> None:
        """Tell what has changed; a hub sums up and tells its zone."""
        hub = self._hub()
        if hub is None:
            return
        if hub.incarnation != self.net.me.incarnation:
            self.tell_hub()
            self._count_in(filter(_has_others, self.places))
        elif self.clock.now() - self._told_at >= _LEAST_PAUSE_S:
            self._told_at = self.clock.now()
            self._sum_up()
            self._count_in(self.places)

    def tell_hub(self) -> None:
        """Tell the hub of this router's own requests."""
        hub = self._hub()
        if hub is None or hub.incarnation == self.net.me.incarnation:
            return
        news = self._own.news(self._mine(), self.clock.now())
        if news is not None:
            self.net.tell(hub.incarnation, news)

    def _hub(self) -> Member | None:
        hubs = self.net.hubs.of(self.net.me.zone)
        return hubs[0] if hubs else None

    def _mine(self) -> list[tuple[str, Word]]:
        # Of scores of engines a router has requests at a few.
        return [
            (place.incarnation, Word(place.running, place.unread))
            for place in self.places
            if place.running or self._own.of(place.incarnation).running
        ]

    def _sum_up(self) -> None:
        now = self.clock.now()
        mine = self._mine()
        sums = {target: load for target, load in mine if load.running}
        self._routers.add_to(sums, now)
        self._tell_hubs(sums, now)
        self._zones.add_to(sums, now)
        self._all = {
            target: Word(load.running, load.unread, now)
            for target, load in sums.items()
        }
        # What the hub itself has is in the sums like what others have.
        self._own.news(mine, now)
        self._tell_zone(sums, now)

    def _tell_hubs(self, sums: dict[str, Word], now: float) -> None:
        news = self._zone.news(self._known(sums), now)
        if news is None:
            return
        for zone in self.net.hubs.zones():
            hubs = self.net.hubs.of(zone)
            if hubs and zone != self.net.me.zone:
                self.net.tell(hubs[0].incarnation, news)

    def _tell_zone(self, sums: dict[str, Word], now: float) -> None:
        news = self._fleet.news(self._known(sums), now)
        if news is not None:
            self.net.tell_zone(news)

    def _known(self, sums: dict[str, Word]) -> list[tuple[str, Word]]:
        return [
            (place.incarnation, sums.get(place.incarnation, NOTHING))
            for place in self.places
        ]

    async def _take(self, member: Member, message: LoadWords) -> None:
        now = self.clock.now()
        if message.scope == OWN:
            self._routers.take(member.incarnation, message, now)
            self._hurry(message, now)
        elif message.scope == ZONE:
            self._zones.take(member.zone, message, now)
        else:
            self._take_all(message, now)

    def _hurry(self, message: LoadWords, now: float) -> None:
        # A long prompt keeps its engine busy for a good part of the time
        # that others have for their first event. Told with the next round it
        # would show as late first events at one engine while others idle.
        urgent = max(message.unread, default=0) >= _URGENT_TOKENS
        if urgent and now - self._told_at >= _LEAST_PAUSE_S:
            self.round()

    def _take_all(self, message: LoadWords, now: float) -> None:
        self._all.update(read_words(message, now))
        told = map(self.places.find_start, message.targets)
        self._count_in(place for place in told if place is not None)

    def _count_in(self, places: Iterable[Place]) -> None:
        oldest = self.clock.now() - STALE_S
        if len(self._all) > _MOST_TARGETS:
            self._all = {
                target: word
                for target, word in self._all.items()
                if word.at >= oldest
            }
        for place in places:
            word = self._all.get(place.incarnation, NOTHING)
            own = self._own.of(place.incarnation)
            if word.at < oldest:
                word = own
            place.others_running = max(0, word.running - own.running)
            place.others_unread = max(0, word.unread - own.unread)


def _has_others(place: Place) -> bool:
    return bool(place.others_running or place.others_unread)
