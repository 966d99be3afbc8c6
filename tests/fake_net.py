"""In-memory PeerNets whose message faults the test controls.

Nothing is delivered by itself: one-way messages wait until ``settle``.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable

import attrs

from balsamreach.peers.base import Handler, HubSelector, PeerNet
from balsamreach.peers.faults import (
    NO_ANSWER,
    NOT_CONNECTED,
    PEER_REFUSED,
    PeerFault,
)
from balsamreach.peers.hubs import pick_hubs
from balsamreach.peers.rendezvous import home_in_zone
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member


@attrs.frozen
class _Posted:
    source: Member
    incarnation: str
    message: Message

    @property
    def kind(self) -> type[Message]:
        return type(self.message)


@attrs.define(eq=False)
class FakeNet:
    """Connects the members of a test.

    ``lost``, ``answers_lost`` and ``doubled`` set for how many of the next
    messages of a kind the message is lost, the answer is lost, or the message
    is delivered twice; kinds in ``held`` wait until ``release``. With
    ``hubs_per_zone`` the net has hubs like a large fleet.
    """

    nets: dict[str, 'FakePeerNet'] = attrs.field(factory=dict)
    lost: Counter[type[Message]] = attrs.field(factory=Counter)
    answers_lost: Counter[type[Message]] = attrs.field(factory=Counter)
    doubled: Counter[type[Message]] = attrs.field(factory=Counter)
    held: set[type[Message]] = attrs.field(factory=set)
    sent: list[Message] = attrs.field(factory=list)
    hubs_per_zone: int = 0
    _cut: set[frozenset[str]] = attrs.field(factory=set)
    _interrupted: set[frozenset[str]] = attrs.field(factory=set)
    _posted: list[_Posted] = attrs.field(factory=list)
    _released: asyncio.Event = attrs.field(factory=asyncio.Event)

    def join(self, incarnation: str, zone: str = 'zone-a') -> 'FakePeerNet':
        """Add a router with an incarnation."""
        number = len(self.nets) + 1
        member = Member(
            incarnation=incarnation,
            host=f'host-{incarnation}',
            address=f'127.0.0.1:{number}',
            zone=zone,
            started=number,
        )
        net = FakePeerNet(member, self, hubs=FakeHubs(self))
        self.nets[incarnation] = net
        return net

    def kill(self, incarnation: str) -> None:
        """Remove a router; the others consider it dead at once."""
        del self.nets[incarnation]

    def cut(self, one_side: Iterable[str], other: Iterable[str]) -> None:
        """Partition two groups of incarnations."""
        others = tuple(other)
        for incarnation in one_side:
            self._cut.update(
                frozenset((incarnation, other_incarnation))
                for other_incarnation in others
            )

    def interrupt(self, one: str, other: str) -> None:
        """Interrupt two members too briefly for them to notice.

        One-way messages wait for the end of it, as in an open connection.
        """
        self._interrupted.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all partitions and interruptions."""
        self._cut.clear()
        self._interrupted.clear()

    def reaches(self, one: str, other: str) -> bool:
        """Return whether messages pass between two members."""
        known = one in self.nets and other in self.nets
        return known and frozenset((one, other)) not in self._cut

    def release(self) -> None:
        """Release held messages; one-way ones still need a ``settle``."""
        self.held.clear()
        self._released.set()
        self._released = asyncio.Event()

    async def settle(self, *, newest_first: bool = False) -> None:
        """Deliver one-way messages and those that follow from them."""
        while True:
            ready = [
                posted
                for posted in self._posted
                if posted.kind not in self.held
                and not self._is_interrupted(posted)
            ]
            if not ready:
                return
            posted = ready[-1 if newest_first else 0]
            self._posted.remove(posted)
            await self._deliver(posted)

    def post(self, source: Member, incarnation: str, message: Message) -> None:
        """Queue a one-way message."""
        self.sent.append(message)
        kind = type(message)
        posted = _Posted(source, incarnation, message)
        if not _consume(self.lost, kind):
            self._posted.append(posted)
            if _consume(self.doubled, kind):
                self._posted.append(posted)

    async def answer(
        self,
        source: Member,
        incarnation: str,
        message: Message,
    ) -> Message | PeerFault:
        """Deliver a request and return its answer."""
        kind = type(message)
        self.sent.append(message)
        while kind in self.held:
            await self._released.wait()
        if _consume(self.lost, kind):
            return NO_ANSWER
        if not self._carries(source.incarnation, incarnation):
            return NO_ANSWER
        if _consume(self.doubled, kind):
            await self.nets[incarnation].take(source, message)
        answer = await self.nets[incarnation].take(source, message)
        if _consume(self.answers_lost, kind):
            return NO_ANSWER
        if not self._carries(source.incarnation, incarnation):
            return NO_ANSWER
        return answer

    def _carries(self, one: str, other: str) -> bool:
        interrupted = frozenset((one, other)) in self._interrupted
        return self.reaches(one, other) and not interrupted

    def _is_interrupted(self, posted: _Posted) -> bool:
        source = posted.source.incarnation
        return frozenset((source, posted.incarnation)) in self._interrupted

    async def _deliver(self, posted: _Posted) -> None:
        if self.reaches(posted.source.incarnation, posted.incarnation):
            net = self.nets[posted.incarnation]
            await net.take(posted.source, posted.message)


@attrs.define(eq=False)
class FakeHubs(HubSelector):
    """The hubs that the real net would select."""

    fabric: FakeNet

    def hubs_of(self, zone: str) -> tuple[Member, ...]:
        """Return a zone's hubs."""
        return pick_hubs(self._members(), zone, self.fabric.hubs_per_zone)

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have hubs."""
        zones = sorted({member.zone for member in self._members()})
        return tuple(zones) if self.fabric.hubs_per_zone else ()

    def has_hubs(self, routers: int) -> bool:
        """Return whether a fleet of so many routers has hubs."""
        return routers > 2 and self.fabric.hubs_per_zone > 0

    def _members(self) -> tuple[Member, ...]:
        return tuple(net.me for net in self.fabric.nets.values())


@attrs.define(eq=False)
class FakePeerNet(PeerNet):
    """The net as one router sees it; all others are its neighbours."""

    fabric: FakeNet
    handlers: dict[type[Message], Handler] = attrs.field(factory=dict)
    dead: tuple[Member, ...] = ()

    def dead_members(self) -> tuple[Member, ...]:
        """Return the routers that the test set."""
        return self.dead

    def members(self) -> tuple[Member, ...]:
        """Return all members that were not killed."""
        return tuple(net.me for net in self.fabric.nets.values())

    def neighbours(self) -> tuple[Member, ...]:
        """Return all other members in the same partition."""
        return tuple(
            member
            for member in self.members()
            if member != self.me and self._reaches(member.incarnation)
        )

    def home(self, key: str) -> Member:
        """Return the key's home as the real net would."""
        return home_in_zone(key, self.members(), self.me.zone) or self.me

    def on(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler of a kind."""
        assert kind not in self.handlers, kind
        self.handlers[kind] = handler

    async def ask(
        self,
        incarnation: str,
        message: Message,
        timeout_gaps: int = 1,
    ) -> Message | PeerFault:
        """Send a request to a reachable member."""
        if not self._reaches(incarnation):
            return NOT_CONNECTED
        return await self.fabric.answer(self.me, incarnation, message)

    def tell(self, incarnation: str, message: Message) -> bool:
        """Queue a message to a reachable member; ``settle`` delivers it."""
        if not self._reaches(incarnation):
            return False
        self.fabric.post(self.me, incarnation, message)
        return True

    def tell_neighbours(self, message: Message, exclude: str = '') -> None:
        """Send to all neighbours except ``exclude``."""
        for member in self.neighbours():
            if member.incarnation != exclude:
                self.tell(member.incarnation, message)

    async def take(
        self,
        source: Member,
        message: Message,
    ) -> Message | PeerFault:
        """Handle a message as if it came over a connection."""
        handler = self.handlers.get(type(message))
        answer = await handler(source, message) if handler else None
        return PEER_REFUSED if answer is None else answer

    def _reaches(self, incarnation: str) -> bool:
        return self.fabric.reaches(self.me.incarnation, incarnation)


def _consume(faults: Counter[type[Message]], kind: type[Message]) -> bool:
    met = faults[kind] > 0
    faults[kind] -= met
    return met
