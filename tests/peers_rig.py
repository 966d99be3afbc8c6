"""Routers' nets in one process, over real sockets and a clock by hand."""

import asyncio
import random

import attrs

from balsamreach.config.faults import ConfigFault
from balsamreach.config.reader import read_settings
from balsamreach.peers.discovery import Discovery
from balsamreach.peers.net import TcpPeerNet
from balsamreach.services.base import HostEntry, HostList
from balsamreach.services.faults import UNREACHABLE, PlatformFault
from balsamreach.telemetry.metrics import Metrics
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.membership import Member
from tests.support import FakeClock

_STEP = 0.125
_MOST_STEPS = 2000
_PASSES = 30


@attrs.define
class ListedHosts(HostList):
    """A host list that shows what the test says."""

    entries: tuple[HostEntry, ...] = ()
    away: bool = False

    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return the entries, or that the platform is away."""
        return UNREACHABLE if self.away else self.entries

    async def power(
        self,
        address: str,
        *,
        on: bool,
        fence: int,
    ) -> PlatformFault | None:
        """Refuse: peers order nothing."""
        return UNREACHABLE


@attrs.define(eq=False)
class Rig:
    """Makes nets and moves the clock that they share."""

    clock: FakeClock = attrs.field(factory=FakeClock)
    hosts: ListedHosts = attrs.field(factory=ListedHosts)
    pace: float = _STEP
    nets: list[TcpPeerNet] = attrs.field(factory=list)

    async def start(
        self,
        name: str,
        *overrides: str,
        zone: str = 'zone-a',
        started: float = 0,
    ) -> TcpPeerNet:
        """Start a router's net; ``overrides`` are of its settings."""
        net = self.make(name, *overrides, zone=zone, started=started)
        fault = await net.start()
        assert fault is None, fault
        return net

    def make(
        self,
        name: str,
        *overrides: str,
        zone: str = 'zone-a',
        started: float = 0,
    ) -> TcpPeerNet:
        """Make a net without starting it."""
        cfg = read_settings(
            None,
            (f'host.zone={zone}', 'peers.port=0', *overrides),
        )
        assert not isinstance(cfg, ConfigFault), cfg.reason
        net = TcpPeerNet(
            me=Member(
                incarnation=name,
                host=f'host-{name}',
                address='',
                zone=zone,
                started=started or self.clock.wall(),
            ),
            cfg=cfg,
            clock=self.clock,
            rng=random.Random(name),
            metrics=Metrics(),
            discovery=Discovery(self.hosts, cfg.peers.seeds),
            tracing=Tracing(cfg),
        )
        self.nets.append(net)
        return net

    async def step(self) -> None:
        """Move the clock a little and let everything that follows happen."""
        self.clock.advance(self.pace)
        for _ in range(_PASSES):
            await asyncio.sleep(0)

    async def steps(self, seconds: float) -> None:
        """Move the clock step by step."""
        for _ in range(round(seconds / self.pace)):
            await self.step()

    async def until(self, check) -> None:
        """Move the clock step by step until a check holds."""
        for _ in range(_MOST_STEPS):
            if check():
                return
            await self.step()
        raise AssertionError('it did not come to be')

    async def stop(self) -> None:
        """Stop all nets, none of which waits for the others."""
        for net in self.nets:
            await crash(net)


async def crash(net: TcpPeerNet) -> None:
    """End a net as if its process had been killed."""
    net._listener.stop()
    if net._upkeep is not None:
        net._upkeep.cancel()
    net.keeper.stopping = True
    await net.keeper.tasks.cancel()


def names(net: TcpPeerNet) -> set[str]:
    """Return the incarnations that a net holds to be alive."""
    return {member.incarnation for member in net.members()}


def linked(net: TcpPeerNet) -> set[str]:
    """Return the incarnations that a net has links to."""
    return {member.incarnation for member in net.neighbours()}
