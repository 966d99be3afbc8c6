"""Random histories of budgets that hubs hold: never past the budget."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget.ledger import Reservation
from balsamreach.wire.tokens import TokensAsk, TokensUsed
from tests.fake_net import FakeNet
from tests.holdings_fleet import TEAM, Fleet

_STEPS = 250
_PREPAID = 4_000
_ZONES = ('zone-a', 'zone-b')
_ROUTERS = 5


@attrs.define(eq=False)
class _World:
    """Routers of two zones, and requests that are in progress at them.

    What a request has set aside counts as used until its end: it may go on
    though its router's home has died, and use all of it.
    """

    rng: random.Random
    fleet: Fleet
    zones: dict[str, str] = attrs.field(factory=dict)
    running: list[tuple[str, Reservation]] = attrs.field(factory=list)
    used: int = 0

    @property
    def at_most(self) -> int:
        """Tokens that are used, or may be by requests in progress."""
        return self.used + sum(held.tokens for _, held in self.running)

    def start(self, zone: str, address: str = '') -> None:
        """Start a router."""
        self.zones[self.fleet.start(address, zone)] = zone

    def router(self) -> str:
        """Return some router."""
        return self.rng.choice(sorted(self.fleet.routers))

    async def begin(self) -> None:
        """Let a request begin."""
        name = self.router()
        router = self.fleet.routers[name]
        tokens = self.rng.randrange(1, 400)
        held = await self.fleet.clock.drive(router.reserve(TEAM, tokens))
        if isinstance(held, Reservation):
            self.running.append((name, held))

    async def end(self) -> None:
        """Let a request end, wherever its router is by now."""
        if not self.running:
            return
        name, held = self.running.pop(self.rng.randrange(len(self.running)))
        used = self.rng.randrange(held.tokens + 1)
        self.used += used
        if name in self.fleet.routers:
            self.fleet.routers[name].charge(held, used)

    async def settle(self) -> None:
        """Let a router tell homes what was used."""
        router = self.fleet.routers[self.router()]
        await self.fleet.clock.drive(router.parts.homing.settle())

    async def keep(self) -> None:
        """Let a router report, and draw or hand back."""
        name = self.router()
        await self.fleet.report(name)
        await self.fleet.round(name)

    async def restart(self) -> None:
        """Let a router lose power; another one takes its address."""
        name = self.router()
        self.fleet.kill(name)
        self.fleet.clock.seconds += self.rng.choice((0.1, 2, 8))
        self.start(self.zones[name], self.fleet.addresses[name])

    async def leave(self) -> None:
        """Let a router leave in order, with requests in progress."""
        name = self.router()
        await self.fleet.clock.drive(self.fleet.routers[name].leave())
        self.fleet.kill(name)
        self.start(self.zones[name], self.fleet.addresses[name])

    async def cut(self) -> None:
        """Cut one router off, or a zone, or heal."""
        fabric = self.fleet.fabric
        fabric.heal()
        names = sorted(self.fleet.routers)
        near = self.rng.choice(
            (
                [],
                [self.router()],
                [name for name in names if self.zones[name] == 'zone-a'],
            )
        )
        fabric.cut(near, [name for name in names if name not in near])

    async def lose(self) -> None:
        """Lose messages, answers, or the way to the store."""
        fabric = self.fleet.fabric
        gate = self.fleet.gates[self.router()]
        gate.open = not gate.open
        lost = self.rng.choice((fabric.lost, fabric.answers_lost))
        lost[self.rng.choice((TokensAsk, TokensUsed))] += 1
        self.fleet.platform.weather.lose_answers = self.rng.choice((0, 1))

    async def change_hubs(self) -> None:
        """Let routers know their hubs, or not any more."""
        self.fleet.fabric.hubs_per_zone = self.rng.choice((0, 1, 2, 2))


_WEIGHTS = {
    _World.begin: 60,
    _World.end: 50,
    _World.settle: 25,
    _World.keep: 25,
    _World.restart: 4,
    _World.leave: 3,
    _World.cut: 4,
    _World.lose: 8,
    _World.change_hubs: 2,
}


class HomingHistoriesTest(unittest.IsolatedAsyncioTestCase):
    """Kills, cuts, lost words and changing hubs, one after the other."""

    @parameterized.expand([(seed,) for seed in range(20)])
    async def test_never_past_the_budget(self, seed):
        """Symptom: a team gets more than it paid for.

        Sequence: homes die or change with requests of others in progress;
        what these had set aside is given back by a successor, or twice.
        Cause: it is not in the home's reports, or is freed too early.
        """
        fleet = Fleet(_PREPAID, seed, fabric=FakeNet(hubs_per_zone=2))
        fleet.teams = (TEAM,)
        world = _World(random.Random(seed), fleet)
        for zone in _ZONES * _ROUTERS:
            world.start(zone)
        for _ in range(_STEPS):
            fleet.clock.seconds += 0.05
            step = world.rng.choices(
                tuple(_WEIGHTS),
                tuple(_WEIGHTS.values()),
            )[0]
            await step(world)
            self.assertLessEqual(world.at_most, fleet.prepaid)
        self.assertGreater(world.used, 0)
