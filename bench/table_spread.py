"""Propagation of table edits over a real peer network in one process."""

import asyncio
import random
import time

import attrs

from balsamreach.clock import SystemClock
from balsamreach.config.reader import read_settings
from balsamreach.daemon.table_parts import (
    TableNeeds,
    TableParts,
    make_table_parts,
)
from balsamreach.peers.discovery import Discovery
from balsamreach.peers.metric_names import BYTES
from balsamreach.peers.net import TcpPeerNet
from balsamreach.services.base import Row
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.editor import Editor
from balsamreach.table.edits import Edit
from balsamreach.telemetry.metrics import Metrics
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.membership import Member
from tests.table_fleet import PlatformAccess

ROUTERS = 30
_ZONES = 10
_JOIN_S = 6
_SETTLE_S = 15


@attrs.define(eq=False)
class Node:
    """Peer network and table of one router."""

    net: TcpPeerNet
    parts: TableParts
    access: PlatformAccess
    metrics: Metrics
    in_force_at: dict[str, float] = attrs.field(factory=dict)
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the peer network and follow the table."""
        await self.net.start()
        self.parts.view.watchers.append(self._record_time)
        self.parts.follower.start()
        self.task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following the table and the peer network."""
        self.task.cancel()
        await self.net.stop()

    async def _follow(self) -> None:
        while True:
            await self.parts.follower.step()
            await self.parts.follower.pause()

    def _record_time(self, changed: tuple[Row, ...]) -> None:
        now = time.monotonic()
        for row in changed:
            self.in_force_at[f'{row.key}@{row.version}'] = now


@attrs.define
class TableFleet:
    """Fleet of routers on one in-memory platform."""

    platform: MemoryPlatform
    nodes: list[Node]
    rng: random.Random

    @classmethod
    async def start(cls, seed: int) -> 'TableFleet':
        """Start all routers and wait until they know each other."""
        platform = MemoryPlatform.start(SystemClock())
        nodes: list[Node] = []
        for number in range(ROUTERS):
            seeds = [node.net.me.address for node in nodes[:3]]
            node = make_node(number, platform, seeds, seed)
            await node.start()
            nodes.append(node)
        await asyncio.sleep(_JOIN_S)
        return cls(platform, nodes, random.Random(seed))

    async def stop(self) -> None:
        """Stop all routers."""
        await asyncio.gather(*(node.stop() for node in self.nodes))

    async def time_edits(
        self,
        editor: Editor | None,
        count: int,
        pause: float = 0.2,
    ) -> list[float]:
        """Make edits; return the seconds until each is in force, by router.

        The result has infinity for an edit that did not arrive.
        """
        accepted: dict[str, float] = {}
        for number in range(count):
            key = f'table/team/t{number % 50}'
            chosen = editor or self.rng.choice(self.nodes).parts.editor
            weight = {'weight': self.rng.random()}
            edit = Edit(f'{id(accepted)}-{number}', 'bench', key, -1, weight)
            outcome = await chosen.apply(edit)
            accepted[f'{key}@{outcome.version}'] = time.monotonic()
            await asyncio.sleep(self.rng.uniform(0, pause))
        await asyncio.sleep(_SETTLE_S)
        return [
            max(0, node.in_force_at.get(mark, float('inf')) - at)
            for mark, at in accepted.items()
            for node in self.nodes
        ]

    def bytes_out(self) -> float:
        """Return the bytes that all routers have sent to peers."""
        return sum(
            node.metrics.counted(BYTES, way='out') for node in self.nodes
        )


def make_node(
    number: int,
    platform: MemoryPlatform,
    seeds: list[str],
    seed: int,
) -> Node:
    """Create one router without starting it."""
    zone = f'zone-{number % _ZONES}'
    overrides = (f'host.zone={zone}', 'peers.port=0')
    cfg = read_settings(None, overrides)
    rng = random.Random(f'{seed}/{number}')
    metrics = Metrics()
    clock = SystemClock()
    net = TcpPeerNet(
        me=Member(f'r{number}', f'host-{number}', '127.0.0.1:0', zone, number),
        cfg=cfg,
        clock=clock,
        rng=rng,
        metrics=metrics,
        discovery=Discovery(platform.hosts, tuple(seeds)),
        tracing=Tracing(cfg),
    )
    access = PlatformAccess(platform)
    parts = make_table_parts(
        TableNeeds(
            cfg=cfg,
            service=access,
            objects=access,
            net=net,
            clock=clock,
            rng=rng,
            metrics=metrics,
        ),
    )
    net.local_status.table_version = parts.follower.heartbeat_version
    return Node(net, parts, access, metrics)
