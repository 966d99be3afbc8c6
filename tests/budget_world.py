"""Routers with budgets on one platform in memory, faults under control."""

import asyncio
import math
import random
from collections.abc import Awaitable
from typing import TypeVar

import attrs

from balsamreach.budget.account import Account, Bill, account_key, encode
from balsamreach.budget.audit import Report, TeamSums
from balsamreach.budget.auditor import Auditor
from balsamreach.budget.budgets import Budgets
from balsamreach.budget.ledger import Reservation
from balsamreach.config.settings import BudgetSettings
from balsamreach.services.base import (
    Commit,
    Page,
    Row,
    Scan,
    TableService,
    Write,
)
from balsamreach.services.faults import UNKNOWN, UNREACHABLE, PlatformFault
from balsamreach.standins.memory import MemoryPlatform
from tests.fake_net import FakeNet
from tests.support import HeldClock

Outcome = TypeVar('Outcome')

_STEPS = 100
#: Times that so many turns may pass with nobody asleep: a chain of lenders
#: takes more turns than that, and what hangs for good must still be told.
_MOST_IDLE = 1000
SETTINGS = BudgetSettings(
    posture='lenient',
    draw_ahead=10,
    least_draw=100,
    largest_share=0.1,
    draw_wait=2,
    flush_interval=4,
    bills_limit=1000,
    partition_cover=30,
    report_interval=0.5,
    report_rate=100,
    report_patience=0.6,
    report_opening=10,
)


class VirtualClock(HeldClock):
    """Clock that moves when told to, or when all wait for it."""

    async def drive(self, work: Awaitable[Outcome]) -> Outcome:
        """Run something to its end, moving on where it sleeps."""
        task = asyncio.ensure_future(work)
        idle = 0
        while not task.done():
            for _ in range(_STEPS):
                await asyncio.sleep(0)
                if task.done():
                    return task.result()
            idle += 1
            if idle > _MOST_IDLE or self.sleeps_until(math.inf):
                idle = 0
                self.seconds = max(self.seconds, self.wake_next())
        return task.result()


@attrs.define
class Gate(TableService):
    """One router's way to the table service."""

    service: TableService
    open: bool = True

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Commit if the way is open."""
        return await self.service.commit(change) if self.open else UNREACHABLE

    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read if the way is open."""
        return await self.service.read(keys) if self.open else UNREACHABLE

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Scan if the way is open."""
        return await self.service.scan(scan) if self.open else UNREACHABLE


@attrs.define
class Loser(Gate):
    """Loses the answer to one commit and cuts its router off at once.

    Parameters
    ----------
    gate : Gate
        The router's way to the service, which it closes.
    commits_before : int
        Commits that go well before that.
    """

    gate: Gate = attrs.field(kw_only=True)
    commits_before: int = 0

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a commit, perhaps without an answer."""
        outcome = await self.service.commit(change)
        self.commits_before -= 1
        if self.commits_before >= 0:
            return outcome
        self.gate.open = False
        self.gate.service = self.service
        return UNKNOWN


@attrs.define(eq=False)
class World:
    """A platform, a net and the routers between them."""

    cfg: BudgetSettings = SETTINGS
    seed: int = 1
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    fabric: FakeNet = attrs.field(factory=FakeNet)
    platform: MemoryPlatform = attrs.field(init=False)
    routers: dict[str, Budgets] = attrs.field(factory=dict)
    gates: dict[str, Gate] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the platform."""
        self.platform = MemoryPlatform.start(self.clock)

    def start(
        self,
        name: str,
        zone: str = 'zone-a',
        address: str = '',
    ) -> Budgets:
        """Start a router; without an address it gets one of its own."""
        net = self.fabric.join(name, zone)
        if address:
            net.me = attrs.evolve(net.me, address=address)
        self.gates[name] = Gate(self.platform.table)
        self.routers[name] = Budgets(
            self.gates[name],
            name,
            self.cfg,
            self.clock,
            net=net,
            address=net.me.address,
            rng=random.Random(f'{self.seed}{name}'),
        )
        return self.routers[name]

    async def fund(self, team: str, tokens: int) -> None:
        """Top a team's account up, whatever the platform's weather."""
        weather = self.platform.weather
        down = weather.down
        losing = weather.lose_answers
        weather.down = False
        weather.lose_answers = 0
        rows = await self.platform.table.read((account_key(team),))
        account = Account(**(rows[0].value or {}))
        topped = attrs.evolve(account, prepaid=account.prepaid + tokens)
        write = Write(account_key(team), encode(topped))
        await self.platform.table.commit(Commit((write,)))
        weather.down = down
        weather.lose_answers = losing

    async def serve(
        self,
        router: Budgets,
        key: str,
        tokens: int,
        *,
        used: int | None = None,
        team: str = 'team',
    ) -> object:
        """Reserve and bill one request; return the reservation or fault."""
        held = await self.clock.drive(router.reserve(team, tokens))
        if isinstance(held, Reservation):
            spent = tokens if used is None else used
            router.bill(held, Bill(team, key, spent))
        return held

    async def sums(self) -> TeamSums:
        """Audit and return what the one team's rows add up to."""
        return (await self.audit()).teams['team']

    async def audit(self) -> Report:
        """Audit the platform as it is, whatever its weather."""
        weather = self.platform.weather
        down = weather.down
        weather.down = False
        report = await Auditor(self.platform.table).audit()
        weather.down = down
        return report

    async def rounds(self, *names: str, count: int = 1) -> None:
        """Let routers, all unless named, do their rounds."""
        for _ in range(count):
            for name in names or tuple(self.routers):
                router = self.routers[name]
                router.upkeep.copy_bills()
                await self.clock.drive(router.upkeep.round())
            await self.fabric.settle()

    def address(self, name: str) -> str:
        """Return a router's address."""
        net = self.fabric.nets[name]
        return net.me.address

    async def peek(self, key: str) -> Row:
        """Read a row past every gate."""
        rows = await self.platform.table.read((key,))
        return rows[0]

    def kill(self, name: str) -> Budgets:
        """Let a router vanish with all it has in memory."""
        self.fabric.kill(name)
        return self.routers.pop(name)

    def cut(self, *names: str) -> None:
        """Cut routers off from the platform."""
        for name in names:
            self.gates[name].open = False

    def heal(self) -> None:
        """Let all routers reach the platform and each other."""
        for gate in self.gates.values():
            gate.open = True
        self.fabric.heal()
