"""Routers in one process and in virtual time, for measuring rates."""

from collections import Counter, deque

import attrs

from balsamreach.peers.base import Handler, PeerNet
from balsamreach.peers.faults import NO_ANSWER, PeerFault
from balsamreach.peers.neighbours import Rings
from balsamreach.peers.rendezvous import highest_weight_member, pick_local
from balsamreach.wire.base import Message
from balsamreach.wire.codec import Envelope, decode, encode
from balsamreach.wire.framing import LENGTH_BYTES
from balsamreach.wire.membership import Member
from tools.measure_gossip import SimulatedClock

ZONE = 34
_MAX_PEERS = 16
_MOST_HOPS = 8


@attrs.define(eq=False)
class Fabric:
    """Carries messages, and counts the bytes that each router sends.

    Parameters
    ----------
    routers : int
        Routers of the fleet, in zones of 34.
    seed : int
        Seed of their incarnations.
    decodes : bool
        Whether each message is encoded and decoded, as on a link.
    """

    routers: int
    seed: int
    decodes: bool = False
    clock: SimulatedClock = attrs.field(factory=SimulatedClock)
    nets: dict[str, 'SimulatedNet'] = attrs.field(factory=dict)
    sent: Counter[str] = attrs.field(factory=Counter)
    octets: Counter[str] = attrs.field(factory=Counter)
    links: set[frozenset[str]] = attrs.field(factory=set)
    sides: dict[str, int] = attrs.field(factory=dict)
    dead: set[str] = attrs.field(factory=set)
    _waiting: deque = attrs.field(factory=deque)

    def __attrs_post_init__(self) -> None:
        zones = max(1, round(self.routers / ZONE))
        for number in range(self.routers):
            member = Member(
                incarnation=f'{self.seed:04x}{number * 7919 + 1:028x}',
                host=f'router-{number}',
                address=f'10.0.{number // 250}.{number % 250}:8082',
                zone=f'zone-{number % zones:02}',
                started=1,
            )
            self.nets[member.incarnation] = SimulatedNet(member, self)
        self.see()

    def see(self) -> None:
        """Let everyone know who is alive on its side, and who is gone."""
        for net in self.nets.values():
            name = net.me.incarnation
            side = self.sides.get(name, 0)
            near = [
                other.me
                for other in self.nets.values()
                if self.sides.get(other.me.incarnation, 0) == side
                and other.me.incarnation not in self.dead
            ]
            net.know(near, [one.me for one in self.nets.values()])
        sides = {self.sides.get(name, 0) for name in self.nets}
        for group in sorted(sides):
            self._link(group)

    def post(self, source: Member, name: str, message: Message) -> None:
        """Send a message; cuts and deaths swallow it."""
        self.sent[source.incarnation] += 1
        if self.decodes:
            packed = encode(Envelope(message))
            assert isinstance(packed, bytes), packed
            self.octets[source.incarnation] += len(packed) + LENGTH_BYTES
            envelope = decode(packed)
            assert isinstance(envelope, Envelope), envelope
            message = envelope.message
        pair = (source.incarnation, name)
        self.links.add(frozenset(pair))
        sides = {self.sides.get(one, 0) for one in pair}
        if len(sides) == 1 and not self.dead.intersection(pair):
            self._waiting.append((source, name, message))

    def forget(self) -> None:
        """Count from now on."""
        self.sent.clear()
        self.octets.clear()

    def links_each(self) -> list[int]:
        """Return how many routers each has sent to or heard of."""
        ends = Counter(name for link in self.links for name in link)
        return list(ends.values())

    async def deliver(self) -> None:
        """Deliver what waits and what that causes, some steps far."""
        for _ in range(_MOST_HOPS):
            if not self._waiting:
                return
            waiting = self._waiting
            self._waiting = deque()
            for source, name, message in waiting:
                net = self.nets[name]
                await net.handlers[type(message)](source, message)

    def _link(self, group: int) -> None:
        nets = [
            net
            for name, net in self.nets.items()
            if self.sides.get(name, 0) == group and name not in self.dead
        ]
        rings = Rings((net.me for net in nets), _MAX_PEERS)
        for net in nets:
            net.linked = {}
        for net in nets:
            for other in rings.choose(net.me):
                net.linked[other.incarnation] = other
                self.nets[other.incarnation].linked[net.me.incarnation] = net.me


@attrs.define(eq=False)
class SimulatedNet(PeerNet):
    """One router's net."""

    fabric: Fabric
    linked: dict[str, Member] = attrs.field(factory=dict)
    handlers: dict[type[Message], Handler] = attrs.field(factory=dict)
    _alive: tuple[Member, ...] = ()
    _gone: tuple[Member, ...] = ()
    _homes: dict[str, Member] = attrs.field(factory=dict)

    def know(self, alive: list[Member], every: list[Member]) -> None:
        """Hold these to be alive, and the others to be dead."""
        names = {member.incarnation for member in alive}
        self._alive = tuple(alive)
        self._gone = tuple(one for one in every if one.incarnation not in names)
        self._homes = {}

    def members(self) -> tuple[Member, ...]:
        """Return the routers held to be alive."""
        return self._alive

    def dead_members(self) -> tuple[Member, ...]:
        """Return the routers held to be dead."""
        return self._gone

    def neighbours(self) -> tuple[Member, ...]:
        """Return the linked routers."""
        return tuple(self.linked.values())

    def home(self, key: str) -> Member:
        """Return a key's home in the zone."""
        if key not in self._homes:
            local = pick_local(self._alive, self.me.zone)
            self._homes[key] = highest_weight_member(key, local) or self.me
        return self._homes[key]

    def on(self, kind: type[Message], handler: Handler) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    async def ask(
        self,
        incarnation: str,
        message: Message,
        timeout_gaps: int = 1,
    ) -> Message | PeerFault:
        """Answer nothing; rates ask nobody."""
        return NO_ANSWER

    def tell(self, incarnation: str, message: Message) -> bool:
        """Send a message."""
        self.fabric.post(self.me, incarnation, message)
        return True

    def tell_neighbours(self, message: Message, exclude: str = '') -> None:
        """Send to the linked routers."""
        for name in tuple(self.linked):
            if name != exclude:
                self.tell(name, message)
