"""Periodic maintenance of links and membership."""

import asyncio
import random

import attrs

from balsamreach.config.settings import PeersSettings
from balsamreach.peers import metric_names
from balsamreach.peers.discovery import Discovery
from balsamreach.peers.faults import PeerFault
from balsamreach.peers.link import Link
from balsamreach.peers.link_manager import LinkManager
from balsamreach.peers.neighbours import Rings
from balsamreach.wire.membership import Member

#: Seconds between comparisons of the membership list with a neighbour.
COMPARE_EVERY = 10
#: Seconds between attempts to connect to an address without a known live
#: router.
PROBE_EVERY = 10
#: Seconds between reads of the host list while there are links.
LIST_EVERY = 30
#: Seconds without traffic after which a link that is not persistent is
#: released. Each link costs four heartbeats a second, and during a start as
#: many such links are opened as persistent ones.
IDLE_TIMEOUT = 10

#: Seconds between steps while this router knows no other, or has updates that
#: its neighbours lack. When all hosts start at once, each learns of all others
#: over about four hops; at one heartbeat per hop it would take seconds until
#: routers agree on hubs and homes.
_FAST_INTERVAL = 0.1

# A live router has heard of this one, and has dialled it, long before this
# number of gap timeouts has passed.
_MISSING_GAPS = 2


@attrs.define(eq=False)
class Maintenance:
    """Opens and releases links, and reconnects after partitions.

    Parameters
    ----------
    cfg : PeersSettings
        Limits and intervals.
    link_manager : LinkManager
        Opens and serves links.
    discovery : Discovery
        Candidate addresses.
    rng : random.Random
        Picks neighbours and addresses.
    """

    cfg: PeersSettings
    link_manager: LinkManager
    discovery: Discovery
    rng: random.Random
    _chosen: tuple[Member, ...] = ()
    _choosers: tuple[Member, ...] = ()
    _missing_since: dict[str, float] = attrs.field(factory=dict)
    _rings: Rings | None = None
    _rings_version: int = 0
    _probe_task: asyncio.Task | None = None
    _compare_at: float = 0
    _probe_at: float = 0
    _list_at: float = 0

    async def run(self) -> None:
        """Do what is due at each heartbeat, until cancelled."""
        clock = self.link_manager.connector.context.clock
        while True:
            self.run_due(clock.now())
            next_run = clock.now() + self.cfg.heartbeat
            while clock.now() < next_run:
                # Between heartbeats, send updates and keep looking for other
                # routers.
                self.link_manager.gossip.flush()
                if not self.link_manager.links.all_links():
                    self._probe()
                await clock.sleep(min(_FAST_INTERVAL, self.cfg.heartbeat))

    def run_due(self, now: float) -> None:
        """Do what is due now."""
        self.link_manager.prune()
        self.link_manager.gossip.flush()
        self._update_links(now)
        isolated = not self.link_manager.links.all_links()
        if isolated or now >= self._probe_at:
            self._probe_at = now + self._jittered(PROBE_EVERY)
            self._probe()
        if isolated or now >= self._list_at:
            self._list_at = now + self._jittered(LIST_EVERY)
            self.link_manager.tasks.start(self.refresh())
        if now >= self._compare_at:
            self._compare_at = now + self._jittered(COMPARE_EVERY)
            self._compare()
        self._set_gauges()

    async def refresh(self) -> PeerFault | None:
        """Read the host list."""
        return await self.discovery.refresh()

    def _update_links(self, now: float) -> None:
        self._dial_chosen()
        self._dial_missing_choosers(now)
        self._update_persistent()
        self._release_unneeded(now)

    def _dial_chosen(self) -> None:
        membership = self.link_manager.membership
        if self._rings_version != membership.version:
            self._rings_version = membership.version
            self._rings = Rings(membership.alive(), self.cfg.max_peers)
            self._chosen = self._rings.choose(membership.me)
            self._choosers = self._rings.choosers(membership.me)
        for member in self._chosen:
            if self.link_manager.links.preferred(member.incarnation) is None:
                self.link_manager.tasks.start(self.link_manager.connect(member))

    def _dial_missing_choosers(self, now: float) -> None:
        """Dial routers that should have dialled this one but didn't.

        A router that dies, or is cut off, just after a link to it was released
        is not noticed: the other end of that link expects to be dialled. The
        router would count as alive for ever, as a home, lender or buddy that
        never answers. Dialling it shows whether it is alive.
        """
        limit = now - _MISSING_GAPS * self.cfg.gap_timeout
        linked = {peer.incarnation for peer in self.link_manager.links.peers()}
        missing = [
            member
            for member in self._choosers
            if member.incarnation not in linked
        ]
        self._missing_since = {
            member.incarnation: self._missing_since.get(member.incarnation, now)
            for member in missing
        }
        for member in missing:
            if self._missing_since[member.incarnation] < limit:
                self.link_manager.tasks.start(self.link_manager.connect(member))

    def _update_persistent(self) -> None:
        """Mark the links to routers chosen by this one or choosing it.

        Links opened for a single request also stay open for a while, to up to
        all routers of a zone. Messages spread over these as well would be sent
        several times as often as needed to reach all routers.
        """
        linked = {peer.incarnation for peer in self.link_manager.links.peers()}
        persistent = {member.incarnation for member in self._chosen}
        persistent.update(
            member.incarnation
            for member in self._choosers
            if member.incarnation in linked
        )
        self.link_manager.links.persistent = frozenset(persistent)

    def _release_unneeded(self, now: float) -> None:
        links = self.link_manager.links
        duplicates = links.duplicates()
        for link in links.all_links():
            unwanted = link.dialled and not links.is_persistent(link)
            idle = now - link.last_used_at > IDLE_TIMEOUT
            if link in duplicates or (unwanted and idle):
                link.release()

    def _probe(self) -> None:
        """Dial one address without a known live router.

        After a partition each side considers the other dead. Without probes
        neither would connect to the other again, and the fleet would stay
        split.
        """
        membership = self.link_manager.membership
        dead = [
            member.address for member in membership.advertised() if member.dead
        ]
        addresses = [
            address
            for address in (*self.discovery.addresses(), *dead)
            if membership.address_owner(address) is None
        ]
        if addresses and (self._probe_task is None or self._probe_task.done()):
            address = self.rng.choice(addresses)
            self._probe_task = self.link_manager.tasks.start(
                self._probe_address(address)
            )

    async def _probe_address(self, address: str) -> None:
        link = await self.link_manager.connector.dial(address)
        if isinstance(link, Link):
            self.link_manager.tasks.start(self.link_manager.serve(link))

    def _compare(self) -> None:
        peers = self.link_manager.links.persistent_peers()
        if peers:
            peer = self.rng.choice(peers)
            gossip = self.link_manager.gossip
            self.link_manager.tasks.start(gossip.sync_with(peer.incarnation))

    def _set_gauges(self) -> None:
        context = self.link_manager.connector.context
        metrics = context.counters.metrics
        links = self.link_manager.links.all_links()
        metrics.gauge(metric_names.LINKS, len(links))
        alive = self.link_manager.membership.alive()
        metrics.gauge(metric_names.MEMBERS, len(alive))

    def _jittered(self, seconds: float) -> float:
        return seconds * (0.5 + self.rng.random())
