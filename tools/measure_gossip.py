"""Measure the traffic of a router's membership list, by fleet size.

Runs the membership lists, gossip and neighbour choice of a whole fleet in one
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
from balsamreach.peers.base import Handler, PeerNet
from balsamreach.peers.faults import NO_ANSWER, PeerFault
from balsamreach.peers.gossip import Gossip
from balsamreach.peers.maintenance import COMPARE_EVERY
from balsamreach.peers.membership import Membership
from balsamreach.peers.neighbours import Rings
from balsamreach.peers.rendezvous import home_in_zone
from balsamreach.wire.base import Message
from balsamreach.wire.codec import Envelope, encode
from balsamreach.wire.framing import LENGTH_BYTES
from balsamreach.wire.membership import Heartbeat, Member

_DAY_S = 86400
_RESTARTS_PER_DAY = 4100
_FAILURES_PER_DAY = 58
_FULL_FLEET = 910
_ROUTERS_PER_ZONE = 34
_MAX_PEERS = 16
_STEP_S = 0.5
_TCP_IP_HEADER_BYTES = 52


@attrs.define
class SimulatedClock(Clock):
    """A clock that the simulation sets."""

    seconds: float = 0

    def now(self) -> float:
        """Return the simulated time."""
        return self.seconds

    def wall(self) -> float:
        """Return the simulated time."""
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        """Return at once."""


@attrs.define(eq=False)
class Fleet:
    """All routers of the simulation, and counters of their messages."""

    clock: SimulatedClock = attrs.field(factory=SimulatedClock)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    nets: dict[str, 'SimulatedNet'] = attrs.field(factory=dict)
    sent: Counter[str] = attrs.field(factory=Counter)
    sent_bytes: Counter[str] = attrs.field(factory=Counter)
    started: int = 0

    def add_router(self) -> 'SimulatedNet':
        """Add a router that knows no other router, and return it."""
        self.started += 1
        zones = max(1, _FULL_FLEET // _ROUTERS_PER_ZONE)
        member = Member(
            incarnation=f'{self.rng.getrandbits(128):032x}',
            host=f'router-{self.started}',
            address=f'10.0.{self.started // 250}.{self.started % 250}:8082',
            zone=f'zone-{self.started % zones:02}',
            started=self.clock.wall(),
        )
        net = SimulatedNet(member, self, Membership(member, self.clock))
        net.gossip = Gossip(net.membership, net)
        net.gossip.start()
        self.nets[member.incarnation] = net
        return net

    def choose_neighbours(self) -> None:
        """Choose the neighbours of all routers again."""
        rings = Rings((net.me for net in self.nets.values()), _MAX_PEERS)
        for net in self.nets.values():
            net.linked = {}
        for net in self.nets.values():
            for other in rings.choose(net.me):
                net.linked[other.incarnation] = other
                self.nets[other.incarnation].linked[net.me.incarnation] = net.me

    def count(self, message: Message, ask: int = 0) -> None:
        """Count a message and the bytes of its frame."""
        packed = encode(Envelope(message, ask))
        assert isinstance(packed, bytes), packed
        kind = type(message).__name__
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(packed) + LENGTH_BYTES


@attrs.define(eq=False)
class SimulatedNet(PeerNet):
    """Peer network of one router that delivers messages by calls."""

    fleet: Fleet
    membership: Membership
    gossip: Gossip = attrs.field(init=False)
    linked: dict[str, Member] = attrs.field(factory=dict)
    inbox: list[tuple[Member, Message]] = attrs.field(factory=list)
    handlers: dict[type[Message], Handler] = attrs.field(factory=dict)

    def members(self) -> tuple[Member, ...]:
        """Return the routers known to be alive."""
        return self.membership.alive()

    def neighbours(self) -> tuple[Member, ...]:
        """Return the linked routers."""
        return tuple(self.linked.values())

    def home(self, key: str) -> Member:
        """Return the home of a key in this zone."""
        return home_in_zone(key, self.members(), self.me.zone) or self.me

    def on(self, kind: type[Message], handler: Handler) -> None:
        """Register a message handler."""
        self.handlers[kind] = handler

    async def ask(
        self,
        incarnation: str,
        message: Message,
        timeout_gaps: int = 1,
    ) -> Message | PeerFault:
        """Call the handler of another router and return its answer."""
        net = self.fleet.nets.get(incarnation)
        if net is None:
            return NO_ANSWER
        self.fleet.count(message, ask=1)
        answer = await net.handlers[type(message)](self.me, message)
        assert answer is not None
        self.fleet.count(answer, ask=1)
        return answer

    def tell(self, incarnation: str, message: Message) -> bool:
        """Queue a message at another router."""
        net = self.fleet.nets.get(incarnation)
        if net is None:
            return False
        self.fleet.count(message)
        net.inbox.append((self.me, message))
        return True

    def tell_neighbours(self, message: Message, exclude: str = '') -> None:
        """Send a message to all neighbours."""
        for member in self.neighbours():
            if member.incarnation != exclude:
                self.tell(member.incarnation, message)

    async def run_step(self) -> None:
        """Handle received messages, send updates, sometimes compare lists."""
        inbox = self.inbox
        self.inbox = []
        for member, message in inbox:
            await self.handlers[type(message)](member, message)
        self.gossip.flush()
        if self.linked and self.fleet.rng.random() < _STEP_S / COMPARE_EVERY:
            other = self.fleet.rng.choice(tuple(self.linked))
            await self.gossip.sync_with(other)


async def churn(fleet: Fleet, rng: random.Random) -> None:
    """Restart a router, or let it fail and replace it."""
    removed = fleet.nets.pop(rng.choice(tuple(fleet.nets)))
    graceful = rng.random() < _RESTARTS_PER_DAY / (
        _RESTARTS_PER_DAY + _FAILURES_PER_DAY
    )
    neighbours = tuple(removed.linked)
    if graceful:
        left_member = removed.membership.change_me(leaving=True, dead=True)
        removed.gossip.queue_update(left_member)
        removed.gossip.flush()
    else:
        for name in neighbours:
            net = fleet.nets[name]
            net.membership.mark_dead(removed.me.incarnation)
            dead = net.membership.find(removed.me.incarnation)
            net.gossip.queue_update(dead or removed.me)
    fleet.add_router()
    fleet.choose_neighbours()
    newest = tuple(fleet.nets.values())[-1]
    for other in tuple(newest.linked):
        fleet.nets[other].gossip.merge_reports(
            (newest.me,), newest.me.incarnation
        )
        await newest.gossip.sync_with(other)


def add_routers(fleet: Fleet, size: int) -> None:
    """Fill the fleet with routers that know each other."""
    for _ in range(size):
        fleet.add_router()
    members = tuple(net.me for net in fleet.nets.values())
    for net in fleet.nets.values():
        for member in members:
            net.membership.merge(member)
    fleet.choose_neighbours()


async def run(size: int, seconds: int) -> dict[str, object]:
    """Simulate a fleet for some seconds of simulated time."""
    fleet = Fleet()
    add_routers(fleet, size)
    rng = random.Random(2)
    churn_probability = (
        (_RESTARTS_PER_DAY + _FAILURES_PER_DAY)
        / _DAY_S
        * size
        / _FULL_FLEET
        * _STEP_S
    )
    churn_events = 0
    used = time.process_time()
    for _ in range(round(seconds / _STEP_S)):
        fleet.clock.seconds += _STEP_S
        if rng.random() < churn_probability:
            churn_events += 1
            await churn(fleet, rng)
        for net in tuple(fleet.nets.values()):
            await net.run_step()
    used = time.process_time() - used
    return report(fleet, size, seconds, churn_events) | {
        'simulation_cpu_seconds': round(used, 1),
    }


def report(
    fleet: Fleet,
    size: int,
    seconds: int,
    churn_events: int,
) -> dict[str, object]:
    """Return the bytes per second that one router sends, by kind."""
    links = sum(len(net.linked) for net in fleet.nets.values()) / size
    heartbeats = links / _STEP_S
    heartbeat_bytes = heartbeats * heartbeat_size()
    gossip = sum(fleet.sent_bytes.values()) / size / seconds
    messages = sum(fleet.sent.values()) / size / seconds
    headers = (heartbeats + messages) * _TCP_IP_HEADER_BYTES
    return {
        'routers': size,
        'churn_events': churn_events,
        'links': round(links, 1),
        'heartbeats_bytes_s': round(heartbeat_bytes),
        'gossip_bytes_s': round(gossip),
        'sent_bytes_s': round(heartbeat_bytes + gossip),
        'with_tcp_ip_headers_bytes_s': round(
            heartbeat_bytes + gossip + headers
        ),
        'kinds_bytes_s': {
            kind: round(sent_bytes / size / seconds, 1)
            for kind, sent_bytes in fleet.sent_bytes.items()
        },
        'lists_equal_to_truth': f'{count_complete(fleet)}/{size}',
    }


def heartbeat_size() -> int:
    """Return the size of a heartbeat's frame in bytes."""
    packed = encode(Envelope(Heartbeat(123456)))
    assert isinstance(packed, bytes), packed
    return len(packed) + LENGTH_BYTES


def count_complete(fleet: Fleet) -> int:
    """Return how many routers know exactly the running ones."""
    running = set(fleet.nets)
    return sum(
        {member.incarnation for member in net.members()} == running
        for net in fleet.nets.values()
    )


def main() -> None:
    """Print the report of one fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('routers', type=int)
    parser.add_argument('--seconds', type=int, default=300)
    args = parser.parse_args()
    report_line = json.dumps(asyncio.run(run(args.routers, args.seconds)))
    sys.stdout.write(f'{report_line}\n')


if __name__ == '__main__':
    main()
