"""A small world for tests of power: hosts, platform, routers, requests."""

import asyncio
import math
import random

import attrs

from balsamreach.config.reader import read_settings
from balsamreach.power.manager import PowerManager, PowerParts, make_power
from balsamreach.power.rows import decode
from balsamreach.services.base import Commit, HostEntry, HostList
from balsamreach.services.faults import UNAVAILABLE, UNKNOWN
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.rows import TargetRow
from balsamreach.targets.registry import Target, Targets
from balsamreach.targets.watch import TargetWatch, WatchParts, make_watch
from balsamreach.telemetry.metrics import Metrics
from tests.fake_net import FakeNet
from tests.fake_targets import FakeHost, FakeTargets, VirtualClock, settle
from tests.passing_table import PassingTable

SERVICE = 'llm'
ZONE = 'zone-a'


@attrs.define(eq=False)
class Gate:
    """Holds whoever passes while it is shut, as a paused process is."""

    shut: bool = False
    waiting: int = 0
    _open: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def passing(self) -> None:
        """Wait while shut."""
        if self.shut:
            self.waiting += 1
            await self._open.wait()

    def open(self) -> None:
        """Let all go on."""
        self.shut = False
        self.waiting = 0
        self._open.set()
        self._open = asyncio.Event()


@attrs.define(eq=False)
class GatedTable(PassingTable):
    """Table service as one router reaches it."""

    before: Gate = attrs.field(factory=Gate)
    after: Gate = attrs.field(factory=Gate)

    async def commit(self, change: Commit):
        """Commit, held before or after it takes effect."""
        await self.before.passing()
        outcome = await super().commit(change)
        await self.after.passing()
        return outcome


@attrs.define(eq=False)
class PowerSwitch(HostList):
    """The platform's host list and switch, with faults.

    Parameters
    ----------
    keep : bool
        Whether each order to switch off is kept, to be delivered again.
    delay : float
        Seconds that a host takes to come up.
    """

    clock: VirtualClock
    hosts_by: dict[str, FakeHost]
    routers: list[HostEntry] = attrs.field(factory=list)
    gate: Gate = attrs.field(factory=Gate)
    keep: bool = False
    kept: list[tuple[str, float]] = attrs.field(factory=list)
    lose: int = 0
    down: bool = False
    omit: set[str] = attrs.field(factory=set)
    delay: float = 20
    dead: set[str] = attrs.field(factory=set)
    orders: list[tuple[str, bool, int]] = attrs.field(factory=list)
    coming: dict[str, float] = attrs.field(factory=dict)

    async def hosts(self):
        """List what is up and not omitted."""
        if self.down:
            return UNAVAILABLE
        entries = [
            HostEntry(host.address, SERVICE, ZONE, 'live', host.incarnation)
            for host in self.hosts_by.values()
            if host.up and host.address not in self.omit
        ]
        entries.extend(
            entry for entry in self.routers if entry.address not in self.omit
        )
        return tuple(entries)

    async def power(self, address, *, on, fence):
        """Switch a host, whatever the number says."""
        await self.gate.passing()
        if self.down:
            return UNAVAILABLE
        self.orders.append((address, on, fence))
        self._switch(address, on=on)
        if self.lose:
            self.lose -= 1
            return UNKNOWN
        return None

    def deliver_kept(self, longest: float = math.inf) -> None:
        """Carry out again the orders to switch off that aren't too old."""
        since = self.clock.now() - longest
        for address, taken_at in self.kept:
            if taken_at >= since:
                self.hosts_by[address].switch(on=False)
        self.kept.clear()

    def bring_up(self) -> None:
        """Let hosts come up whose time has come."""
        for address, when in tuple(self.coming.items()):
            if self.clock.now() >= when:
                self.coming.pop(address)
                self.hosts_by[address].switch(on=True)

    def _switch(self, address: str, *, on: bool) -> None:
        if on:
            if address not in self.dead and not self.hosts_by[address].up:
                when = self.clock.now() + self.delay
                self.coming.setdefault(address, when)
            return
        self.coming.pop(address, None)
        if self.keep:
            self.kept.append((address, self.clock.now()))
        self.hosts_by[address].switch(on=False)


@attrs.define(eq=False)
class WorldRouter:
    """One router of the world."""

    watch: TargetWatch
    power: PowerManager
    table: GatedTable

    @property
    def name(self) -> str:
        """Its incarnation."""
        net = self.watch.marks.net
        return net.me.incarnation

    @property
    def targets(self) -> Targets:
        """Its targets."""
        return self.watch.marks.targets

    def in_state(self, state: str) -> list[str]:
        """Return the targets in a state of power, as this router knows."""
        rows = self.power.follower.rows.values()
        records = [decode(row.value).hosts for row in rows]
        return [
            name
            for hosts in records
            for name, record in hosts.items()
            if record.state == state
        ]

    async def poll_all(self) -> None:
        """Poll every target itself."""
        for target in tuple(self.targets.by_name.values()):
            await self.watch.loads.poll(target)


@attrs.define(eq=False)
class World:
    """Routers before hosts of one service in one zone.

    ``cut`` counts requests that a switch-off ended.
    """

    count: int = 6
    up: int = 6
    overrides: tuple[str, ...] = ()
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    net: FakeNet = attrs.field(factory=FakeNet)
    metrics: Metrics = attrs.field(factory=Metrics)
    routers: list[WorldRouter] = attrs.field(factory=list)
    paused: set[str] = attrs.field(factory=set)
    running: list[tuple[Target, FakeHost, int]] = attrs.field(factory=list)
    rows: list[TargetRow] = attrs.field(init=False)
    client: FakeTargets = attrs.field(init=False)
    platform: MemoryPlatform = attrs.field(init=False)
    switch: PowerSwitch = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put up hosts and platform."""
        addresses = [f'10.0.0.{number}:80' for number in range(self.count)]
        hosts = {
            address: FakeHost(address, up=number < self.up)
            for number, address in enumerate(addresses)
        }
        self.rows = [
            TargetRow(
                name=f'host-{number}',
                address=address,
                zone=ZONE,
                service=SERVICE,
                models={'model-a': 1},
            )
            for number, address in enumerate(addresses)
        ]
        self.client = FakeTargets(self.clock, hosts)
        self.platform = MemoryPlatform.start(self.clock)
        self.switch = PowerSwitch(self.clock, hosts)

    @property
    def hosts(self) -> list[FakeHost]:
        """All hosts."""
        return list(self.client.hosts.values())

    @property
    def cut(self) -> int:
        """Requests cut by switching a host off."""
        return sum(host.cut for host in self.hosts)

    def add_router(self, name: str, zone: str = ZONE) -> WorldRouter:
        """Start a router."""
        cfg = read_settings(None, (f'host.zone={zone}', *self.overrides))
        targets = Targets(warm_time=cfg.power.warm_time)
        targets.update(self.rows)
        net = self.net.join(name, zone)
        self.switch.routers.append(HostEntry(net.me.address, 'router', zone))
        table = GatedTable(self.platform.table)
        watch = make_watch(
            WatchParts(
                cfg=cfg,
                targets=targets,
                client=self.client,
                net=net,
                hosts=self.switch,
                clock=self.clock,
                rng=random.Random(1),
                metrics=self.metrics,
            )
        )
        power = make_power(
            PowerParts(
                cfg=cfg,
                marks=watch.marks,
                client=self.client,
                hosts=self.switch,
                weights=self.platform.weights,
                service=table,
                clock=self.clock,
                rng=random.Random(2),
                metrics=self.metrics,
            )
        )
        router = WorldRouter(watch, power, table)
        self.routers.append(router)
        return router

    async def poll(self) -> None:
        """Let all routers poll targets and power rows once."""
        for router in self._awake():
            await router.power.follower.follow_once()
            await router.watch.loads.poll_once()
            router.watch.marks.catch_up()
        await self.net.settle()

    async def round(self, seconds: float = 5) -> None:
        """Poll, decide and let time pass."""
        self.switch.bring_up()
        await self.poll()
        for router in self._awake():
            await self.step(router)
        await self.net.settle()
        await self.clock.advance(seconds)

    async def rounds(self, number: int) -> None:
        """Go on for some rounds."""
        for _ in range(number):
            await self.round()

    async def step(self, router: WorldRouter) -> asyncio.Task:
        """Let a router decide; it may hang where a gate is shut."""
        task = asyncio.create_task(router.power.step_all())
        await settle()
        return task

    def send(self, router: WorldRouter, choice: int = 0) -> bool:
        """Send one request to a target that the router would choose."""
        able = [
            target
            for target in router.targets.among(self.rows)
            if target.suspended_until <= self.clock.now()
        ]
        if not able:
            return False
        target = min(able, key=lambda one: (one.in_flight, one.name))
        if choice:
            target = able[choice % len(able)]
        host = self.client.hosts[target.row.address]
        if not host.up or host.leaving:
            # No connection, or refused by the target: not run.
            return False
        target.in_flight += 1
        host.running += 1
        self.running.append((target, host, host.start))
        return True

    def end_one(self, index: int = 0) -> None:
        """Let one request end."""
        if not self.running:
            return
        target, host, start = self.running.pop(index % len(self.running))
        target.in_flight -= 1
        if host.up and host.start == start:
            host.running -= 1

    def end_all(self) -> None:
        """Let all requests end."""
        while self.running:
            self.end_one()

    def _awake(self) -> list[WorldRouter]:
        return [one for one in self.routers if one.name not in self.paused]
