"""Budget policies: the one of the router and two baselines."""

import abc
import asyncio
import random

import attrs

from balsamreach.budget.account import Account, Bill, account_key, encode_record
from balsamreach.budget.budgets import Budgets
from balsamreach.budget.faults import EXHAUSTED, NO_ALLOTMENT, BudgetFault
from balsamreach.config.settings import BudgetSettings
from balsamreach.services.base import Check, Commit, Write
from balsamreach.services.faults import PlatformFault
from balsamreach.standins.memory import MemoryPlatform
from bench.budget_trace import Call
from bench.routing_loop import LoopClock
from tests.budget_world import SwitchedService
from tests.fake_net import FakeNet

_COMMIT_TRIES = 8
_PAUSE_S = 0.01
_PEER_DELAY_S = 0.001


class DelayedNet(FakeNet):
    """Fake peer network with a delay of 1 ms per answer."""

    async def answer(self, source, incarnation, message):
        """Deliver a request after the delay and return its answer."""
        await asyncio.sleep(_PEER_DELAY_S)
        return await super().answer(source, incarnation, message)

    async def deliver_periodically(self) -> None:
        """Deliver one-way messages periodically, until cancelled."""
        while True:
            await asyncio.sleep(_PEER_DELAY_S * 100)
            await self.settle()
            self.sent.clear()


@attrs.define(eq=False)
class Policy(abc.ABC):
    """Budget policy that admits and bills requests at all routers.

    Parameters
    ----------
    platform : MemoryPlatform
        Platform with the accounts.
    connections : list of SwitchedService
        Connection to the platform, by router.
    seed : int
        Seed of the random numbers.
    """

    platform: MemoryPlatform
    connections: list[SwitchedService]
    seed: int

    @abc.abstractmethod
    async def reserve(self, number: int, call: Call) -> object:
        """Reserve tokens for a call; return the reservation or a fault."""

    @abc.abstractmethod
    async def bill(self, number: int, call: Call, reservation: object) -> None:
        """Bill a call that has ended, with its ``reservation``."""

    @abc.abstractmethod
    def idle_tokens(self) -> int:
        """Return the tokens that routers hold without a request."""

    async def on_payment(self, team: str, tokens: int) -> None:
        """Handle a payment that has been added to the account already."""
        return

    async def run_background(self) -> None:
        """Run background work until cancelled."""
        await asyncio.Event().wait()

    def disconnect(self, routers: list[int]) -> None:
        """Handle the start of a partition between routers and all others."""
        return

    def reconnect(self) -> None:
        """Handle the end of the partition."""
        return


@attrs.define(eq=False)
class Escrow(Policy):
    """The budgets of the router.

    Parameters
    ----------
    cfg : BudgetSettings
        Settings of the budgets.
    """

    cfg: BudgetSettings
    net: DelayedNet = attrs.field(factory=DelayedNet)
    routers: list[Budgets] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the routers, half of them in each of two zones."""
        for number, connection in enumerate(self.connections):
            zone = 'zone-a' if number < len(self.connections) / 2 else 'zone-b'
            peer = self.net.join(f'r{number}', zone)
            router = Budgets(
                connection,
                f'r{number}',
                self.cfg,
                LoopClock(),
                net=peer,
                address=peer.me.address,
                rng=random.Random(f'{self.seed}/{number}'),
            )
            self.routers.append(router)

    async def reserve(self, number: int, call: Call) -> object:
        """Reserve at the call's router."""
        return await self.routers[call.router].reserve(call.team, call.tokens)

    async def bill(self, number: int, call: Call, reservation: object) -> None:
        """Bill at the call's router."""
        router = self.routers[call.router]
        router.bill(reservation, Bill(call.team, str(number), call.used))

    def idle_tokens(self) -> int:
        """Return the granted tokens of the routers that are not reserved."""
        return sum(
            ledger.unspent_granted
            for router in self.routers
            for ledger in router.ledgers.values()
        )

    async def run_background(self) -> None:
        """Run all routers, each started with a random delay."""
        late = random.Random(self.seed)
        delays = [
            late.uniform(0, self.cfg.flush_interval) for _ in self.routers
        ]
        await asyncio.gather(
            self.net.deliver_periodically(),
            *map(_run_delayed, delays, self.routers),
        )

    def disconnect(self, routers: list[int]) -> None:
        """Disconnect these routers from the others."""
        away = [f'r{number}' for number in routers]
        names = [router.incarnation for router in self.routers]
        self.net.cut(away, [name for name in names if name not in away])

    def reconnect(self) -> None:
        """Reconnect all routers."""
        self.net.heal()


@attrs.define(eq=False)
class Central(Policy):
    """Conditional write to the account for each reservation and bill."""

    def idle_tokens(self) -> int:
        """Return 0, since routers hold no tokens."""
        return 0

    async def reserve(self, number: int, call: Call) -> object:
        """Take the maximum usage of the call from the account."""
        return await self._take_tokens(call, call.tokens) or call

    async def bill(self, number: int, call: Call, reservation: object) -> None:
        """Return the unused tokens; retry each second during an outage."""
        fault = await self._take_tokens(call, call.used - call.tokens)
        while fault is not None:
            await asyncio.sleep(1)
            fault = await self._take_tokens(call, call.used - call.tokens)

    async def _take_tokens(self, call: Call, tokens: int) -> BudgetFault | None:
        connection = self.connections[call.router]
        key = account_key(call.team)
        for attempt in range(_COMMIT_TRIES):
            rows = await connection.read((key,))
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT
            account = Account(**rows[0].value)
            if tokens > account.free:
                return EXHAUSTED
            taken = attrs.evolve(account, taken=account.taken + tokens)
            outcome = await connection.commit(
                Commit(
                    (Write(key, encode_record(taken)),),
                    (Check(key, rows[0].version),),
                ),
            )
            if not isinstance(outcome, PlatformFault):
                return None
            await asyncio.sleep(_PAUSE_S * 2**attempt)
        return NO_ALLOTMENT


@attrs.define(eq=False)
class Static(Policy):
    """Fixed, even split of each payment over all routers.

    Its bills count as recorded in as few writes as those of the router's
    policy: one for each router and flush interval.
    """

    cfg: BudgetSettings
    tokens_left: dict[tuple[int, str], int] = attrs.field(factory=dict)
    unbilled_routers: set[int] = attrs.field(factory=set)

    async def on_payment(self, team: str, tokens: int) -> None:
        """Split a payment; a disconnected router gets its part afterwards."""
        await asyncio.gather(
            *(
                self._fund(number, team, tokens)
                for number in self._router_numbers()
            ),
        )

    async def reserve(self, number: int, call: Call) -> object:
        """Take the maximum usage of the call from the router's part."""
        part = (call.router, call.team)
        if self.tokens_left.get(part, 0) < call.tokens:
            return EXHAUSTED
        self.tokens_left[part] -= call.tokens
        return call

    async def bill(self, number: int, call: Call, reservation: object) -> None:
        """Return the unused tokens to the router's part."""
        self.tokens_left[call.router, call.team] += call.tokens - call.used
        self.unbilled_routers.add(call.router)

    def idle_tokens(self) -> int:
        """Return the tokens left in all parts."""
        return sum(self.tokens_left.values())

    async def run_background(self) -> None:
        """Count one write per interval for each router with bills."""
        while True:
            await asyncio.sleep(self.cfg.flush_interval)
            for number in tuple(self.unbilled_routers):
                if self.connections[number].open:
                    await self.platform.weather.admit_write()
                    self.unbilled_routers.discard(number)

    def _router_numbers(self) -> range:
        return range(len(self.connections))

    async def _fund(self, number: int, team: str, tokens: int) -> None:
        while not self.connections[number].open:  # ruff: ignore[async-busy-wait]
            await asyncio.sleep(1)
        part = (number, team)
        share = tokens // len(self.connections)
        self.tokens_left[part] = self.tokens_left.get(part, 0) + share


async def _run_delayed(delay: float, router: Budgets) -> None:
    await asyncio.sleep(delay)
    await router.run()
