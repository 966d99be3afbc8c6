"""Measure what keeping the list of routers costs a daemon, by fleet size.

Runs the real lists, gossip and choice of neighbours of a whole fleet in one
process; only the connections are replaced by calls. Prints one JSON line.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet, Taker
from balsamreach.peers.faults import NO_ANSWER, PeerFault
from balsamreach.peers.gossip import Gossip
from balsamreach.peers.homes import home_of
from balsamreach.peers.membership import Membership
from balsamreach.peers.neighbours import Rings
from balsamreach.peers.upkeep import COMPARE_EVERY
from balsamreach.wire.base import Message
from balsamreach.wire.codec import Envelope, encode
from balsamreach.wire.framing import LENGTH_BYTES
from balsamreach.wire.membership import Heartbeat, Member

_DAY = 86400
_RESTARTS = 4100
_FAILURES = 58
_FULL_SIZE = 910
_ROUTERS_PER_ZONE = 34
_MAX_PEERS = 16
_TURN = 0.5
_TCP_IP_HEADERS = 52


@attrs.define
class SetClock(Clock):
    """A clock that the measurement sets."""

    seconds: float = 0

    def now(self) -> float:
        """Return the time set."""
        return self.seconds

    def wall(self) -> float:
        """Return the same."""
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        """Return at once."""


@attrs.define(eq=False)
class Fleet:
    """All routers, and what they sent."""

    clock: SetClock = attrs.field(factory=SetClock)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    nets: dict[str, 'CalledNet'] = attrs.field(factory=dict)
    sent: Counter[str] = attrs.field(factory=Counter)
    octets: Counter[str] = attrs.field(factory=Counter)
    started: int = 0

    def join(self) -> 'CalledNet':
        """Add a router that knows only itself."""
        self.started += 1
        zones = max(1, _FULL_SIZE // _ROUTERS_PER_ZONE)
        member = Member(
            incarnation=f'{self.rng.getrandbits(128):032x}',
            host=f'router-{self.started}',
            address=f'10.0.{self.started // 250}.{self.started % 250}:8082',
            zone=f'zone-{self.started % zones:02}',
            started=self.clock.wall(),
        )
        net = CalledNet(member, self, Membership(member, self.clock))
        net.gossip = Gossip(net.membership, net)
        net.gossip.start()
        self.nets[member.incarnation] = net
        return net

    def connect(self) -> None:
        """Let everyone choose its neighbours anew."""
        rings = Rings((net.me for net in self.nets.values()), _MAX_PEERS)
        for net in self.nets.values():
            net.linked = {}
        for net in self.nets.values():
            for other in rings.choose(net.me):
                net.linked[other.incarnation] = other
                self.nets[other.incarnation].linked[net.me.incarnation] = net.me

    def count(self, message: Message, ask: int = 0) -> None:
        """Count a message by the size of its frame."""
        packed = encode(Envelope(message, ask))
        assert isinstance(packed, bytes), packed
        kind = type(message).__name__
        self.sent[kind] += 1
        self.octets[kind] += len(packed) + LENGTH_BYTES


@attrs.define(eq=False)
class CalledNet(PeerNet):
    """A router whose messages arrive by calls."""

    fleet: Fleet
    membership: Membership
    gossip: Gossip = attrs.field(init=False)
    linked: dict[str, Member] = attrs.field(factory=dict)
    inbox: list[tuple[Member, Message]] = attrs.field(factory=list)
    takers: dict[type[Message], Taker] = attrs.field(factory=dict)

    def members(self) -> tuple[Member, ...]:
        """Return the routers known."""
        return self.membership.alive()

    def neighbours(self) -> tuple[Member, ...]:
        """Return the chosen ones."""
        return tuple(self.linked.values())

    def home(self, key: str) -> Member:
        """Return a key's home."""
        return home_of(key, self.members(), self.me.zone) or self.me

    def on(self, kind: type[Message], taker: Taker) -> None:
        """Name a taker."""
        self.takers[kind] = taker

    async def ask(
        self,
        incarnation: str,
        message: Message,
        gaps: int = 1,
    ) -> Message | PeerFault:
        """Call the taker there."""
        net = self.fleet.nets.get(incarnation)
        if net is None:
            return NO_ANSWER
        self.fleet.count(message, ask=1)
        answer = await net.takers[type(message)](self.me, message)
        assert answer is not None
        self.fleet.count(answer, ask=1)
        return answer

    def tell(self, incarnation: str, message: Message) -> bool:
        """Queue a message there."""
        net = self.fleet.nets.get(incarnation)
        if net is None:
            return False
        self.fleet.count(message)
        net.inbox.append((self.me, message))
        return True

    def spread(self, message: Message, besides: str = '') -> None:
        """Tell all neighbours."""
        for member in self.neighbours():
            if member.incarnation != besides:
                self.tell(member.incarnation, message)

    async def turn(self) -> None:
        """Take what came, send news, and now and then compare."""
        inbox = self.inbox
        self.inbox = []
        for member, message in inbox:
            await self.takers[type(message)](member, message)
        self.gossip.flush()
        if self.linked and self.fleet.rng.random() < _TURN / COMPARE_EVERY:
            other = self.fleet.rng.choice(tuple(self.linked))
            await self.gossip.compare(other)


async def churn(fleet: Fleet, rng: random.Random) -> None:
    """Restart a router, or let one fail and another take its place."""
    victim = fleet.nets.pop(rng.choice(tuple(fleet.nets)))
    graceful = rng.random() < _RESTARTS / (_RESTARTS + _FAILURES)
    neighbours = tuple(victim.linked)
    if graceful:
        gone = victim.membership.change_me(leaving=True, dead=True)
        victim.gossip.tell(gone)
        victim.gossip.flush()
    else:
        for name in neighbours:
            net = fleet.nets[name]
            net.membership.bury(victim.me.incarnation)
            dead = net.membership.find(victim.me.incarnation)
            net.gossip.tell(dead or victim.me)
    fleet.join()
    fleet.connect()
    newest = tuple(fleet.nets.values())[-1]
    for other in tuple(newest.linked):
        fleet.nets[other].gossip.learn((newest.me,), newest.me.incarnation)
        await newest.gossip.compare(other)


def load(fleet: Fleet, size: int) -> None:
    """Start with a fleet whose routers know each other."""
    for _ in range(size):
        fleet.join()
    members = tuple(net.me for net in fleet.nets.values())
    for net in fleet.nets.values():
        for member in members:
            net.membership.merge(member)
    fleet.connect()


async def run(size: int, seconds: int) -> dict[str, object]:
    """Run a fleet for so many seconds of its own time."""
    fleet = Fleet()
    load(fleet, size)
    rng = random.Random(2)
    per_turn = (_RESTARTS + _FAILURES) / _DAY * size / _FULL_SIZE * _TURN
    events = 0
    used = time.process_time()
    for _ in range(round(seconds / _TURN)):
        fleet.clock.seconds += _TURN
        if rng.random() < per_turn:
            events += 1
            await churn(fleet, rng)
        for net in tuple(fleet.nets.values()):
            await net.turn()
    used = time.process_time() - used
    return report(fleet, size, seconds, events) | {
        'simulation_cpu_seconds': round(used, 1),
    }


def report(
    fleet: Fleet,
    size: int,
    seconds: int,
    events: int,
) -> dict[str, object]:
    """Return bytes a second that one daemon sends, by kind."""
    links = sum(len(net.linked) for net in fleet.nets.values()) / size
    beats = links / _TURN
    beat_octets = beats * heartbeat_size()
    gossip = sum(fleet.octets.values()) / size / seconds
    messages = sum(fleet.sent.values()) / size / seconds
    headers = (beats + messages) * _TCP_IP_HEADERS
    return {
        'routers': size,
        'churn_events': events,
        'links': round(links, 1),
        'heartbeats_bytes_s': round(beat_octets),
        'gossip_bytes_s': round(gossip),
        'sent_bytes_s': round(beat_octets + gossip),
        'with_tcp_ip_headers_bytes_s': round(beat_octets + gossip + headers),
        'kinds_bytes_s': {
            kind: round(octets / size / seconds, 1)
            for kind, octets in fleet.octets.items()
        },
        'lists_equal_to_truth': f'{count_equal(fleet)}/{size}',
    }


def heartbeat_size() -> int:
    """Return the bytes of a heartbeat's frame."""
    packed = encode(Envelope(Heartbeat(123456)))
    assert isinstance(packed, bytes), packed
    return len(packed) + LENGTH_BYTES


def count_equal(fleet: Fleet) -> int:
    """Return how many routers know exactly those that live."""
    truth = set(fleet.nets)
    return sum(
        {member.incarnation for member in net.members()} == truth
        for net in fleet.nets.values()
    )


def main() -> None:
    """Print the report of one size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('routers', type=int)
    parser.add_argument('--seconds', type=int, default=300)
    args = parser.parse_args()
    report_line = json.dumps(asyncio.run(run(args.routers, args.seconds)))
    sys.stdout.write(f'{report_line}\n')


if __name__ == '__main__':
    main()
