"""Keeps the links that this router wants, and finds out who is dead."""

import asyncio
import logging
import random

import attrs

from balsamreach.peers import counters
from balsamreach.peers.backoff import Backoff
from balsamreach.peers.connector import Connector
from balsamreach.peers.faults import (
    LINK_PARTED,
    NOT_CONNECTED,
    STRANGER,
    PeerFault,
)
from balsamreach.peers.gossip import Gossip
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.links import Links
from balsamreach.peers.membership import Membership
from balsamreach.peers.tasks import Tasks
from balsamreach.peers.waiting import within
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.membership import Member

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Keeper:
    """Runs one task for each link and each peer that is dialled.

    Parameters
    ----------
    connector : Connector
        Makes links.
    links : Links
        The links that stand.
    membership : Membership
        The routers known.
    gossip : Gossip
        Tells others of births and deaths.
    rng : random.Random
        Spreads retries, so that peers of a dead router don't retry at the
        same moment.
    """

    connector: Connector
    links: Links
    membership: Membership
    gossip: Gossip
    rng: random.Random
    stopping: bool = False
    tasks: Tasks = attrs.field(factory=Tasks)
    backoff: Backoff = attrs.field(init=False)
    _dialling: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _comparing: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _alone: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Begin without a link."""
        self._alone.set()
        self.backoff = Backoff(self.connector.context.clock)

    async def reach(self, member: Member, tries: int = 2) -> Link | PeerFault:
        """Return a link to a router, opening one if there is none.

        Parameters
        ----------
        member : Member
            The router.
        tries : int
            After so many failed connections it is held to be dead.

        Returns
        -------
        Link or PeerFault
            The link, or why there is none.
        """
        best = self.links.best(member.incarnation)
        if best is not None:
            return best
        if self.backoff.waits(member.incarnation):
            return NOT_CONNECTED.because('it failed a moment ago')
        dialling = self._dialling.get(member.incarnation)
        if dialling is None:
            dialling = self.tasks.start(self._dial(member, tries))
            self._dialling[member.incarnation] = dialling
            dialling.add_done_callback(
                lambda _: self._dialling.pop(member.incarnation),
            )
        return await asyncio.shield(dialling)

    async def reach_by_name(self, incarnation: str) -> Link | PeerFault:
        """Return a link to an incarnation, opening one if there is none."""
        # A link counts more than a mark of death: over it the router learns
        # that it is held to be dead, and takes that back.
        link = self.links.best(incarnation)
        if link is not None:
            return link
        member = self.membership.find(incarnation)
        if member is None or member.dead:
            return NOT_CONNECTED.because('no such router is known')
        return await self.reach(member)

    async def serve(self, link: Link) -> None:
        """Serve a link to its end, and then see to the peer."""
        peer = link.peer
        self._add(link)
        self.tasks.start(self._compare(peer))
        try:
            ended = await link.run()
        finally:
            self.links.remove(link)
            if not self.links.every():
                self._alone.set()
        _count(link.context, counters.ENDED, reason=ended.code)
        _log(logging.INFO, 'peer_down', peer, ended.reason or ended.code)
        await self._after(peer, ended)

    def forget(self) -> None:
        """Drop what is too old to matter."""
        self.membership.forget()
        self.backoff.forget()

    async def stop(self) -> None:
        """Part from all peers, and end whatever goes on."""
        self.stopping = True
        context = self.connector.context
        for link in self.links.every():
            link.part()
        # A peer closes when it reads that; what was told before is then
        # delivered. One that doesn't read is waited for no longer than it
        # would take to call it silent.
        gap = context.cfg.gap_timeout
        await within(context.clock, gap, self._alone.wait())
        await self.tasks.cancel()

    def _add(self, link: Link) -> None:
        peer = link.peer
        self.links.add(link)
        self.backoff.succeeded(peer.incarnation)
        self._alone.clear()
        if self.membership.met(peer):
            self.gossip.tell(self.membership.find(peer.incarnation) or peer)
        _log(logging.INFO, 'peer_up', peer, '')

    async def _compare(self, peer: Member) -> None:
        # One after the other: a router that starts would otherwise load the
        # whole list from all its first neighbours at once.
        async with self._comparing:
            await self.gossip.compare(peer.incarnation)

    async def _after(self, peer: Member, ended: PeerFault) -> None:
        """Try one new connection before a peer is called dead.

        What lies between two routers can lose track of a connection while
        it still lets new ones through; the peer is alive then.
        """
        known = self.membership.find(peer.incarnation)
        alive = known is not None and not known.dead
        if self.stopping or ended == LINK_PARTED or not alive:
            return
        await self.reach(peer, tries=1)

    async def _dial(self, member: Member, tries: int) -> Link | PeerFault:
        context = self.connector.context
        fault = NOT_CONNECTED
        for attempt in range(tries):
            if attempt:
                pause = self.rng.random() * context.cfg.heartbeat
                await context.clock.sleep(pause)
            link = await self.connector.dial(member.address)
            if isinstance(link, Link):
                return self._accept_dialled(member, link)
            if link == STRANGER:
                # Somebody lives there who doesn't let this router in.
                self.backoff.failed(member.incarnation)
                return link
            fault = link
        self.backoff.failed(member.incarnation)
        self._bury(member, fault)
        return fault

    def _accept_dialled(self, member: Member, link: Link) -> Link | PeerFault:
        self.tasks.start(self.serve(link))
        if link.peer.incarnation == member.incarnation:
            return link
        self._bury(member, NOT_CONNECTED.because('its address has another'))
        return NOT_CONNECTED.because('its address has another incarnation')

    def _bury(self, member: Member, fault: PeerFault) -> None:
        best = self.links.best(member.incarnation)
        if best is None and self.membership.bury(member.incarnation):
            dead = self.membership.find(member.incarnation)
            self.gossip.tell(dead or member)
            _count(self.connector.context, counters.DEATHS)
            _log(logging.WARNING, 'peer_dead', member, fault.reason)


def _count(context: LinkContext, name: str, **labels: str) -> None:
    context.tally.metrics.count(name, **labels)


def _log(level: int, event: str, peer: Member, reason: str) -> None:
    log_event(
        _logger,
        level,
        event,
        reason=reason,
        peer=peer.host,
        address=peer.address,
        incarnation=peer.incarnation,
    )
