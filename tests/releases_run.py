"""Seeded runs of a fleet whose targets are replaced by another release.

``python -m tests.releases_run FIRST LAST`` runs a range of seeds.
"""

import asyncio
import itertools
import random
import sys
from collections.abc import Awaitable, Callable, Iterator

import attrs

from balsamreach.standins.listed_target import ListedTarget
from tests.cut_host import DROPPED, REFUSED, RESET, CutHosts
from tests.listed_fleet import LLM, ListedFleet
from tests.seeded_runs import run_seeds
from tests.stream_callers import StreamCaller

_ROUTERS = 4
_RELEASES = ('v1', 'v2')
_TARGETS = 3
_EVENTS = 12
_WORK_S = 0.1
_STEPS = 12
_STEP_S = 0.4
_CALLERS = 20
#: Times that a caller takes its stream up again.
_RETURNS = 3
#: Share of streams that lose their caller's connection, and the seconds after
#: which the caller returns.
_LOST_SHARE = 0.4
_RETURN_S = 0.02
#: Minimum share of streams taken up that go on, relative to that of the new
#: ones that begin, and the number of them from which it counts.
_MIN_RATIO = 0.5
_MIN_RETURNS = 12
#: Status of an attempt whose connection ended without an answer. It shows
#: nothing if all routers were killed meanwhile.
_UNANSWERED = 0
#: Seconds from a stream's first event after which a restart of all routers must
#: not lose its release.
_WRITTEN_S = 0.5
#: Share of such restarts during which all targets of a release are replaced.
_REPLACED_SHARE = 0.5

Step = Callable[[], Awaitable[None]]


@attrs.define
class _Served:
    """How many attempts there were, and how many brought events."""

    sent: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        """Share of the attempts that brought events; 1 if there were none."""
        return self.served / self.sent if self.sent else 1


@attrs.frozen
class _Restart:
    """Monotonic seconds between which no router ran."""

    killed_at: float
    up_at: float


@attrs.define(eq=False)
class ReleasesRun:
    """A run with callers who return, and a random event every 0.4 s.

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
    _new: _Served = attrs.field(factory=_Served)
    _returned: _Served = attrs.field(factory=_Served)
    _mixed: list[str] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _survived: _Served = attrs.field(factory=_Served)
    _restarts: list[_Restart] = attrs.field(factory=list)
    _up: asyncio.Event = attrs.field(factory=asyncio.Event)
    _running: bool = True

    def __attrs_post_init__(self) -> None:
        """Create the fleet and the random source."""
        self.fleet = ListedFleet(self.seed, ('relay.retry_share=100%',))
        # Separate from the source of the fleet: the events must not depend on
        # the number of requests sent.
        self.rng = random.Random(self.seed)

    async def run(self) -> list[str]:
        """Run from start to end and return all breaches."""
        fleet = self.fleet
        await fleet.start(_ROUTERS, desk=1)
        for release in _RELEASES * _TARGETS:
            self._add_target(release)
        await fleet.list_known()
        self._up.set()
        callers = [asyncio.ensure_future(self._call()) for _ in range(_CALLERS)]
        for _ in range(_STEPS):
            await asyncio.sleep(_STEP_S)
            await self._step()
        self._running = False
        await asyncio.gather(*callers)
        await fleet.stop()
        return [*self._mixed, *self._refusals()]

    def _refusals(self) -> list[str]:
        least = _MIN_RATIO * self._new.share
        counts = {'returning': self._returned, 'surviving': self._survived}
        return [
            f'{count} of {name} streams, {self._new} of new'
            for name, count in counts.items()
            if count.sent >= _MIN_RETURNS and count.share < least
        ]

    def _add_target(self, release: str) -> None:
        number = next(self._numbers)
        target = self.fleet.add_target(f'llm-{number}', LLM, release)
        target.events = _EVENTS
        target.work = _WORK_S

    async def _call(self) -> None:
        """Run streams one after the other, and take up those that break."""
        while self._running:
            name = f'caller-{next(self._numbers)}'
            caller = StreamCaller(self.fleet, name)
            await self._up.wait()
            await self._attempt(caller, self._new)
            for _ in range(_RETURNS):
                await self._return(caller)
            if caller.is_mixed:
                self._mixed.append(f'{name}: {caller.releases}')

    async def _return(self, caller: StreamCaller) -> None:
        # One that lacks its end alone has nothing left to get.
        if caller.is_complete or not 0 < caller.last_id < _EVENTS:
            return
        await asyncio.sleep(_RETURN_S)
        await self._up.wait()
        await self._attempt(caller, self._count_of(caller))

    async def _attempt(self, caller: StreamCaller, served: _Served) -> None:
        is_lost = self.fleet.rng.random() < _LOST_SHARE
        max_events = self.fleet.rng.randrange(1, _EVENTS) if is_lost else 0
        before = caller.last_id
        restarts = len(self._restarts)
        await caller.attempt(
            self.fleet.rng.choice(self.fleet.running), max_events
        )
        kind = 'returned' if before else 'new'
        self.fleet.statuses[kind, caller.statuses[-1]] += 1
        goes_on = caller.is_complete or caller.last_id > before
        was_killed = not self._up.is_set() or len(self._restarts) > restarts
        if was_killed and not goes_on and caller.statuses[-1] == _UNANSWERED:
            return
        served.sent += 1
        served.served += goes_on

    def _can_go_on(self, caller: StreamCaller) -> bool:
        """Return whether two targets of the caller's release serve."""
        release = caller.releases[0]
        serving = [
            target
            for target in self._listed()
            if target.release == release and not target.rejects
        ]
        return len(serving) > 1

    def _count_of(self, caller: StreamCaller) -> _Served:
        """Return the count that an attempt at taking up a stream adds to."""
        since = [
            restart
            for restart in self._restarts
            if caller.began_at < restart.up_at
        ]
        if not self._can_go_on(caller) or any(
            caller.began_at > restart.killed_at - _WRITTEN_S
            for restart in since
        ):
            return _Served()
        return self._survived if since else self._returned

    def _listed(self) -> list[ListedTarget]:
        return [
            target
            for target_id, target in self.fleet.targets.items()
            if ('servers', '', target_id) in self.fleet.store.rows
            and target_id.startswith(LLM)
        ]

    async def _step(self) -> None:
        steps: tuple[Step, ...] = (
            self._break_streams,
            self._break_streams,
            self._replace_target,
            self._replace_target,
            self._kill_router,
            self._replace_router,
            self._replace_release,
            self._restart_all,
            self._cut_off,
            self._reconnect,
            self._reconnect,
        )
        step = self.rng.choice(steps)
        self.events.append(step.__name__.strip('_'))
        await step()

    async def _break_streams(self) -> None:
        """Let a target break the streams that it begins from now on."""
        listed = self._listed()
        for target in listed:
            target.breaks_after = 0
        chosen = self.rng.choice(listed)
        chosen.breaks_after = self.rng.randrange(1, _EVENTS)

    async def _replace_target(self) -> None:
        """Replace a target by one of the other release."""
        old = self.rng.choice(self._listed())
        release = next(one for one in _RELEASES if one != old.release)
        self._replace(old, release)

    async def _replace_release(self) -> None:
        """Replace all targets of a release by such of the other one."""
        old, new = self.rng.sample(_RELEASES, 2)
        for target in self._listed():
            if target.release == old:
                self._replace(target, new)

    def _replace(self, old: ListedTarget, release: str) -> None:
        self._add_target(release)
        self.fleet.store.write('servers', old.target_id, None)

    async def _kill_router(self) -> None:
        await self.fleet.kill_router()

    async def _restart_all(self) -> None:
        """Kill all routers, replace a release or not, and start others."""
        self._up.clear()
        killed_at = self.fleet.clock.now()
        count = await self.fleet.kill_all()
        if self.rng.random() < _REPLACED_SHARE:
            self.events.append('replace_release while down')
            await self._replace_release()
        await self.fleet.add_routers(count)
        self._restarts.append(_Restart(killed_at, self.fleet.clock.now()))
        self._up.set()

    async def _replace_router(self) -> None:
        await self.fleet.replace_router()

    async def _cut_off(self) -> None:
        number = self.rng.choice(self.fleet.running)
        how = self.rng.choice((DROPPED, REFUSED, RESET))
        self.hosts.cut_off(self.fleet.routers[number], how)

    async def _reconnect(self) -> None:
        for router in self.fleet.routers:
            self.hosts.reconnect(router)


if __name__ == '__main__':
    sys.exit(run_seeds(ReleasesRun))
