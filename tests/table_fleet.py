"""Routers with table components on a fake network, for the table tests."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from balsamreach.config.reader import read_settings
from balsamreach.daemon.table_parts import (
    TableNeeds,
    TableParts,
    make_table_parts,
)
from balsamreach.services.base import (
    Commit,
    ObjectStore,
    Row,
    Scan,
    TableService,
)
from balsamreach.services.faults import UNREACHABLE
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.edits import Edit
from balsamreach.table.rows import TeamRow
from balsamreach.table.view import TableView
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Heartbeat
from tests.fake_net import FakeNet, FakePeerNet
from tests.support import ManualClock

_SETTLE_ROUNDS = 4
TEAM = 'table/team/winders'


def row(version: int, name: str = 'winders', **fields: Any) -> Row:
    """Return a team's row."""
    return Row(f'table/team/{name}', version, fields)


def deleted_row(version: int, name: str = 'winders') -> Row:
    """Return a team's row as deleted."""
    return Row(f'table/team/{name}', version, None)


def edit(edit_id: str, version: int = -1, **fields: Any) -> Edit:
    """Return an edit of the team ``winders``."""
    return Edit(edit_id, 'anna', TEAM, version, fields)


@attrs.define
class PlatformAccess(TableService, ObjectStore):
    """One router's access to the platform, which tests can cut.

    ``after_scan`` is called once, after the next page of a scan.
    """

    platform: MemoryPlatform
    table_cut: bool = False
    objects_cut: bool = False
    after_scan: Callable[[], Awaitable[Any]] | None = None

    @property
    def cut(self) -> bool:
        """Whether table service and object store are both unreachable."""
        return self.table_cut and self.objects_cut

    @cut.setter
    def cut(self, cut: bool) -> None:
        self.table_cut = cut
        self.objects_cut = cut

    async def commit(self, change: Commit) -> Any:
        """Commit unless the table service is unreachable."""
        if self.table_cut:
            return UNREACHABLE
        return await self.platform.table.commit(change)

    async def read(self, keys: tuple[str, ...]) -> Any:
        """Read unless the table service is unreachable."""
        if self.table_cut:
            return UNREACHABLE
        return await self.platform.table.read(keys)

    async def scan(self, scan: Scan) -> Any:
        """Scan unless the table service is unreachable."""
        if self.table_cut:
            return UNREACHABLE
        page = await self.platform.table.scan(scan)
        if self.after_scan is not None:
            pending_call = self.after_scan()
            self.after_scan = None
            await pending_call
        return page

    async def put(self, name: str, body: bytes) -> Any:
        """Store an object unless the object store is unreachable."""
        if self.objects_cut:
            return UNREACHABLE
        return await self.platform.objects.put(name, body)

    async def get(self, name: str) -> Any:
        """Fetch an object unless the object store is unreachable."""
        if self.objects_cut:
            return UNREACHABLE
        return await self.platform.objects.get(name)

    async def names(self, prefix: str) -> Any:
        """List objects unless the object store is unreachable."""
        if self.objects_cut:
            return UNREACHABLE
        return await self.platform.objects.names(prefix)

    async def delete(self, name: str) -> Any:
        """Delete an object unless the object store is unreachable."""
        if self.objects_cut:
            return UNREACHABLE
        return await self.platform.objects.delete(name)


@attrs.define
class RouterNode:
    """One router: its table components, network and access to the platform."""

    net: FakePeerNet
    parts: TableParts
    access: PlatformAccess
    metrics: Metrics

    @property
    def view(self) -> TableView:
        """The router's view of the table."""
        return self.parts.view

    def team(self, name: str = 'winders') -> TeamRow | None:
        """Return a team's row in force, None if there is none."""
        return self.view.teams.get(name)

    def prepaid(self, name: str = 'winders') -> int | None:
        """Return a team's prepaid tokens in force, None without a row."""
        team = self.team(name)
        return team and team.prepaid

    async def step(self) -> None:
        """Let the router poll once."""
        await self.parts.follower.step()


@attrs.define
class TableFleet:
    """Routers on one platform, each of which can be cut off from it."""

    clock: ManualClock = attrs.field(factory=ManualClock)
    network: FakeNet = attrs.field(factory=FakeNet)
    nodes: list[RouterNode] = attrs.field(factory=list)
    platform: MemoryPlatform = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the platform."""
        self.platform = MemoryPlatform.start(self.clock)

    def join(self, incarnation: str, zone: str = 'zone-a') -> RouterNode:
        """Add a router."""
        net = self.network.join(incarnation, zone)
        access = PlatformAccess(self.platform)
        metrics = Metrics()
        parts = make_table_parts(
            TableNeeds(
                cfg=read_settings(None, ('host.zone=zone-a',)),
                service=access,
                objects=access,
                net=net,
                clock=self.clock,
                rng=random.Random(incarnation),
                metrics=metrics,
            ),
        )
        parts.follower.start()
        parts.status.start()
        node = RouterNode(net, parts, access, metrics)
        self.nodes.append(node)
        return node

    async def start_routers(self, *incarnations: str) -> list[RouterNode]:
        """Add routers, let each poll once and return them."""
        joined = [self.join(name) for name in incarnations]
        for node in joined:
            await node.step()
        return joined

    async def settle(self) -> None:
        """Deliver all messages and wait for all fetches."""
        for _ in range(_SETTLE_ROUNDS):
            await self.network.settle()
            for node in self.nodes:
                tasks = node.parts.follower.exchange.tasks
                await asyncio.gather(*tasks)

    async def send_heartbeats(self) -> None:
        """Let every router send a heartbeat with its version to the others."""
        for node in self.nodes:
            node.net.tell_neighbours(Heartbeat(node.view.version))
        await self.settle()
