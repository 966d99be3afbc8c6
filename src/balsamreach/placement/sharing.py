"""Shares this router's load at each engine with the other routers.

Load pattern: prompts arrive in bursts, through all routers at once. Each
router sees an eighth of what is queued at an engine, and a report of the
engine itself is older than the burst. Without sharing, all routers would send
to the same idle engine.
"""

from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.relay_targets import RelayTarget, RelayTargets
from balsamreach.placement.zone_loads import ZoneLoads
from balsamreach.wire.loads import TargetLoad, TargetLoads
from balsamreach.wire.membership import Member

#: Seconds after which a peer's load is ignored: the peer was cut off, or died.
_STALE_S = 1.0
#: Seconds between two reports to the peers.
_INTERVAL_S = 0.15
#: Change of an engine's queue, in prompt tokens, that is reported. An engine
#: processes as many in 20 ms, which makes no difference to a choice.
_TOKENS_STEP = 2000
#: Change of the number of running requests that is reported.
_RUNNING_STEP = 3
#: Prompt tokens of one request that are reported at once. An engine processes
#: as many in 40 ms, in which other routers would send to it.
_URGENT_TOKENS = 4000
#: Seconds between two urgent reports, for each neighbour that gets them, so
#: that they stay below 6 KB a second; one engine takes about 60 bytes.
_URGENT_INTERVAL_S = 0.01


@attrs.frozen
class _Load:
    """The load at one engine, as one router reported it."""

    running: int
    unread: int
    time: float


_NO_LOAD = _Load(0, 0, 0)


@attrs.define(eq=False)
class LoadSharing:
    """Exchanges loads at engines with the other routers.

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
    zone_loads: ZoneLoads = attrs.field(init=False)
    _urgent_after: float = 0
    _sent: dict[str, _Load] = attrs.field(factory=dict)
    _received: dict[str, dict[str, _Load]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the exchange through hubs that large fleets use."""
        self.zone_loads = ZoneLoads(self.net, self.places, self.clock)

    def start(self) -> None:
        """Begin to receive the reports of peers."""
        self.net.on(TargetLoads, self._receive)
        self.zone_loads.start()

    async def run(self) -> None:
        """Report changes and add up received loads, until cancelled."""
        while True:
            await self.clock.sleep(_INTERVAL_S)
            self.run_round()

    def run_round(self) -> None:
        """Report changes and add up received loads once."""
        if self._has_hubs():
            self.zone_loads.run_round()
        else:
            self.report_changes()
            self.add_up()

    def report_changes(self) -> None:
        """Report engines whose load has changed to the neighbours."""
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
            self._sent[load.target] = _Load(load.running, load.queued, now)
        self.net.spread(TargetLoads(loads))

    def on_request_sent(self, unread: int) -> None:
        """Record that a request was just sent, and report it if it is long.

        A long prompt occupies its engine for much of the time that other
        requests have for their first event, and bursts arrive through all
        routers within milliseconds. Reported only in the next round, it would
        cause late first events at one engine while others are idle.

        Parameters
        ----------
        unread : int
            Tokens of its prompt that the engine has to process.
        """
        now = self.clock.now()
        if unread < _URGENT_TOKENS or now < self._urgent_after:
            return
        if self._has_hubs():
            self._urgent_after = now + _URGENT_INTERVAL_S
            self.zone_loads.report_to_hub()
            return
        pause = _URGENT_INTERVAL_S * len(self.net.neighbours())
        self._urgent_after = now + pause
        self.report_changes()

    def add_up(self) -> None:
        """Update all targets with the recent loads of peers."""
        self._add_up(self.places)

    def _has_hubs(self) -> bool:
        return bool(self.net.hubs.of(self.net.me.zone))

    def _add_up(self, places: Iterable[RelayTarget]) -> None:
        oldest = self.clock.now() - _STALE_S
        share = self._neighbours_share()
        for place in places:
            loads = [
                by_target[place.incarnation]
                for by_target in self._received.values()
                if place.incarnation in by_target
            ]
            fresh = [load for load in loads if load.time >= oldest]
            running = sum(load.running for load in fresh)
            unread = sum(load.unread for load in fresh)
            place.others_running = int(running / share)
            place.others_unread = int(unread / share)

    def _neighbours_share(self) -> float:
        # In a large fleet a router gets reports of its neighbours only; their
        # loads are scaled up to stand for the other routers as well.
        others = len(self.net.members()) - 1
        neighbours = len(self.net.neighbours())
        if not others or not neighbours:
            return 1
        return min(1, neighbours / others)

    def _has_changed(self, place: RelayTarget) -> bool:
        sent = self._sent.get(place.incarnation, _NO_LOAD)
        # An engine without requests is always reported, or its last load
        # would count until it is stale.
        if not place.running:
            return sent.running > 0
        # A load that is about to be stale has to be reported again.
        if self.clock.now() - sent.time > _STALE_S / 2:
            sent = _NO_LOAD
        more_running = abs(place.running - sent.running) >= _RUNNING_STEP
        more_unread = abs(place.unread - sent.unread) >= _TOKENS_STEP
        return more_running or more_unread

    async def _receive(self, member: Member, message: TargetLoads) -> None:
        now = self.clock.now()
        by_target = self._received.setdefault(member.incarnation, {})
        for load in message.loads:
            by_target[load.target] = _Load(load.running, load.queued, now)
        reported = (
            self.places.find_incarnation(one.target) for one in message.loads
        )
        self._add_up(filter(None, reported))
        alive = {peer.incarnation for peer in self.net.members()}
        for gone in set(self._received) - alive:
            self._received.pop(gone)
