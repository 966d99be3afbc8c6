"""Routers that hold tokens and report their use, for tests."""

import random
from typing import TypeVar

import attrs

from balsamreach.budget.account import account_key
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.holdings import Holdings
from balsamreach.budget.homes import home_of
from balsamreach.budget.ledger import Reservation
from balsamreach.services.base import Commit, Row
from balsamreach.services.faults import PlatformFault
from balsamreach.services.times import ServiceClock
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.telemetry.metrics import Metrics
from tests.budget_world import SETTINGS, SwitchedService, VirtualClock
from tests.fake_net import FakeNet

Outcome = TypeVar('Outcome')

TEAM = 'team'
CFG = attrs.evolve(
    SETTINGS,
    draw_ahead=1,
    partition_cover=8,
    least_draw=100,
    largest_share=0.35,
    draw_wait=0.4,
)


#: Seconds by which the table service's clock is ahead of the hosts' clocks.
CLOCK_LEAD_S = 1000


@attrs.define
class TimedService(SwitchedService):
    """A connection to the table service whose answers contain its time."""

    service_clock: ServiceClock = attrs.field(kw_only=True)
    clock_lead: float = CLOCK_LEAD_S
    read_keys: list[str] = attrs.field(factory=list)
    commits: int = 0

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Commit, and note the time if there is an answer."""
        self.commits += 1
        return self._note(await super().commit(change))

    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read, and note the time if there is an answer."""
        self.read_keys.extend(keys)
        return self._note(await super().read(keys))

    def _note(self, outcome: Outcome) -> Outcome:
        if not isinstance(outcome, PlatformFault):
            now = self.service_clock.clock.now()
            self.service_clock.note(now + self.clock_lead, now, now)
        return outcome


@attrs.define(eq=False)
class Fleet:
    """Routers that hold tokens of one team, and what their requests used."""

    prepaid: int
    seed: int = 1
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    network: FakeNet = attrs.field(factory=FakeNet)
    platform: MemoryPlatform = attrs.field(init=False)
    connections: dict[str, SwitchedService] = attrs.field(factory=dict)
    routers: dict[str, Holdings] = attrs.field(factory=dict)
    addresses: dict[str, str] = attrs.field(factory=dict)
    clock_lead: float = CLOCK_LEAD_S
    teams: tuple[str, ...] = ()
    spent: int = 0
    started: int = 0

    def __attrs_post_init__(self) -> None:
        """Start the platform."""
        self.platform = MemoryPlatform.start(self.clock)

    def start(self, address: str = '', zone: str = 'zone-a') -> str:
        """Start a router, on its own address or a given one."""
        self.started += 1
        name = f'router-{self.started}'
        service_clock = ServiceClock(self.clock)
        self.connections[name] = TimedService(
            self.platform.table,
            service_clock=service_clock,
            clock_lead=self.clock_lead,
        )
        self.addresses[name] = address or name
        self.routers[name] = Holdings(
            self.connections[name],
            lambda _team: self.prepaid,
            name,
            CFG,
            5,
            self.network.join(name, zone),
            service_clock,
            self.addresses[name],
            self.clock,
            random.Random(f'{self.seed}{name}'),
            Metrics(),
            lambda: self.teams,
        )
        return name

    def kill(self, name: str) -> None:
        """End a router without shutdown."""
        self.routers.pop(name)
        self.network.kill(name)

    async def serve(
        self,
        name: str,
        tokens: int,
        used: int,
    ) -> Reservation | BudgetFault:
        """Serve one request if its router admits it."""
        router = self.routers[name]
        held = await self.clock.drive(router.reserve(TEAM, tokens))
        if isinstance(held, Reservation):
            self.spent += used
            router.charge(held, used)
        return held

    async def run_round(self, name: str) -> None:
        """Let one router make the moves that are due."""
        await self.clock.drive(self.routers[name].run_round())

    async def report(self, name: str) -> None:
        """Let one router report its use."""
        parts = self.routers[name].parts
        await self.clock.drive(parts.reporter.report())

    async def taken(self) -> int:
        """Return the tokens that count as taken from the account."""
        rows = await self.platform.table.read((account_key(TEAM),))
        return (rows[0].value or {}).get('taken', 0)

    def home(self, team: str = TEAM, zone: str = 'zone-a') -> str:
        """Return the router that holds a team's tokens for a zone."""
        net = next(iter(self.routers.values())).net
        return home_of(team, net, zone).incarnation
