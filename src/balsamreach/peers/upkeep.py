"""What a router does for its net at every heartbeat."""

import asyncio
import random

import attrs

from balsamreach.config.settings import PeersSettings
from balsamreach.peers import counters
from balsamreach.peers.discovery import Discovery
from balsamreach.peers.faults import PeerFault
from balsamreach.peers.keeper import Keeper
from balsamreach.peers.link import Link
from balsamreach.peers.neighbours import Rings
from balsamreach.wire.membership import Member

#: Seconds between two comparisons with some neighbour.
COMPARE_EVERY = 10
#: Seconds between two tries of an address where nobody is known to live.
PROBE_EVERY = 10
#: Seconds between two reads of the host list while links stand.
LIST_EVERY = 30
#: Seconds after which an unwanted link without traffic is given up. Each costs
#: four heartbeats a second, and a start opens as many as are lasting.
IDLE_AFTER = 10

#: Seconds between two steps while this router knows nobody, or has news that
#: its neighbours lack. Where all hosts start at once, each learns of all
#: others over some four neighbours; at a heartbeat for each of these it would
#: be seconds until routers agree on hubs and homes.
_HURRY_S = 0.1

# A router that lives has been told of this one, and has dialled it, long
# before so many gap timeouts have passed.
_MISSING_GAPS = 2


@attrs.define(eq=False)
class Upkeep:
    """Opens wanted links, parts from unwanted ones, heals partitions.

    Parameters
    ----------
    cfg : PeersSettings
        Bounds and intervals.
    keeper : Keeper
        Opens and serves links.
    discovery : Discovery
        Addresses to try.
    rng : random.Random
        Picks neighbours and addresses.
    """

    cfg: PeersSettings
    keeper: Keeper
    discovery: Discovery
    rng: random.Random
    _chosen: tuple[Member, ...] = ()
    _choosers: tuple[Member, ...] = ()
    _missed: dict[str, float] = attrs.field(factory=dict)
    _rings: Rings | None = None
    _rings_at: int = 0
    _probing: asyncio.Task | None = None
    _compare_at: float = 0
    _probe_at: float = 0
    _list_at: float = 0

    async def run(self) -> None:
        """Do what is due, heartbeat after heartbeat, until cancelled."""
        clock = self.keeper.connector.context.clock
        while True:
            self.turn(clock.now())
            next_turn = clock.now() + self.cfg.heartbeat
            while clock.now() < next_turn:
                # Between turns news goes on, and others are looked for.
                self.keeper.gossip.flush()
                if not self.keeper.links.every():
                    self._probe()
                await clock.sleep(min(_HURRY_S, self.cfg.heartbeat))

    def turn(self, now: float) -> None:
        """Do what is due now."""
        self.keeper.forget()
        self.keeper.gossip.flush()
        self._see_to_links(now)
        lonely = not self.keeper.links.every()
        if lonely or now >= self._probe_at:
            self._probe_at = now + self._jittered(PROBE_EVERY)
            self._probe()
        if lonely or now >= self._list_at:
            self._list_at = now + self._jittered(LIST_EVERY)
            self.keeper.tasks.start(self.refresh())
        if now >= self._compare_at:
            self._compare_at = now + self._jittered(COMPARE_EVERY)
            self._compare()
        self._measure()

    async def refresh(self) -> PeerFault | None:
        """Read the host list."""
        return await self.discovery.refresh()

    def _see_to_links(self, now: float) -> None:
        self._open_wanted()
        self._look_for_missing(now)
        self._mark_lasting()
        self._part_unwanted(now)

    def _open_wanted(self) -> None:
        membership = self.keeper.membership
        if self._rings_at != membership.version:
            self._rings_at = membership.version
            self._rings = Rings(membership.alive(), self.cfg.max_peers)
            self._chosen = self._rings.choose(membership.me)
            self._choosers = self._rings.choosers(membership.me)
        for member in self._chosen:
            if self.keeper.links.best(member.incarnation) is None:
                self.keeper.tasks.start(self.keeper.reach(member))

    def _look_for_missing(self, now: float) -> None:
        """Dial routers that should have dialled this one and didn't.

        A router that dies, or is cut off, just after a link was parted from
        is missed by nobody: the other end of that link waits to be dialled.
        It would be counted as alive for ever, as a home, a lender or a
        buddy that never answers. To dial it tells.
        """
        limit = now - _MISSING_GAPS * self.cfg.gap_timeout
        linked = {peer.incarnation for peer in self.keeper.links.peers()}
        missing = [
            member
            for member in self._choosers
            if member.incarnation not in linked
        ]
        self._missed = {
            member.incarnation: self._missed.get(member.incarnation, now)
            for member in missing
        }
        for member in missing:
            if self._missed[member.incarnation] < limit:
                self.keeper.tasks.start(self.keeper.reach(member))

    def _mark_lasting(self) -> None:
        """Tell the links to those that chose this router, or it chose.

        Links that were opened for a single ask stand as well, to up to all
        routers of a zone. Spread over them too, each piece of news would be
        sent several times as often as it takes to reach everyone.
        """
        linked = {peer.incarnation for peer in self.keeper.links.peers()}
        lasting = {member.incarnation for member in self._chosen}
        lasting.update(
            member.incarnation
            for member in self._choosers
            if member.incarnation in linked
        )
        self.keeper.links.lasting = frozenset(lasting)

    def _part_unwanted(self, now: float) -> None:
        links = self.keeper.links
        surplus = links.surplus()
        for link in links.every():
            unwanted = link.dialled and not links.lasts(link)
            idle = now - link.used_at > IDLE_AFTER
            if link in surplus or (unwanted and idle):
                link.part()

    def _probe(self) -> None:
        """Try one address where nobody is known to live.

        After a partition each side holds the other for dead. Nobody would
        ever look again, and the fleet would stay in two.
        """
        membership = self.keeper.membership
        dead = [member.address for member in membership.told() if member.dead]
        addresses = [
            address
            for address in (*self.discovery.addresses(), *dead)
            if membership.holder(address) is None
        ]
        if addresses and (self._probing is None or self._probing.done()):
            address = self.rng.choice(addresses)
            self._probing = self.keeper.tasks.start(self._try(address))

    async def _try(self, address: str) -> None:
        link = await self.keeper.connector.dial(address)
        if isinstance(link, Link):
            self.keeper.tasks.start(self.keeper.serve(link))

    def _compare(self) -> None:
        peers = self.keeper.links.lasting_peers()
        if peers:
            peer = self.rng.choice(peers)
            gossip = self.keeper.gossip
            self.keeper.tasks.start(gossip.compare(peer.incarnation))

    def _measure(self) -> None:
        context = self.keeper.connector.context
        metrics = context.tally.metrics
        links = self.keeper.links.every()
        metrics.gauge(counters.LINKS, len(links))
        alive = self.keeper.membership.alive()
        metrics.gauge(counters.MEMBERS, len(alive))

    def _jittered(self, seconds: float) -> float:
        return seconds * (0.5 + self.rng.random())
