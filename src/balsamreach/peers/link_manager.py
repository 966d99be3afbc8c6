"""Opens and serves links and detects dead peers."""

import asyncio
import logging
import random

import attrs

from balsamreach.peers import metric_names
from balsamreach.peers.background_tasks import BackgroundTasks
from balsamreach.peers.backoff import Backoff
from balsamreach.peers.connector import Connector
from balsamreach.peers.faults import (
    HELLO_REFUSED,
    LINK_RELEASED,
    NOT_CONNECTED,
    PeerFault,
)
from balsamreach.peers.gossip import Gossip
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.links import Links
from balsamreach.peers.membership import Membership
from balsamreach.peers.timeouts import run_with_timeout
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.membership import Member

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class LinkManager:
    """Runs a task for each link and for each peer that is dialled.

    Parameters
    ----------
    connector : Connector
        Establishes links.
    links : Links
        The open links.
    membership : Membership
        The known routers.
    gossip : Gossip
        Tells other routers of new and dead ones.
    rng : random.Random
        Randomizes retries, so that the peers of a dead router don't retry at
        the same moment.
    """

    connector: Connector
    links: Links
    membership: Membership
    gossip: Gossip
    rng: random.Random
    stopping: bool = False
    tasks: BackgroundTasks = attrs.field(factory=BackgroundTasks)
    backoff: Backoff = attrs.field(init=False)
    _dialling: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _compare_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _no_links: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Start without links."""
        self._no_links.set()
        self.backoff = Backoff(self.connector.context.clock)

    async def connect(self, member: Member, tries: int = 2) -> Link | PeerFault:
        """Return a link to a router, opening one if needed.

        Parameters
        ----------
        member : Member
            The router.
        tries : int
            Number of failed connections after which it is declared dead.

        Returns
        -------
        Link or PeerFault
            The link, or why there is none.
        """
        best = self.links.preferred(member.incarnation)
        if best is not None:
            return best
        if self.backoff.must_wait(member.incarnation):
            return NOT_CONNECTED.because(
                'waiting to retry after a failed connection'
            )
        dialling = self._dialling.get(member.incarnation)
        if dialling is None:
            dialling = self.tasks.start(self._dial(member, tries))
            self._dialling[member.incarnation] = dialling
            dialling.add_done_callback(
                lambda _: self._dialling.pop(member.incarnation),
            )
        return await asyncio.shield(dialling)

    async def connect_by_incarnation(
        self, incarnation: str
    ) -> Link | PeerFault:
        """Return a link to an incarnation, opening one if needed."""
        # Use an open link even if the router is marked dead: over it the router
        # learns of the mark and refutes it.
        link = self.links.preferred(incarnation)
        if link is not None:
            return link
        member = self.membership.find(incarnation)
        if member is None or member.dead:
            return NOT_CONNECTED.because('no such live router is known')
        return await self.connect(member)

    async def serve(self, link: Link) -> None:
        """Serve a link until it ends, then reconnect if the peer was lost."""
        peer = link.peer
        self._add(link)
        self.tasks.start(self._compare(peer))
        try:
            ended = await link.run()
        finally:
            self.links.remove(link)
            if not self.links.all_links():
                self._no_links.set()
        _count(link.context, metric_names.LINKS_ENDED, reason=ended.code)
        _log_peer(logging.INFO, 'peer_down', peer, ended.reason or ended.code)
        await self._reconnect_after(peer, ended)

    def prune(self) -> None:
        """Drop outdated membership and backoff entries."""
        self.membership.prune()
        self.backoff.prune()

    async def stop(self) -> None:
        """Release all links and cancel all tasks."""
        self.stopping = True
        context = self.connector.context
        for link in self.links.all_links():
            link.release()
        # A peer closes the link when it reads the release, so all earlier
        # messages are delivered. The wait for one that doesn't read it is
        # limited to the time after which it would count as silent.
        gap = context.cfg.gap_timeout
        await run_with_timeout(context.clock, gap, self._no_links.wait())
        await self.tasks.cancel()

    def _add(self, link: Link) -> None:
        peer = link.peer
        self.links.add(link)
        self.backoff.record_success(peer.incarnation)
        self._no_links.clear()
        if self.membership.record_contact(peer):
            self.gossip.queue_update(
                self.membership.find(peer.incarnation) or peer
            )
        _log_peer(logging.INFO, 'peer_up', peer, '')

    async def _compare(self, peer: Member) -> None:
        # One at a time: a starting router would otherwise fetch the whole list
        # from all its first neighbours at once.
        async with self._compare_lock:
            await self.gossip.sync_with(peer.incarnation)

    async def _reconnect_after(self, peer: Member, ended: PeerFault) -> None:
        """Try one new connection before a peer is declared dead.

        A middlebox can lose track of a connection while it still lets new ones
        through; the peer is alive then.
        """
        known = self.membership.find(peer.incarnation)
        alive = known is not None and not known.dead
        if self.stopping or ended == LINK_RELEASED or not alive:
            return
        await self.connect(peer, tries=1)

    async def _dial(self, member: Member, tries: int) -> Link | PeerFault:
        context = self.connector.context
        fault = NOT_CONNECTED
        for attempt in range(tries):
            if attempt:
                pause = self.rng.random() * context.cfg.heartbeat
                await context.clock.sleep(pause)
            link = await self.connector.dial(member.address)
            if isinstance(link, Link):
                return self._adopt_dialled(member, link)
            if link == HELLO_REFUSED:
                # A live process there refuses this router.
                self.backoff.record_failure(member.incarnation)
                return link
            fault = link
        self.backoff.record_failure(member.incarnation)
        self._declare_dead(member, fault)
        return fault

    def _adopt_dialled(self, member: Member, link: Link) -> Link | PeerFault:
        self.tasks.start(self.serve(link))
        if link.peer.incarnation == member.incarnation:
            return link
        self._declare_dead(
            member, NOT_CONNECTED.because('its address has another incarnation')
        )
        return NOT_CONNECTED.because('its address has another incarnation')

    def _declare_dead(self, member: Member, fault: PeerFault) -> None:
        best = self.links.preferred(member.incarnation)
        if best is None and self.membership.mark_dead(member.incarnation):
            dead = self.membership.find(member.incarnation)
            self.gossip.queue_update(dead or member)
            _count(self.connector.context, metric_names.DEATHS)
            _log_peer(logging.WARNING, 'peer_dead', member, fault.reason)


def _count(context: LinkContext, name: str, **labels: str) -> None:
    context.counters.metrics.count(name, **labels)


def _log_peer(level: int, event: str, peer: Member, reason: str) -> None:
    log_event(
        _logger,
        level,
        event,
        reason=reason,
        peer=peer.host,
        address=peer.address,
        incarnation=peer.incarnation,
    )
