"""Seeded runs of a fleet whose targets crash on a part of some prompts.

``python -m tests.crashing_parts_run FIRST LAST`` runs a range of seeds.
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable

import attrs

from tests.crashing_targets import CrashingTargets, PromptCallers
from tests.cut_host import DROPPED, REFUSED, RESET, CutHosts
from tests.listed_fleet import ListedFleet
from tests.seeded_runs import run_seeds

_ROUTERS = 4
_TARGETS = 8
_QUIET_S = 1.5
_CRASHING_S = 9.0
_STEPS = 6
_SOUND_RATE = 40
#: The promise: requests with the part that may still be sent later than this
#: many seconds after its fifth crash, and the share of sound requests that
#: begin at their first attempt twice that time later, relative to the time
#: before all crashes.
_KNOWN_AFTER = 5
_GRACE_S = 3.0
_MAX_LATE = 3
_MIN_SERVED = 0.5
_MIN_SENT = 20

Step = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class CrashingPartsRun:
    """A run with sound and crashing requests, and a random event each 1.5 s.

    Parameters
    ----------
    seed : int
        Seed of all random choices; it also chooses how targets crash.
    events : list of str
        Names of the events so far.
    """

    seed: int
    events: list[str] = attrs.field(factory=list)
    fleet: ListedFleet = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)
    targets: CrashingTargets = attrs.field(init=False)
    callers: PromptCallers = attrs.field(init=False)
    hosts: CutHosts = attrs.field(factory=CutHosts)
    _draw: float = 0

    def __attrs_post_init__(self) -> None:
        """Create the fleet and the random source."""
        self.fleet = ListedFleet(self.seed, ('relay.retry_share=100%',))
        # Separate from the source of the callers: the events must not depend
        # on the number of requests sent.
        self.rng = random.Random(self.seed)
        self.targets = CrashingTargets(
            self.fleet,
            by_reset=self.rng.choice((True, False)),
            delimited=self.rng.choice((True, True, False)),
        )
        self.callers = PromptCallers(self.fleet, random.Random(self.seed))

    async def run(self) -> list[str]:
        """Run from start to end and return all breaches."""
        await self._start()
        sound = asyncio.ensure_future(
            self.callers.send_sound(_QUIET_S + _CRASHING_S, _SOUND_RATE)
        )
        await asyncio.sleep(_QUIET_S)
        rate = self.rng.choice((1, 3, 8))
        crashing = asyncio.ensure_future(
            self.callers.send_crashing(_CRASHING_S, rate)
        )
        for _ in range(_STEPS):
            await asyncio.sleep(_CRASHING_S / _STEPS)
            await self._step()
        await asyncio.gather(crashing, sound)
        await self._stop()
        return [*self.callers.hung, *self._late(), *self._unserved()]

    async def _start(self) -> None:
        await self.fleet.start(_ROUTERS, desk=1)
        for _ in range(_TARGETS):
            self.targets.add()
        await self.fleet.list_known()

    async def _stop(self) -> None:
        await self.targets.stop()
        await self.fleet.stop()
        self.fleet.statuses['crashes', len(self.targets.crashed_at)] += 1
        for one in self.callers.sound:
            self.fleet.statuses['sound', one.status] += 1

    def _late(self) -> list[str]:
        late = self.targets.late_arrivals(_KNOWN_AFTER, _GRACE_S)
        return [f'{late} late requests'] if late > _MAX_LATE else []

    def _unserved(self) -> list[str]:
        """Return whether sound requests are refused once the part is known."""
        began = self.callers.sound[0].at
        quiet = self.callers.served_share(began, began + _QUIET_S)
        known_at = self.targets.crashed_at[:_KNOWN_AFTER][-1]
        since = known_at + 2 * _GRACE_S
        sent = sum(one.at >= since for one in self.callers.sound)
        share = self.callers.served_share(since, float('inf'))
        if sent < _MIN_SENT:
            return []
        if share >= _MIN_SERVED * quiet:
            return []
        return [f'{share:.2f} of sound requests begin, {quiet:.2f} before']

    async def _step(self) -> None:
        steps: tuple[Step, ...] = (
            self._kill_router,
            self._replace_router,
            self._crash_by_chance,
            self._crash_by_chance,
            self._reset_connections,
            self._cut_off,
            self._reconnect,
        )
        # Each event draws as many numbers, whatever happens to the fleet, so
        # that a seed has the same events each time.
        self._draw = self.rng.random()
        step = self.rng.choice(steps)
        self.events.append(step.__name__.strip('_'))
        await step()

    async def _kill_router(self) -> None:
        await self.fleet.kill_router()

    async def _replace_router(self) -> None:
        await self.fleet.replace_router()

    async def _crash_by_chance(self) -> None:
        """Crash targets that no request harms."""
        for target in self.targets.running()[:2]:
            self.targets.crash(target, by_chance=True)

    async def _reset_connections(self) -> None:
        """Break the connections of all requests; the targets live on."""
        for target in self.targets.running():
            target.break_connections(by_reset=True)

    async def _cut_off(self) -> None:
        running, hows = self.fleet.running, (DROPPED, REFUSED, RESET)
        number = running[int(self._draw * len(running))]
        how = hows[int(self._draw * 97) % len(hows)]
        self.hosts.cut_off(self.fleet.routers[number], how)

    async def _reconnect(self) -> None:
        for router in self.fleet.routers:
            self.hosts.reconnect(router)


if __name__ == '__main__':
    sys.exit(run_seeds(CrashingPartsRun))
