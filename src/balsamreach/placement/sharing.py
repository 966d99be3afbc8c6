"""Tells other routers what this one has at each engine, and takes theirs.

Load pattern: prompts come in clumps, through all routers at once. Each sees
an eighth of what waits at an engine, and a report of the engine's own is
older than the clump. Without this all send to the same idle engine.
"""

from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.places import Place, Places
from balsamreach.placement.zone_loads import ZoneLoads
from balsamreach.wire.loads import TargetLoad, TargetLoads
from balsamreach.wire.membership import Member

#: Seconds after which a peer's word counts no more: it was cut off, or died.
_STALE_S = 1.0
#: Seconds between two words to the peers.
_EVERY_S = 0.15
#: Prompt tokens by which an engine's queue must change to be told of. Source:
#: an engine reads as many in 20 ms, which makes no difference to a choice.
_TOLD_TOKENS = 2000
#: Running requests by which it must change.
_TOLD_RUNNING = 3
#: Prompt tokens of one request that are told of at once. Source: an engine
#: reads as many in 40 ms, in which others would send to it.
_URGENT_TOKENS = 4000
#: Seconds between two urgent words for each neighbour that hears them, so
#: that they stay below 6 KB a second; a word of one engine has some 60 bytes.
_URGENT_EVERY_S = 0.01


@attrs.frozen
class _Word:
    """What one peer said of one engine."""

    running: int
    unread: int
    at: float


_NOTHING = _Word(0, 0, 0)


@attrs.define(eq=False)
class LoadSharing:
    """Exchanges counts with the peers.

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
    zone_loads: ZoneLoads = attrs.field(init=False)
    _urgent_after: float = 0
    _told: dict[str, _Word] = attrs.field(factory=dict)
    _words: dict[str, dict[str, _Word]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Make what large fleets use."""
        self.zone_loads = ZoneLoads(self.net, self.places, self.clock)

    def start(self) -> None:
        """Take the words of peers from now on."""
        self.net.on(TargetLoads, self._take)
        self.zone_loads.start()

    async def run(self) -> None:
        """Tell what changed and sum up what was told, until cancelled."""
        while True:
            await self.clock.sleep(_EVERY_S)
            self.round()

    def round(self) -> None:
        """Tell what changed and sum up what was told."""
        if self._has_hubs():
            self.zone_loads.round()
        else:
            self.tell()
            self.sum_up()

    def tell(self) -> None:
        """Tell the neighbours of engines whose load has changed."""
        loads = tuple(
            TargetLoad(
                place.incarnation,
                place.incarnation,
                running=place.running,
                queued=place.unread,
            )
            for place in self.places
            if self._has_changed(place)
        )
        if not loads:
            return
        now = self.clock.now()
        for load in loads:
            self._told[load.target] = _Word(load.running, load.queued, now)
        self.net.spread(TargetLoads(loads))

    def sent(self, unread: int) -> None:
        """Take note that a request has just been sent to an engine.

        A long prompt keeps its engine busy for a good part of the time that
        others have for their first event. Told with the next round, it would
        be too late: clumps come through all routers within milliseconds, and
        would show as late first events on one engine while others idle.

        Parameters
        ----------
        unread : int
            Tokens of its prompt that the engine has to read.
        """
        now = self.clock.now()
        if unread < _URGENT_TOKENS or now < self._urgent_after:
            return
        if self._has_hubs():
            self._urgent_after = now + _URGENT_EVERY_S
            self.zone_loads.tell_hub()
            return
        pause = _URGENT_EVERY_S * len(self.net.neighbours())
        self._urgent_after = now + pause
        self.tell()

    def sum_up(self) -> None:
        """Count in what peers said lately."""
        self._sum_up(self.places)

    def _has_hubs(self) -> bool:
        return bool(self.net.hubs.of(self.net.me.zone))

    def _sum_up(self, places: Iterable[Place]) -> None:
        oldest = self.clock.now() - _STALE_S
        share = self._heard_share()
        for place in places:
            words = [
                said[place.incarnation]
                for said in self._words.values()
                if place.incarnation in said
            ]
            fresh = [word for word in words if word.at >= oldest]
            running = sum(word.running for word in fresh)
            unread = sum(word.unread for word in fresh)
            place.others_running = int(running / share)
            place.others_unread = int(unread / share)

    def _heard_share(self) -> float:
        # In a large fleet a router hears of its neighbours alone; what they
        # have stands for the others as well.
        others = len(self.net.members()) - 1
        heard = len(self.net.neighbours())
        if not others or not heard:
            return 1
        return min(1, heard / others)

    def _has_changed(self, place: Place) -> bool:
        told = self._told.get(place.incarnation, _NOTHING)
        # That an engine has nothing left is always told: the last word would
        # stand until it is stale.
        if not place.running:
            return told.running > 0
        # A word that is about to be stale is as good as none.
        if self.clock.now() - told.at > _STALE_S / 2:
            told = _NOTHING
        more_running = abs(place.running - told.running) >= _TOLD_RUNNING
        more_unread = abs(place.unread - told.unread) >= _TOLD_TOKENS
        return more_running or more_unread

    async def _take(self, member: Member, message: TargetLoads) -> None:
        now = self.clock.now()
        said = self._words.setdefault(member.incarnation, {})
        for load in message.loads:
            said[load.target] = _Word(load.running, load.queued, now)
        told = (self.places.find_start(word.target) for word in message.loads)
        self._sum_up(filter(None, told))
        alive = {peer.incarnation for peer in self.net.members()}
        for gone in set(self._words) - alive:
            self._words.pop(gone)
