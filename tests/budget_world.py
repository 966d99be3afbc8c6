"""Routers with budgets on an in-memory platform with injected faults."""

import asyncio
import math
import random
from collections.abc import Awaitable
from typing import TypeVar

import attrs

from balsamreach.budget.account import Account, Bill, account_key, encode_record
from balsamreach.budget.audit_report import AuditReport, TeamSums
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

Result = TypeVar('Result')

_LOOP_TURNS = 100
#: Maximum number of rounds of ``_LOOP_TURNS`` turns of the event loop without
#: a sleeping task. One round is not enough, since a chain of lenders takes
#: more turns; the limit makes sure that a hanging test is noticed.
_MAX_IDLE_ROUNDS = 1000
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
    """Clock that advances on request, or when all tasks sleep."""

    async def drive(self, work: Awaitable[Result]) -> Result:
        """Run an awaitable to its end, advancing the clock as it sleeps."""
        task = asyncio.ensure_future(work)
        idle_rounds = 0
        while not task.done():
            for _ in range(_LOOP_TURNS):
                await asyncio.sleep(0)
                if task.done():
                    return task.result()
            idle_rounds += 1
            if idle_rounds > _MAX_IDLE_ROUNDS or self.sleeps_until(math.inf):
                idle_rounds = 0
                self.seconds = max(self.seconds, self.wake_next())
        return task.result()


@attrs.define
class SwitchedService(TableService):
    """One router's connection to the table service; can be cut off."""

    service: TableService
    open: bool = True

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Commit if the connection is open."""
        return await self.service.commit(change) if self.open else UNREACHABLE

    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read if the connection is open."""
        return await self.service.read(keys) if self.open else UNREACHABLE

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Scan if the connection is open."""
        return await self.service.scan(scan) if self.open else UNREACHABLE


@attrs.define
class LosingGate(SwitchedService):
    """Loses the response to one commit, then disconnects its router.

    Parameters
    ----------
    connection : SwitchedService
        The router's connection to the service, closed after the loss.
    commits_before_loss : int
        Number of commits that get their response before that.
    """

    connection: SwitchedService = attrs.field(kw_only=True)
    commits_before_loss: int = 0

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a commit, possibly without a response."""
        outcome = await self.service.commit(change)
        self.commits_before_loss -= 1
        if self.commits_before_loss >= 0:
            return outcome
        self.connection.open = False
        self.connection.service = self.service
        return UNKNOWN


@attrs.define(eq=False)
class World:
    """A platform, a peer network and the routers connected to them."""

    cfg: BudgetSettings = SETTINGS
    seed: int = 1
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    network: FakeNet = attrs.field(factory=FakeNet)
    platform: MemoryPlatform = attrs.field(init=False)
    routers: dict[str, Budgets] = attrs.field(factory=dict)
    connections: dict[str, SwitchedService] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the platform."""
        self.platform = MemoryPlatform.start(self.clock)

    def start(
        self,
        name: str,
        zone: str = 'zone-a',
        address: str = '',
    ) -> Budgets:
        """Start a router; without an address it gets a new one."""
        net = self.network.join(name, zone)
        if address:
            net.me = attrs.evolve(net.me, address=address)
        self.connections[name] = SwitchedService(self.platform.table)
        self.routers[name] = Budgets(
            self.connections[name],
            name,
            self.cfg,
            self.clock,
            net=net,
            address=net.me.address,
            rng=random.Random(f'{self.seed}{name}'),
        )
        return self.routers[name]

    async def fund(self, team: str, tokens: int) -> None:
        """Add to a team's prepaid tokens, bypassing platform faults."""
        weather = self.platform.weather
        down = weather.down
        lose_answers = weather.lose_answers
        weather.down = False
        weather.lose_answers = 0
        rows = await self.platform.table.read((account_key(team),))
        account = Account(**(rows[0].value or {}))
        updated = attrs.evolve(account, prepaid=account.prepaid + tokens)
        write = Write(account_key(team), encode_record(updated))
        await self.platform.table.commit(Commit((write,)))
        weather.down = down
        weather.lose_answers = lose_answers

    async def serve(
        self,
        router: Budgets,
        key: str,
        tokens: int,
        *,
        used: int | None = None,
        team: str = 'team',
    ) -> object:
        """Reserve and bill a request; return the reservation or the fault."""
        reservation = await self.clock.drive(router.reserve(team, tokens))
        if isinstance(reservation, Reservation):
            used_tokens = tokens if used is None else used
            router.bill(reservation, Bill(team, key, used_tokens))
        return reservation

    async def team_sums(self) -> TeamSums:
        """Audit and return the sums of the team named ``team``."""
        return (await self.audit()).teams['team']

    async def audit(self) -> AuditReport:
        """Audit the platform, bypassing an outage."""
        weather = self.platform.weather
        down = weather.down
        weather.down = False
        report = await Auditor(self.platform.table).audit()
        weather.down = down
        return report

    async def run_rounds(self, *names: str, count: int = 1) -> None:
        """Run the periodic work of routers, of all if none is named."""
        for _ in range(count):
            for name in names or tuple(self.routers):
                router = self.routers[name]
                router.maintenance.copy_bills()
                await self.clock.drive(router.maintenance.run_round())
            await self.network.settle()

    def address(self, name: str) -> str:
        """Return a router's address."""
        net = self.network.nets[name]
        return net.me.address

    async def read_row(self, key: str) -> Row:
        """Read a row directly from the platform."""
        rows = await self.platform.table.read((key,))
        return rows[0]

    def kill(self, name: str) -> Budgets:
        """Stop a router abruptly; the state in its memory is lost."""
        self.network.kill(name)
        return self.routers.pop(name)

    def disconnect(self, *names: str) -> None:
        """Disconnect routers from the platform."""
        for name in names:
            self.connections[name].open = False

    def reconnect(self) -> None:
        """Reconnect all routers to the platform and to each other."""
        for connection in self.connections.values():
            connection.open = True
        self.network.heal()
