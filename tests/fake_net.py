"""A net of routers in one process, with faults under the test's control.

Nothing runs by itself: what is told waits until ``settle`` delivers it.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable

import attrs

from balsamreach.peers.base import HubChoice, PeerNet, Taker
from balsamreach.peers.faults import (
    NO_ANSWER,
    NOT_CONNECTED,
    PEER_REFUSED,
    PeerFault,
)
from balsamreach.peers.homes import home_of
from balsamreach.peers.hubs import pick_hubs
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member


@attrs.frozen
class _Told:
    source: Member
    incarnation: str
    message: Message

    @property
    def kind(self) -> type[Message]:
        return type(self.message)


@attrs.define(eq=False)
class FakeNet:
    """Joins the members of a test.

    ``lost``, ``answers_lost`` and ``doubled`` say how many of the next
    messages of a kind meet that fault; ``held`` names kinds that wait until
    ``release``. ``hubs_per_zone`` makes it a large fleet.
    """

    nets: dict[str, 'FakePeerNet'] = attrs.field(factory=dict)
    lost: Counter[type[Message]] = attrs.field(factory=Counter)
    answers_lost: Counter[type[Message]] = attrs.field(factory=Counter)
    doubled: Counter[type[Message]] = attrs.field(factory=Counter)
    held: set[type[Message]] = attrs.field(factory=set)
    sent: list[Message] = attrs.field(factory=list)
    hubs_per_zone: int = 0
    _cut: set[frozenset[str]] = attrs.field(factory=set)
    _unseen: set[frozenset[str]] = attrs.field(factory=set)
    _waiting: list[_Told] = attrs.field(factory=list)
    _released: asyncio.Event = attrs.field(factory=asyncio.Event)

    def join(self, incarnation: str, zone: str = 'zone-a') -> 'FakePeerNet':
        """Add a router named by its incarnation."""
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
        """Let a router vanish; the others hold it for dead at once."""
        del self.nets[incarnation]

    def cut(self, one_side: Iterable[str], other: Iterable[str]) -> None:
        """Let nothing pass between two groups of incarnations."""
        others = tuple(other)
        for incarnation in one_side:
            self._cut.update(
                frozenset((incarnation, beyond)) for beyond in others
            )

    def interrupt(self, one: str, other: str) -> None:
        """Let nothing pass between two members for too short to notice.

        What is told waits for the end of it, as in a connection that stands.
        """
        self._unseen.add(frozenset((one, other)))

    def heal(self) -> None:
        """Let messages pass between all members again."""
        self._cut.clear()
        self._unseen.clear()

    def reaches(self, one: str, other: str) -> bool:
        """Return whether messages pass between two members now."""
        known = one in self.nets and other in self.nets
        return known and frozenset((one, other)) not in self._cut

    def release(self) -> None:
        """Let held messages go on; told ones need a ``settle`` still."""
        self.held.clear()
        self._released.set()
        self._released = asyncio.Event()

    async def settle(self, *, newest_first: bool = False) -> None:
        """Deliver what was told, and what that causes, until all is quiet."""
        while True:
            ready = [
                told
                for told in self._waiting
                if told.kind not in self.held and not self._stalls(told)
            ]
            if not ready:
                return
            told = ready[-1 if newest_first else 0]
            self._waiting.remove(told)
            await self._deliver(told)

    def post(self, source: Member, incarnation: str, message: Message) -> None:
        """Take a message that needs no answer."""
        self.sent.append(message)
        kind = type(message)
        told = _Told(source, incarnation, message)
        if not _meets(self.lost, kind):
            self._waiting.append(told)
            if _meets(self.doubled, kind):
                self._waiting.append(told)

    async def answer(
        self,
        source: Member,
        incarnation: str,
        message: Message,
    ) -> Message | PeerFault:
        """Carry a message there and its answer back."""
        kind = type(message)
        self.sent.append(message)
        while kind in self.held:
            await self._released.wait()
        if _meets(self.lost, kind):
            return NO_ANSWER
        if not self._carries(source.incarnation, incarnation):
            return NO_ANSWER
        if _meets(self.doubled, kind):
            await self.nets[incarnation].take(source, message)
        answer = await self.nets[incarnation].take(source, message)
        if _meets(self.answers_lost, kind):
            return NO_ANSWER
        if not self._carries(source.incarnation, incarnation):
            return NO_ANSWER
        return answer

    def _carries(self, one: str, other: str) -> bool:
        unseen = frozenset((one, other)) in self._unseen
        return self.reaches(one, other) and not unseen

    def _stalls(self, told: _Told) -> bool:
        source = told.source.incarnation
        return frozenset((source, told.incarnation)) in self._unseen

    async def _deliver(self, told: _Told) -> None:
        if self.reaches(told.source.incarnation, told.incarnation):
            net = self.nets[told.incarnation]
            await net.take(told.source, told.message)


@attrs.define(eq=False)
class FakeHubs(HubChoice):
    """The hubs that the real net would choose."""

    fabric: FakeNet

    def of(self, zone: str) -> tuple[Member, ...]:
        """Return a zone's hubs."""
        return pick_hubs(self._members(), zone, self.fabric.hubs_per_zone)

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have hubs."""
        zones = sorted({member.zone for member in self._members()})
        return tuple(zones) if self.fabric.hubs_per_zone else ()

    def _members(self) -> tuple[Member, ...]:
        return tuple(net.me for net in self.fabric.nets.values())


@attrs.define(eq=False)
class FakePeerNet(PeerNet):
    """One router's view of the net; all others are its neighbours."""

    fabric: FakeNet
    takers: dict[type[Message], Taker] = attrs.field(factory=dict)

    def members(self) -> tuple[Member, ...]:
        """Return all that joined and weren't killed."""
        return tuple(net.me for net in self.fabric.nets.values())

    def neighbours(self) -> tuple[Member, ...]:
        """Return all others that no cut keeps away."""
        return tuple(
            member
            for member in self.members()
            if member != self.me and self._reaches(member.incarnation)
        )

    def home(self, key: str) -> Member:
        """Return the key's home as the real net would."""
        return home_of(key, self.members(), self.me.zone) or self.me

    def on(self, kind: type[Message], taker: Taker) -> None:
        """Name a kind's taker."""
        assert kind not in self.takers, kind
        self.takers[kind] = taker

    async def ask(
        self,
        incarnation: str,
        message: Message,
        gaps: int = 1,
    ) -> Message | PeerFault:
        """Ask a member that is in reach."""
        if not self._reaches(incarnation):
            return NOT_CONNECTED
        return await self.fabric.answer(self.me, incarnation, message)

    def tell(self, incarnation: str, message: Message) -> bool:
        """Tell a member that is in reach; ``settle`` delivers it."""
        if not self._reaches(incarnation):
            return False
        self.fabric.post(self.me, incarnation, message)
        return True

    def spread(self, message: Message, besides: str = '') -> None:
        """Tell all neighbours but one."""
        for member in self.neighbours():
            if member.incarnation != besides:
                self.tell(member.incarnation, message)

    async def take(
        self,
        source: Member,
        message: Message,
    ) -> Message | PeerFault:
        """Hand a message to its taker, as if it came over a connection."""
        taker = self.takers.get(type(message))
        answer = await taker(source, message) if taker else None
        return PEER_REFUSED if answer is None else answer

    def _reaches(self, incarnation: str) -> bool:
        return self.fabric.reaches(self.me.incarnation, incarnation)


def _meets(faults: Counter[type[Message]], kind: type[Message]) -> bool:
    met = faults[kind] > 0
    faults[kind] -= met
    return met
