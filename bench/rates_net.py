"""Simulated peer network in virtual time, for the rate benchmarks."""

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

ROUTERS_PER_ZONE = 34
_MAX_PEERS = 16
_MAX_ROUNDS = 8


@attrs.define(eq=False)
class SimulatedNetwork:
    """Delivers messages and counts those that each router sends.

    Parameters
    ----------
    routers : int
        Number of routers, in zones of about 34.
    seed : int
        Seed of the routers' incarnations.
    decodes : bool
        Whether each message is encoded and decoded, as on a link; bytes are
        only counted then.
    """

    routers: int
    seed: int
    decodes: bool = False
    clock: SimulatedClock = attrs.field(factory=SimulatedClock)
    nets: dict[str, 'SimulatedNet'] = attrs.field(factory=dict)
    sent: Counter[str] = attrs.field(factory=Counter)
    sent_bytes: Counter[str] = attrs.field(factory=Counter)
    links: set[frozenset[str]] = attrs.field(factory=set)
    sides: dict[str, int] = attrs.field(factory=dict)
    dead: set[str] = attrs.field(factory=set)
    _queue: deque = attrs.field(factory=deque)

    def __attrs_post_init__(self) -> None:
        zones = max(1, round(self.routers / ROUTERS_PER_ZONE))
        for number in range(self.routers):
            member = Member(
                incarnation=f'{self.seed:04x}{number * 7919 + 1:028x}',
                host=f'router-{number}',
                address=f'10.0.{number // 250}.{number % 250}:8082',
                zone=f'zone-{number % zones:02}',
                started=1,
            )
            self.nets[member.incarnation] = SimulatedNet(member, self)
        self.update_members()

    def update_members(self) -> None:
        """Update each router's members and links after a cut or a death."""
        for net in self.nets.values():
            incarnation = net.me.incarnation
            side = self.sides.get(incarnation, 0)
            reachable = [
                other.me
                for other in self.nets.values()
                if self.sides.get(other.me.incarnation, 0) == side
                and other.me.incarnation not in self.dead
            ]
            net.set_members(reachable, [one.me for one in self.nets.values()])
        sides = {self.sides.get(incarnation, 0) for incarnation in self.nets}
        for group in sorted(sides):
            self._link(group)

    def send(self, source: Member, incarnation: str, message: Message) -> None:
        """Queue a message; drop it if the receiver is cut off or dead."""
        self.sent[source.incarnation] += 1
        if self.decodes:
            packed = encode(Envelope(message))
            assert isinstance(packed, bytes), packed
            self.sent_bytes[source.incarnation] += len(packed) + LENGTH_BYTES
            envelope = decode(packed)
            assert isinstance(envelope, Envelope), envelope
            message = envelope.message
        pair = (source.incarnation, incarnation)
        self.links.add(frozenset(pair))
        sides = {self.sides.get(one, 0) for one in pair}
        if len(sides) == 1 and not self.dead.intersection(pair):
            self._queue.append((source, incarnation, message))

    def reset_counts(self) -> None:
        """Reset the counts of messages and bytes."""
        self.sent.clear()
        self.sent_bytes.clear()

    def links_per_router(self) -> list[int]:
        """Return the number of routers that each exchanged messages with."""
        ends = Counter(
            incarnation for link in self.links for incarnation in link
        )
        return list(ends.values())

    async def deliver(self) -> None:
        """Deliver queued messages and those sent in response.

        Stops after `_MAX_ROUNDS` rounds.
        """
        for _ in range(_MAX_ROUNDS):
            if not self._queue:
                return
            queue = self._queue
            self._queue = deque()
            for source, incarnation, message in queue:
                net = self.nets[incarnation]
                await net.handlers[type(message)](source, message)

    def _link(self, group: int) -> None:
        nets = [
            net
            for incarnation, net in self.nets.items()
            if self.sides.get(incarnation, 0) == group
            and incarnation not in self.dead
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
    """Peer network of one router."""

    network: SimulatedNetwork
    linked: dict[str, Member] = attrs.field(factory=dict)
    handlers: dict[type[Message], Handler] = attrs.field(factory=dict)
    _alive: tuple[Member, ...] = ()
    _dead: tuple[Member, ...] = ()
    _homes: dict[str, Member] = attrs.field(factory=dict)

    def set_members(self, alive: list[Member], every: list[Member]) -> None:
        """Set the members; all other routers count as dead."""
        names = {member.incarnation for member in alive}
        self._alive = tuple(alive)
        self._dead = tuple(one for one in every if one.incarnation not in names)
        self._homes = {}

    def members(self) -> tuple[Member, ...]:
        """Return the routers that count as alive."""
        return self._alive

    def dead_members(self) -> tuple[Member, ...]:
        """Return the routers that count as dead."""
        return self._dead

    def neighbours(self) -> tuple[Member, ...]:
        """Return the linked routers."""
        return tuple(self.linked.values())

    def home(self, key: str) -> Member:
        """Return the home router of a key in the own zone."""
        if key not in self._homes:
            local = pick_local(self._alive, self.me.zone)
            self._homes[key] = highest_weight_member(key, local) or self.me
        return self._homes[key]

    def on(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler of a message type."""
        self.handlers[kind] = handler

    async def ask(
        self,
        incarnation: str,
        message: Message,
        timeout_gaps: int = 1,
    ) -> Message | PeerFault:
        """Return `NO_ANSWER`, since rate limits send no requests."""
        return NO_ANSWER

    def tell(self, incarnation: str, message: Message) -> bool:
        """Send a message."""
        self.network.send(self.me, incarnation, message)
        return True

    def tell_neighbours(self, message: Message, exclude: str = '') -> None:
        """Send a message to all linked routers but one."""
        for incarnation in tuple(self.linked):
            if incarnation != exclude:
                self.tell(incarnation, message)
