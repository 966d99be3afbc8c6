"""Seeded runs of a fleet whose hosts lose their links to all targets.

``python -m tests.lost_links_run FIRST LAST`` runs a range of seeds.
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from itertools import product

import attrs

from balsamreach.daemon.relay_router import RelayRouter
from tests.cut_host import DROPPED, REFUSED, RESET, CutHosts
from tests.listed_fleet import DESK, LLM, ORDER, ListedFleet
from tests.seeded_runs import run_seeds

_ROUTERS = 4
_TARGETS = 3
_STEPS = 10
_STEP_S = 0.4
_SENDERS = 6

Step = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class LostLinksRun:
    """A run under load, with a random event every 0.4 s.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    events : list of str
        Names of the events so far.
    """

    seed: int
    events: list[str] = attrs.field(factory=list)
    fleet: ListedFleet = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)
    hosts: CutHosts = attrs.field(factory=CutHosts)
    _running: bool = True

    def __attrs_post_init__(self) -> None:
        """Create the fleet and the random source."""
        self.fleet = ListedFleet(self.seed)
        # Separate from the source of the fleet: the events must not depend on
        # the number of requests sent.
        self.rng = random.Random(self.seed)

    async def run(self) -> list[str]:
        """Run from start to end and return all breaches."""
        fleet = self.fleet
        await fleet.start(_ROUTERS, llm=_TARGETS, desk=_TARGETS)
        senders = [asyncio.ensure_future(self._send()) for _ in range(_SENDERS)]
        for _ in range(_STEPS):
            await asyncio.sleep(_STEP_S)
            await self._step()
        self._running = False
        await asyncio.gather(*senders)
        unserved = await self._end()
        await fleet.stop()
        return [*fleet.false_refusals(), *fleet.repeated_orders(), *unserved]

    async def _send(self) -> None:
        """Send requests one after the other, each to a random router."""
        while self._running:
            number = self.fleet.rng.choice(self.fleet.running)
            service = self.fleet.rng.choice((LLM, DESK, ORDER))
            await self.fleet.send(number, service)

    async def _end(self) -> list[str]:
        """Reconnect all hosts, and return what they don't serve then."""
        await self._accept()
        for router in self.fleet.routers:
            self.hosts.reconnect(router)
        await asyncio.sleep(1)
        unserved = []
        for pair in product(self.fleet.running, (LLM, DESK, ORDER)):
            answer = await self.fleet.send(*pair)
            if answer.code != HTTPStatus.OK:
                unserved.append(f'{pair}: {answer.code}')
        return unserved

    async def _step(self) -> None:
        steps: tuple[Step, ...] = (
            self._cut_off,
            self._cut_off,
            self._cut_off_most,
            self._reconnect,
            self._reconnect,
            self._reject,
            self._accept,
            self._restart_router,
        )
        step = self.rng.choice(steps)
        self.events.append(step.__name__.strip('_'))
        await step()

    def _pick_router(self) -> RelayRouter:
        return self.fleet.routers[self.rng.choice(self.fleet.running)]

    async def _cut_off(self) -> None:
        how = self.rng.choice((DROPPED, REFUSED, RESET))
        self.hosts.cut_off(self._pick_router(), how)

    async def _cut_off_most(self) -> None:
        for _ in range(_ROUTERS):
            await self._cut_off()

    async def _reconnect(self) -> None:
        self.hosts.reconnect(self._pick_router())

    async def _reject(self) -> None:
        target = self.rng.choice(list(self.fleet.targets.values()))
        target.rejects = True

    async def _accept(self) -> None:
        for target in self.fleet.targets.values():
            target.rejects = False

    async def _restart_router(self) -> None:
        await self.fleet.replace_router()


if __name__ == '__main__':
    sys.exit(run_seeds(LostLinksRun))
