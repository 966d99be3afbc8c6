"""Simulated hosts, platform, routers and requests for tests of power."""

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
    """Blocks callers while shut, like a paused process."""

    shut: bool = False
    waiting: int = 0
    _open: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def wait_until_open(self) -> None:
        """Wait while the gate is shut."""
        if self.shut:
            self.waiting += 1
            await self._open.wait()

    def open(self) -> None:
        """Let all waiting callers continue."""
        self.shut = False
        self.waiting = 0
        self._open.set()
        self._open = asyncio.Event()


@attrs.define(eq=False)
class GatedTable(PassingTable):
    """Table service as seen by one router, with gates around commits."""

    before: Gate = attrs.field(factory=Gate)
    after: Gate = attrs.field(factory=Gate)

    async def commit(self, change: Commit):
        """Commit; gates can block before or after it takes effect."""
        await self.before.wait_until_open()
        outcome = await super().commit(change)
        await self.after.wait_until_open()
        return outcome


@attrs.define(eq=False)
class FakePlatform(HostList):
    """The platform's host list and power switch, with faults.

    Parameters
    ----------
    keep_off_orders : bool
        Whether orders to switch off are kept, to be delivered again.
    delay : float
        Seconds that a host takes to start.
    """

    clock: VirtualClock
    hosts_by_address: dict[str, FakeHost]
    routers: list[HostEntry] = attrs.field(factory=list)
    gate: Gate = attrs.field(factory=Gate)
    keep_off_orders: bool = False
    kept_off_orders: list[tuple[str, float]] = attrs.field(factory=list)
    lose_answers: int = 0
    down: bool = False
    omitted: set[str] = attrs.field(factory=set)
    delay: float = 20
    never_start: set[str] = attrs.field(factory=set)
    orders: list[tuple[str, bool, int]] = attrs.field(factory=list)
    starting_at: dict[str, float] = attrs.field(factory=dict)

    async def hosts(self):
        """List the hosts that are up and not omitted."""
        if self.down:
            return UNAVAILABLE
        entries = [
            HostEntry(host.address, SERVICE, ZONE, 'live', host.incarnation)
            for host in self.hosts_by_address.values()
            if host.up and host.address not in self.omitted
        ]
        entries.extend(
            entry for entry in self.routers if entry.address not in self.omitted
        )
        return tuple(entries)

    async def power(self, address, *, on, fence):
        """Switch a host, whatever the fencing number."""
        await self.gate.wait_until_open()
        if self.down:
            return UNAVAILABLE
        self.orders.append((address, on, fence))
        self._switch(address, on=on)
        if self.lose_answers:
            self.lose_answers -= 1
            return UNKNOWN
        return None

    def redeliver_kept(self, longest: float = math.inf) -> None:
        """Repeat the kept orders to switch off that aren't too old."""
        since = self.clock.now() - longest
        for address, taken_at in self.kept_off_orders:
            if taken_at >= since:
                self.hosts_by_address[address].switch(on=False)
        self.kept_off_orders.clear()

    def bring_up(self) -> None:
        """Start the hosts whose start time has come."""
        for address, when in tuple(self.starting_at.items()):
            if self.clock.now() >= when:
                self.starting_at.pop(address)
                self.hosts_by_address[address].switch(on=True)

    def _switch(self, address: str, *, on: bool) -> None:
        if on:
            if (
                address not in self.never_start
                and not self.hosts_by_address[address].up
            ):
                when = self.clock.now() + self.delay
                self.starting_at.setdefault(address, when)
            return
        self.starting_at.pop(address, None)
        if self.keep_off_orders:
            self.kept_off_orders.append((address, self.clock.now()))
        self.hosts_by_address[address].switch(on=False)


@attrs.define(eq=False)
class RouterNode:
    """One simulated router."""

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

    def targets_in_state(self, state: str) -> list[str]:
        """Return the targets in a power state, as this router knows it."""
        rows = self.power.follower.rows.values()
        records = [decode(row.value).hosts for row in rows]
        return [
            name
            for hosts in records
            for name, record in hosts.items()
            if record.state == state
        ]

    async def poll_all(self) -> None:
        """Poll every target from this router."""
        for target in tuple(self.targets.by_name.values()):
            await self.watch.poller.poll(target)


@attrs.define(eq=False)
class World:
    """Simulated routers and the hosts of one service in one zone.

    ``aborted_requests`` counts requests that a power-off ended.
    """

    count: int = 6
    up: int = 6
    overrides: tuple[str, ...] = ()
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    net: FakeNet = attrs.field(factory=FakeNet)
    metrics: Metrics = attrs.field(factory=Metrics)
    routers: list[RouterNode] = attrs.field(factory=list)
    paused: set[str] = attrs.field(factory=set)
    running: list[tuple[Target, FakeHost, int]] = attrs.field(factory=list)
    rows: list[TargetRow] = attrs.field(init=False)
    client: FakeTargets = attrs.field(init=False)
    platform: MemoryPlatform = attrs.field(init=False)
    switch: FakePlatform = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the hosts and the platform."""
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
        self.switch = FakePlatform(self.clock, hosts)

    @property
    def hosts(self) -> list[FakeHost]:
        """All hosts."""
        return list(self.client.hosts.values())

    @property
    def aborted_requests(self) -> int:
        """Number of requests cut by switching a host off."""
        return sum(host.aborted_requests for host in self.hosts)

    def add_router(self, name: str, zone: str = ZONE) -> RouterNode:
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
        router = RouterNode(watch, power, table)
        self.routers.append(router)
        return router

    async def poll(self) -> None:
        """Let all routers poll targets and power rows once."""
        for router in self._running_routers():
            await router.power.follower.update_once()
            await router.watch.poller.poll_once()
            router.watch.marks.send_to_new_neighbours()
        await self.net.settle()

    async def round(self, seconds: float = 5) -> None:
        """Poll, decide and advance the clock."""
        self.switch.bring_up()
        await self.poll()
        for router in self._running_routers():
            await self.step(router)
        await self.net.settle()
        await self.clock.advance(seconds)

    async def rounds(self, number: int) -> None:
        """Run some rounds."""
        for _ in range(number):
            await self.round()

    async def step(self, router: RouterNode) -> asyncio.Task:
        """Run a router's deciders; they may block at a shut gate."""
        task = asyncio.create_task(router.power.step_all())
        await settle()
        return task

    def send(self, router: RouterNode, choice: int = 0) -> bool:
        """Send one request to a target that the router would choose."""
        available = [
            target
            for target in router.targets.usable(self.rows)
            if target.suspended_until <= self.clock.now()
        ]
        if not available:
            return False
        target = min(available, key=lambda one: (one.in_flight, one.name))
        if choice:
            target = available[choice % len(available)]
        host = self.client.hosts[target.row.address]
        if not host.up or host.leaving:
            # No connection, or refused by the target: not run.
            return False
        target.in_flight += 1
        host.running += 1
        self.running.append((target, host, host.start))
        return True

    def finish_one(self, index: int = 0) -> None:
        """End one request."""
        if not self.running:
            return
        target, host, start = self.running.pop(index % len(self.running))
        target.in_flight -= 1
        if host.up and host.start == start:
            host.running -= 1

    def finish_all(self) -> None:
        """End all requests."""
        while self.running:
            self.finish_one()

    def _running_routers(self) -> list[RouterNode]:
        return [one for one in self.routers if one.name not in self.paused]
