"""The net of routers over TCP."""

import asyncio
import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet, Taker
from balsamreach.peers.connector import Connector
from balsamreach.peers.discovery import Discovery
from balsamreach.peers.faults import PeerFault
from balsamreach.peers.gossip import Gossip
from balsamreach.peers.greeter import Greeter
from balsamreach.peers.homes import Homes
from balsamreach.peers.hubs import Hubs
from balsamreach.peers.keeper import Keeper
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.links import Links
from balsamreach.peers.listener import PeersListener
from balsamreach.peers.membership import Membership
from balsamreach.peers.takers import Takers
from balsamreach.peers.tally import Tally
from balsamreach.peers.tls import load_tls
from balsamreach.peers.upkeep import Upkeep
from balsamreach.telemetry import hops
from balsamreach.telemetry.metrics import Metrics
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member


@attrs.define(eq=False, kw_only=True)
class TcpPeerNet(PeerNet):
    """Reaches other routers over TCP, by TLS where it is set up.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    metrics : Metrics
        Where links are counted.
    discovery : Discovery
        Addresses of routers.
    tracing : Tracing
        Starts the spans of answers to others' traced asks.
    """

    cfg: Settings
    clock: Clock
    rng: random.Random
    metrics: Metrics
    discovery: Discovery
    tracing: Tracing
    greeter: Greeter = attrs.field(init=False)
    keeper: Keeper = attrs.field(init=False)
    _homes: Homes = attrs.field(init=False)
    _takers: Takers = attrs.field(factory=Takers, init=False)
    _listener: PeersListener = attrs.field(init=False)
    _upkeep: asyncio.Task | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together; nothing is opened yet."""
        membership = Membership(self.me, self.clock)
        self._homes = Homes(membership)
        self.hubs = Hubs(membership, self.cfg.peers)
        self.greeter = Greeter(self.cfg.peers.fleet, membership)
        context = LinkContext(
            cfg=self.cfg.peers,
            clock=self.clock,
            tally=Tally(self.metrics),
            take=self._takers.take,
            heartbeat=self.greeter.heartbeat,
            tracing=self.tracing,
        )
        gossip = Gossip(membership, self)
        gossip.start()
        self.keeper = Keeper(
            connector=Connector(context, self.greeter.hello),
            links=Links(self.me.incarnation),
            membership=membership,
            gossip=gossip,
            rng=self.rng,
        )
        self._listener = PeersListener(self.keeper)

    def members(self) -> tuple[Member, ...]:
        """Return all routers held to be alive, this one included."""
        return self.keeper.membership.alive()

    def departed(self) -> tuple[Member, ...]:
        """Return routers known to have died, as long as that is kept."""
        return self.keeper.membership.dead()

    def neighbours(self) -> tuple[Member, ...]:
        """Return the routers to which a lasting connection stands."""
        find = self.keeper.membership.find
        peers = self.keeper.links.lasting_peers()
        return tuple(find(peer.incarnation) or peer for peer in peers)

    def home(self, key: str) -> Member:
        """Return the router of this zone that a key belongs to."""
        return self._homes.find(key)

    def on(self, kind: type[Message], taker: Taker) -> None:
        """Name who takes messages of a kind; one taker for each kind."""
        self._takers.on(kind, taker)

    async def ask(
        self,
        incarnation: str,
        message: Message,
        gaps: int = 1,
    ) -> Message | PeerFault:
        """Send a message and wait for the answer to it.

        A connection is opened if none stands.
        """
        kind = type(message).__name__
        with hops.hop('peer', kind=kind, peer=incarnation) as span:
            link = await self.keeper.reach_by_name(incarnation)
            answer = link
            if isinstance(link, Link):
                answer = await link.ask(message, gaps)
            failed = isinstance(answer, PeerFault)
            span.set_attribute('outcome', answer.code if failed else 'ok')
        return answer

    def tell(self, incarnation: str, message: Message) -> bool:
        """Send without an answer; False if no connection stands.

        A connection is opened then, so that later messages find one.
        """
        link = self.keeper.links.best(incarnation)
        if link is not None:
            return link.tell(message)
        member = self.keeper.membership.find(incarnation)
        if member is not None and not member.dead:
            self.keeper.tasks.start(self.keeper.reach(member))
        return False

    def spread(self, message: Message, besides: str = '') -> None:
        """Send to all neighbours except the incarnation given."""
        for member in self.keeper.links.lasting_peers():
            if member.incarnation != besides:
                self.tell(member.incarnation, message)

    async def start(self) -> PeerFault | None:
        """Open the listener and begin to look for other routers."""
        fault = self.reload_tls()
        if fault is not None:
            return fault
        address = self._listener.open(self.cfg)
        self.me = self.keeper.membership.change_me(address=address)
        upkeep = Upkeep(self.cfg.peers, self.keeper, self.discovery, self.rng)
        self._upkeep = asyncio.create_task(upkeep.run())
        return None

    def reload_tls(self) -> PeerFault | None:
        """Read the TLS files anew; links that stand go on."""
        contexts = load_tls(self.cfg.peers)
        if isinstance(contexts, PeerFault):
            return contexts
        self.keeper.connector.tls = contexts
        self._listener.ssl_options = contexts.server
        return None

    async def leave(self) -> None:
        """Tell the others that this router is leaving."""
        self.me = self.keeper.membership.change_me(leaving=True)
        self.keeper.gossip.tell(self.me)
        self.keeper.gossip.flush()

    async def stop(self) -> None:
        """Tell the others that this router is gone, and close all links."""
        self._listener.stop()
        if self._upkeep is not None:
            self._upkeep.cancel()
        self.me = self.keeper.membership.change_me(leaving=True, dead=True)
        self.keeper.gossip.tell(self.me)
        self.keeper.gossip.flush()
        await self.keeper.stop()
