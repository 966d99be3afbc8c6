"""Random histories of budgets held by hubs: never over the budget."""

import asyncio
import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget.homes import homes_of
from balsamreach.budget.ledger import Reservation
from balsamreach.wire.tokens import TokensAsk, TokensUsed
from tests.fake_net import FakeNet
from tests.holdings_fleet import TEAM, Fleet

_STEPS = 250
_PREPAID = 4_000
_ZONES = ('zone-a', 'zone-b')
_ROUTERS_PER_ZONE = 5


@attrs.define(eq=False)
class _World:
    """Routers of two zones, and the requests in progress at them.

    The reserved tokens of a request count as used until it ends: it may go
    on after its router's home has died, and use all of them.
    """

    rng: random.Random
    fleet: Fleet
    zones: dict[str, str] = attrs.field(factory=dict)
    running: list[tuple[str, Reservation]] = attrs.field(factory=list)
    used: int = 0

    @property
    def max_used(self) -> int:
        """Tokens that are used, or may be by requests in progress."""
        return self.used + sum(held.tokens for _, held in self.running)

    def start(self, zone: str, address: str = '') -> None:
        """Start a router."""
        self.zones[self.fleet.start(address, zone)] = zone

    def pick_router(self) -> str:
        """Return a random router."""
        return self.rng.choice(sorted(self.fleet.routers))

    async def begin_request(self) -> None:
        """Begin a request."""
        await self.fleet.clock.drive(self.reserve(self.pick_router()))

    async def begin_requests(self) -> None:
        """Begin requests of different urgency at one router at once."""
        name = self.pick_router()
        work = asyncio.gather(*(self.reserve(name) for _ in range(6)))
        await self.fleet.clock.drive(work)

    async def reserve(self, name: str) -> None:
        """Begin a request at a router if it gets its tokens."""
        held = await self.fleet.routers[name].reserve(
            TEAM,
            self.rng.randrange(1, 400),
            self.rng.randrange(10),
        )
        if isinstance(held, Reservation):
            self.running.append((name, held))

    async def end_request(self) -> None:
        """End a request, whether its router still exists or not."""
        if not self.running:
            return
        name, held = self.running.pop(self.rng.randrange(len(self.running)))
        used = self.rng.randrange(held.tokens + 1)
        self.used += used
        if name in self.fleet.routers:
            self.fleet.routers[name].charge(held, used)

    async def settle(self) -> None:
        """Let a router tell homes what was used."""
        router = self.fleet.routers[self.pick_router()]
        await self.fleet.clock.drive(router.parts.home_client.settle())

    async def report_and_move(self) -> None:
        """Let a router report, and draw or return tokens."""
        name = self.pick_router()
        await self.fleet.report(name)
        await self.fleet.run_round(name)

    async def restart(self) -> None:
        """Kill a router; another one takes its address."""
        name = self.pick_router()
        self.fleet.kill(name)
        self.fleet.clock.seconds += self.rng.choice((0.1, 2, 8))
        self.start(self.zones[name], self.fleet.addresses[name])

    async def leave(self) -> None:
        """Shut a router down while it has requests in progress."""
        name = self.pick_router()
        await self.fleet.clock.drive(self.fleet.routers[name].leave())
        self.fleet.kill(name)
        self.start(self.zones[name], self.fleet.addresses[name])

    async def partition(self) -> None:
        """Cut off one router or a zone, or heal all partitions."""
        network = self.fleet.network
        network.heal()
        names = sorted(self.fleet.routers)
        one_side = self.rng.choice(
            (
                [],
                [self.pick_router()],
                [name for name in names if self.zones[name] == 'zone-a'],
            )
        )
        network.cut(one_side, [name for name in names if name not in one_side])

    async def inject_faults(self) -> None:
        """Lose messages or answers, and toggle a router's table service."""
        network = self.fleet.network
        connection = self.fleet.connections[self.pick_router()]
        connection.open = not connection.open
        lost = self.rng.choice((network.lost, network.answers_lost))
        lost[self.rng.choice((TokensAsk, TokensUsed))] += 1
        network.doubled[TokensAsk] += self.rng.choice((0, 1))
        self.fleet.platform.weather.lose_answers = self.rng.choice((0, 1))

    async def cut_off_home(self) -> None:
        """Disconnect a zone's home, or both its hubs, from the store."""
        hubs = homes_of(TEAM, self.fleet.routers[self.pick_router()].net)
        for hub in hubs[: self.rng.choice((1, 1, 2))]:
            self.fleet.connections[hub.incarnation].open = False

    async def reconnect(self) -> None:
        """Reconnect all routers to the store."""
        for connection in self.fleet.connections.values():
            connection.open = True

    async def change_hubs(self) -> None:
        """Change the number of hubs that routers know."""
        self.fleet.network.hubs_per_zone = self.rng.choice((0, 1, 2, 2))


_WEIGHTS = {
    _World.begin_request: 50,
    _World.begin_requests: 4,
    _World.end_request: 50,
    _World.settle: 25,
    _World.report_and_move: 25,
    _World.restart: 4,
    _World.leave: 3,
    _World.partition: 4,
    _World.inject_faults: 8,
    _World.change_hubs: 2,
    _World.cut_off_home: 6,
    _World.reconnect: 6,
}


class HomingHistoriesTest(unittest.IsolatedAsyncioTestCase):
    """Kills, partitions, lost messages and changing hubs in sequence."""

    @parameterized.expand([(seed,) for seed in range(20)])
    async def test_never_over_the_budget(self, seed):
        """Guards against a team that gets more than it paid for.

        Homes die or change while requests of other routers are in progress.
        Their reserved tokens must be in the home's reports, and must not be
        freed too early, or a successor returns tokens that are used, or they
        are returned twice.
        """
        fleet = Fleet(_PREPAID, seed, network=FakeNet(hubs_per_zone=2))
        fleet.teams = (TEAM,)
        world = _World(random.Random(seed), fleet)
        for zone in _ZONES * _ROUTERS_PER_ZONE:
            world.start(zone)
        for _ in range(_STEPS):
            fleet.clock.seconds += 0.05
            step = world.rng.choices(
                tuple(_WEIGHTS),
                tuple(_WEIGHTS.values()),
            )[0]
            await step(world)
            self.assertLessEqual(world.max_used, fleet.prepaid)
        self.assertGreater(world.used, 0)
