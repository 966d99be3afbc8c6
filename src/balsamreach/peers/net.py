"""Messages between routers over TCP."""

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
from balsamreach.peers.homes import HomeCache
from balsamreach.peers.hubs import Hubs
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.link_manager import LinkManager
from balsamreach.peers.links import Links
from balsamreach.peers.listener import PeersListener
from balsamreach.peers.local_status import LocalStatus
from balsamreach.peers.membership import Membership
from balsamreach.peers.takers import Takers
from balsamreach.peers.tally import Tally
from balsamreach.peers.tls import load_tls
from balsamreach.peers.upkeep import Maintenance
from balsamreach.telemetry import hops
from balsamreach.telemetry.metrics import Metrics
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member


@attrs.define(eq=False, kw_only=True)
class TcpPeerNet(PeerNet):
    """Sends messages to other routers over TCP, with TLS if configured.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    metrics : Metrics
        Receives the metrics of links and messages.
    discovery : Discovery
        Candidate addresses of routers.
    tracing : Tracing
        Starts the spans of answers to traced requests of peers.
    """

    cfg: Settings
    clock: Clock
    rng: random.Random
    metrics: Metrics
    discovery: Discovery
    tracing: Tracing
    greeter: LocalStatus = attrs.field(init=False)
    keeper: LinkManager = attrs.field(init=False)
    _homes: HomeCache = attrs.field(init=False)
    _takers: Takers = attrs.field(factory=Takers, init=False)
    _listener: PeersListener = attrs.field(init=False)
    _maintenance: asyncio.Task | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components; nothing is opened yet."""
        membership = Membership(self.me, self.clock)
        self._homes = HomeCache(membership)
        self.hubs = Hubs(membership, self.cfg.peers)
        self.greeter = LocalStatus(self.cfg.peers.fleet, membership)
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
        self.keeper = LinkManager(
            connector=Connector(context, self.greeter.hello),
            links=Links(self.me.incarnation),
            membership=membership,
            gossip=gossip,
            rng=self.rng,
        )
        self._listener = PeersListener(self.keeper)

    def members(self) -> tuple[Member, ...]:
        """Return all routers believed alive, this one included."""
        return self.keeper.membership.alive()

    def departed(self) -> tuple[Member, ...]:
        """Return the routers known to be dead and not yet forgotten."""
        return self.keeper.membership.dead()

    def neighbours(self) -> tuple[Member, ...]:
        """Return the routers with a persistent connection to this one."""
        find = self.keeper.membership.find
        peers = self.keeper.links.persistent_peers()
        return tuple(find(peer.incarnation) or peer for peer in peers)

    def home(self, key: str) -> Member:
        """Return the router of this zone that a key is assigned to."""
        return self._homes.find(key)

    def on(self, kind: type[Message], handler: Taker) -> None:
        """Register the handler of a kind of message; one for each kind."""
        self._takers.on(kind, handler)

    async def ask(
        self,
        incarnation: str,
        message: Message,
        gaps: int = 1,
    ) -> Message | PeerFault:
        """Send a request and wait for the answer.

        A connection is opened if there is none.
        """
        kind = type(message).__name__
        with hops.hop('peer', kind=kind, peer=incarnation) as span:
            link = await self.keeper.connect_by_incarnation(incarnation)
            answer = link
            if isinstance(link, Link):
                answer = await link.ask(message, gaps)
            failed = isinstance(answer, PeerFault)
            span.set_attribute('outcome', answer.code if failed else 'ok')
        return answer

    def tell(self, incarnation: str, message: Message) -> bool:
        """Send a one-way message; False if there is no connection.

        In that case a connection is opened for later messages.
        """
        link = self.keeper.links.preferred(incarnation)
        if link is not None:
            return link.tell(message)
        member = self.keeper.membership.find(incarnation)
        if member is not None and not member.dead:
            self.keeper.tasks.start(self.keeper.connect(member))
        return False

    def spread(self, message: Message, besides: str = '') -> None:
        """Send to all neighbours except the incarnation ``besides``."""
        for member in self.keeper.links.persistent_peers():
            if member.incarnation != besides:
                self.tell(member.incarnation, message)

    async def start(self) -> PeerFault | None:
        """Open the listener and start to look for other routers."""
        fault = self.reload_tls()
        if fault is not None:
            return fault
        address = self._listener.open(self.cfg)
        self.me = self.keeper.membership.change_me(address=address)
        upkeep = Maintenance(
            self.cfg.peers, self.keeper, self.discovery, self.rng
        )
        self._maintenance = asyncio.create_task(upkeep.run())
        return None

    def reload_tls(self) -> PeerFault | None:
        """Reload the TLS files; open links are not affected."""
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
        """Tell the others that this router has stopped, and close all links."""
        self._listener.stop()
        if self._maintenance is not None:
            self._maintenance.cancel()
        self.me = self.keeper.membership.change_me(leaving=True, dead=True)
        self.keeper.gossip.tell(self.me)
        self.keeper.gossip.flush()
        await self.keeper.stop()
