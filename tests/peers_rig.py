"""Runs several TcpPeerNets in one process, with sockets and a fake clock."""

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

_STEP_SECONDS = 0.125
_MAX_STEPS = 2000
_YIELDS_PER_STEP = 30


@attrs.define
class FakeHostList(HostList):
    """A host list with entries set by the test."""

    entries: tuple[HostEntry, ...] = ()
    away: bool = False

    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return the entries, or a fault while ``away`` is set."""
        return UNREACHABLE if self.away else self.entries

    async def power(
        self,
        address: str,
        *,
        on: bool,
        fence: int,
    ) -> PlatformFault | None:
        """Fail: routers give no power orders."""
        return UNREACHABLE


@attrs.define(eq=False)
class Rig:
    """Creates nets and advances the clock that they share."""

    clock: FakeClock = attrs.field(factory=FakeClock)
    hosts: FakeHostList = attrs.field(factory=FakeHostList)
    step_seconds: float = _STEP_SECONDS
    nets: list[TcpPeerNet] = attrs.field(factory=list)

    async def start(
        self,
        name: str,
        *overrides: str,
        zone: str = 'zone-a',
        started: float = 0,
    ) -> TcpPeerNet:
        """Start the net of a router; ``overrides`` apply to its settings."""
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
        """Create a net without starting it."""
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
        """Advance the clock by one step and run the event loop."""
        self.clock.advance(self.step_seconds)
        for _ in range(_YIELDS_PER_STEP):
            await asyncio.sleep(0)

    async def steps(self, seconds: float) -> None:
        """Advance the clock step by step for some seconds."""
        for _ in range(round(seconds / self.step_seconds)):
            await self.step()

    async def until(self, check) -> None:
        """Advance the clock step by step until a check is true."""
        for _ in range(_MAX_STEPS):
            if check():
                return
            await self.step()
        raise AssertionError('the condition was not met in time')

    async def stop(self) -> None:
        """Stop all nets without waiting for each other."""
        for net in self.nets:
            await crash(net)


async def crash(net: TcpPeerNet) -> None:
    """Stop a net as if its process had been killed."""
    net._listener.stop()
    if net._maintenance is not None:
        net._maintenance.cancel()
    net.link_manager.stopping = True
    await net.link_manager.tasks.cancel()


def names(net: TcpPeerNet) -> set[str]:
    """Return the incarnations that a net believes alive."""
    return {member.incarnation for member in net.members()}


def linked(net: TcpPeerNet) -> set[str]:
    """Return the incarnations of a net's neighbours."""
    return {member.incarnation for member in net.neighbours()}
