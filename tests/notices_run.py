"""Seeded runs of a fleet whose targets leave, reject and get replaced.

``python -m tests.notices_run FIRST LAST`` runs a range of seeds.
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable

import attrs

from tests.listed_fleet import DESK, LLM, ListedFleet
from tests.seeded_runs import run_seeds

#: Seconds during which a leaving target may still get requests.
_DRAIN_BOUND_S = 2
_REQUESTS_PER_S = 90
_STEPS = 12
_STEP_S = 0.5
_ROUTERS = 3
_TARGETS = 4
#: Targets of each service that never leave, so that some always serve.
_PERMANENT_TARGETS = 2

Step = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class NoticesRun:
    """A run under load, with a random event every half second.

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
        load = asyncio.ensure_future(
            fleet.load(_STEPS * _STEP_S, _REQUESTS_PER_S)
        )
        for _ in range(_STEPS):
            await asyncio.sleep(_STEP_S)
            await self._step()
        await load
        await fleet.stop()
        return [
            *fleet.back_off_breaches(),
            *fleet.leaving_breaches(_DRAIN_BOUND_S),
            *fleet.false_refusals(),
        ]

    async def _step(self) -> None:
        steps: tuple[Step, ...] = (
            self._reject,
            self._reject,
            self._narrow,
            self._recover,
            self._leave,
            self._leave,
            self._replace,
            self._silence_store,
            self._burst,
            self._restart_router,
        )
        step = self.rng.choice(steps)
        self.events.append(step.__name__.strip('_'))
        await step()

    def _pick_target(self) -> str:
        service = self.rng.choice((LLM, DESK))
        number = self.rng.randrange(_TARGETS)
        return f'{service}-{number}'

    async def _reject(self) -> None:
        target = self.fleet.targets[self._pick_target()]
        target.rejects = True
        target.retry_after = self.rng.choice((0, 0.7, 1, 2, 3))

    async def _narrow(self) -> None:
        """Reduce the capacity of all targets of a service."""
        service = self.rng.choice((LLM, DESK))
        for name, target in self.fleet.targets.items():
            if name.startswith(service):
                target.slots = 2
                target.work = 0.02
                target.retry_after = 1

    async def _recover(self) -> None:
        for target in self.fleet.targets.values():
            target.rejects = False
            target.slots = 64
            target.work = 0

    async def _leave(self) -> None:
        name = self._pick_target()
        if int(name.rpartition('-')[2]) >= _PERMANENT_TARGETS:
            self.fleet.targets[name].leaving = True

    async def _replace(self) -> None:
        number = len(self.fleet.targets)
        service = self.rng.choice((LLM, DESK))
        self.fleet.add_target(f'{service}-{number}', service)

    async def _silence_store(self) -> None:
        if self.fleet.store.audible.is_set():
            self.fleet.store.fall_silent()
        else:
            self.fleet.store.answer()

    async def _burst(self) -> None:
        await self.fleet.load(_STEP_S / 2, 3 * _REQUESTS_PER_S)

    async def _restart_router(self) -> None:
        # A router can't start without the store.
        self.fleet.store.answer()
        await self.fleet.replace_router()


if __name__ == '__main__':
    sys.exit(run_seeds(NoticesRun))
