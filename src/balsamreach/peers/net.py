"""Messages between routers over TCP."""

import asyncio
import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import Handler, PeerNet
from balsamreach.peers.connector import Connector
from balsamreach.peers.discovery import Discovery
from balsamreach.peers.faults import PeerFault
from balsamreach.peers.gossip import Gossip
from balsamreach.peers.handlers import HandlerRegistry
from balsamreach.peers.hubs import Hubs
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.link_manager import LinkManager
from balsamreach.peers.links import Links
from balsamreach.peers.listener import PeersListener
from balsamreach.peers.local_status import LocalStatus
from balsamreach.peers.maintenance import Maintenance
from balsamreach.peers.membership import Membership
from balsamreach.peers.peer_counters import PeerCounters
from balsamreach.peers.rendezvous import HomeCache
from balsamreach.peers.tls import load_tls
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
    local_status: LocalStatus = attrs.field(init=False)
    link_manager: LinkManager = attrs.field(init=False)
    _homes: HomeCache = attrs.field(init=False)
    _handlers: HandlerRegistry = attrs.field(
        factory=HandlerRegistry, init=False
    )
    _listener: PeersListener = attrs.field(init=False)
    _maintenance: asyncio.Task | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components; nothing is opened yet."""
        membership = Membership(self.me, self.clock)
        self._homes = HomeCache(membership)
        self.hubs = Hubs(membership, self.cfg.peers)
        self.local_status = LocalStatus(self.cfg.peers.fleet, membership)
        context = LinkContext(
            cfg=self.cfg.peers,
            clock=self.clock,
            counters=PeerCounters(self.metrics),
            handle=self._handlers.handle,
            heartbeat=self.local_status.heartbeat,
            tracing=self.tracing,
        )
        gossip = Gossip(membership, self)
        gossip.start()
        self.link_manager = LinkManager(
            connector=Connector(context, self.local_status.hello),
            links=Links(self.me.incarnation),
            membership=membership,
            gossip=gossip,
            rng=self.rng,
        )
        self._listener = PeersListener(self.link_manager)

    def members(self) -> tuple[Member, ...]:
        """Return all routers believed alive, this one included."""
        return self.link_manager.membership.alive()

    def dead_members(self) -> tuple[Member, ...]:
        """Return the routers known to be dead and not yet forgotten."""
        return self.link_manager.membership.dead()

    def neighbours(self) -> tuple[Member, ...]:
        """Return the routers with a persistent connection to this one."""
        find = self.link_manager.membership.find
        peers = self.link_manager.links.persistent_peers()
        return tuple(find(peer.incarnation) or peer for peer in peers)

    def home(self, key: str) -> Member:
        """Return the router of this zone that a key is assigned to."""
        return self._homes.find(key)

    def on(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler of a kind of message; one for each kind."""
        self._handlers.on(kind, handler)

    async def ask(
        self,
        incarnation: str,
        message: Message,
        timeout_gaps: int = 1,
    ) -> Message | PeerFault:
        """Send a request and wait for the answer.

        A connection is opened if there is none.
        """
        kind = type(message).__name__
        with hops.hop('peer', kind=kind, peer=incarnation) as span:
            link = await self.link_manager.connect_by_incarnation(incarnation)
            answer = link
            if isinstance(link, Link):
                answer = await link.ask(message, timeout_gaps)
            failed = isinstance(answer, PeerFault)
            span.set_attribute('outcome', answer.code if failed else 'ok')
        return answer

    def tell(self, incarnation: str, message: Message) -> bool:
        """Send a one-way message; False if there is no connection.

        In that case a connection is opened for later messages.
        """
        link = self.link_manager.links.preferred(incarnation)
        if link is not None:
            return link.tell(message)
        member = self.link_manager.membership.find(incarnation)
        if member is not None and not member.dead:
            self.link_manager.tasks.start(self.link_manager.connect(member))
        return False

    def tell_neighbours(self, message: Message, exclude: str = '') -> None:
        """Send to all neighbours except the incarnation ``exclude``."""
        for member in self.link_manager.links.persistent_peers():
            if member.incarnation != exclude:
                self.tell(member.incarnation, message)

    async def start(self) -> PeerFault | None:
        """Open the listener and start to look for other routers."""
        fault = self.reload_tls()
        if fault is not None:
            return fault
        address = self._listener.open(self.cfg)
        self.me = self.link_manager.membership.change_me(address=address)
        upkeep = Maintenance(
            self.cfg.peers, self.link_manager, self.discovery, self.rng
        )
        self._maintenance = asyncio.create_task(upkeep.run())
        return None

    def reload_tls(self) -> PeerFault | None:
        """Reload the TLS files; open links are not affected."""
        contexts = load_tls(self.cfg.peers)
        if isinstance(contexts, PeerFault):
            return contexts
        self.link_manager.connector.tls = contexts
        self._listener.ssl_options = contexts.server
        return None

    async def leave(self) -> None:
        """Tell the others that this router is leaving."""
        self.me = self.link_manager.membership.change_me(leaving=True)
        self.link_manager.gossip.queue_update(self.me)
        self.link_manager.gossip.flush()

    async def stop(self) -> None:
        """Tell the others that this router has stopped, and close all links."""
        self._listener.stop()
        if self._maintenance is not None:
            self._maintenance.cancel()
        self.me = self.link_manager.membership.change_me(
            leaving=True, dead=True
        )
        self.link_manager.gossip.queue_update(self.me)
        self.link_manager.gossip.flush()
        await self.link_manager.stop()
