"""Seeded runs of a fleet whose targets leave, reject and come anew.

``python -m tests.notices_run FIRST LAST`` plays a range of seeds.
"""

import asyncio
import logging
import random
import sys
from collections.abc import Awaitable, Callable

import attrs

from tests.listed_fleet import DESK, LLM, ListedFleet

#: Seconds in which a leaving target may still be sent requests.
_DRAIN_S = 2
_RATE = 90
_STEPS = 12
_STEP_S = 0.5
_ROUTERS = 3
_TARGETS = 4
#: Targets of a service that stay, so that it can be served.
_STAYING = 2

Step = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class NoticesRun:
    """One run: load, and a random event every half second.

    Parameters
    ----------
    seed : int
        Source of all that happens.
    events : list of str
        What happened.
    """

    seed: int
    events: list[str] = attrs.field(factory=list)
    fleet: ListedFleet = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the fleet."""
        self.fleet = ListedFleet(self.seed)
        # What happens must not depend on how many requests were sent by then.
        self.rng = random.Random(self.seed)

    async def run(self) -> list[str]:
        """Return all breaches of a run from its start to its end."""
        fleet = self.fleet
        await fleet.start(_ROUTERS, llm=_TARGETS, desk=_TARGETS)
        load = asyncio.ensure_future(fleet.load(_STEPS * _STEP_S, _RATE))
        for _ in range(_STEPS):
            await asyncio.sleep(_STEP_S)
            await self._step()
        await load
        await fleet.stop()
        return [
            *fleet.back_off_breaches(),
            *fleet.leaving_breaches(_DRAIN_S),
            *fleet.untrue_refusals(),
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

    def _some_target(self) -> str:
        service = self.rng.choice((LLM, DESK))
        number = self.rng.randrange(_TARGETS)
        return f'{service}-{number}'

    async def _reject(self) -> None:
        target = self.fleet.targets[self._some_target()]
        target.rejects = True
        target.retry_after = self.rng.choice((0, 0.7, 1, 2, 3))

    async def _narrow(self) -> None:
        """Let all targets of a service bear little, and say when to retry."""
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
        name = self._some_target()
        if int(name.rpartition('-')[2]) >= _STAYING:
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
        await self.fleet.load(_STEP_S / 2, 3 * _RATE)

    async def _restart_router(self) -> None:
        # Without the store a router can't start.
        self.fleet.store.answer()
        await self.fleet.replace_router()


def main() -> int:
    """Play a range of seeds; 1 if one of them broke a bound."""
    logging.getLogger().setLevel(logging.CRITICAL)
    first, last = map(int, sys.argv[1:])
    broken = 0
    for seed in range(first, last + 1):
        run = NoticesRun(seed)
        breaches = asyncio.run(run.run())
        broken += bool(breaches)
        told = f'{len(breaches)} breaches {breaches[:3]}'
        served = dict(run.fleet.statuses)
        sys.stdout.write(f'seed {seed}: {told} {served} {run.events}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{last - first + 1} seeds, {broken} broken\n')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
