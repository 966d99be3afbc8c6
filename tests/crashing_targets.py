"""Targets that crash on parts of prompts, and callers that send those."""

import asyncio
import itertools
import random
from collections.abc import Iterator

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from balsamreach.standins.listed_target import ListedTarget, make_listed_target
from tests.listed_fleet import CHAT, LLM, ListedFleet
from tests.stream_callers import StreamCaller

#: Part that all prompts have, and one of which no target survives.
SYSTEM_PART = 'aaaa'
CRASHING_PART = 'dead'
_EVENTS = 20
_WORK_S = 0.03
_CRASH_DELAY_S = 0.03
_RETRY_S = 0.1


@attrs.frozen
class Sent:
    """One request, and whether its first attempt brought events.

    Parameters
    ----------
    at : float
        Monotonic seconds at which it was sent.
    served : bool
        Whether it began at its first attempt.
    status : int
        Status of that attempt, 0 for none.
    """

    at: float
    served: bool
    status: int


@attrs.define(eq=False)
class CrashingTargets:
    """Targets that are replaced at their addresses after they have crashed.

    Parameters
    ----------
    fleet : ListedFleet
        The routers.
    by_reset : bool
        Whether a crash resets connections, and doesn't close them in order.
    delimited : bool
        Whether streams are sent in chunks.
    down_s : float
        Seconds for which the address of a crashed target refuses connections.
    crashed_at : list of float
        Monotonic seconds of the crashes that a part has caused.
    crashing_parts : set of str
        Parts that crash the targets.
    """

    fleet: ListedFleet
    by_reset: bool = True
    delimited: bool = True
    down_s: float = 1.0
    crashed_at: list[float] = attrs.field(factory=list)
    crashing_parts: set[str] = attrs.field(factory=lambda: {CRASHING_PART})
    _servers: dict[str, HTTPServer] = attrs.field(factory=dict)
    _ports: dict[str, int] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def add(self, port: int = 0) -> ListedTarget:
        """Start a target, at a port of its own or one that is free again."""
        target = ListedTarget(
            target_id=f'{LLM}-{next(self._numbers)}',
            clock=self.fleet.clock,
            work=_WORK_S,
            events=_EVENTS,
            crashing_parts=self.crashing_parts,
            crash_delay=_CRASH_DELAY_S,
            on_crash=self.crash,
            delimited=self.delimited,
        )
        sockets = bind_sockets(port, '127.0.0.1')
        server = HTTPServer(make_listed_target(target))
        server.add_sockets(sockets)
        name, port = target.target_id, sockets[0].getsockname()[1]
        self._servers[name] = server
        self._ports[name] = port
        self.fleet.targets[name] = target
        self.fleet.list_target(name, LLM, f'127.0.0.1:{port}')
        return target

    def running(self) -> list[ListedTarget]:
        """Return the targets that have not crashed."""
        return [self.fleet.targets[name] for name in self._servers]

    def crash(self, target: ListedTarget, *, by_chance: bool = False) -> None:
        """End a target; another one starts at its address a while later."""
        server = self._servers.pop(target.target_id, None)
        if server is None:
            return
        if not by_chance:
            self.crashed_at.append(self.fleet.clock.now())
        server.stop()
        target.break_connections(by_reset=self.by_reset)
        task = asyncio.ensure_future(self._replace(target.target_id, server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """End all targets."""
        for task in tuple(self._tasks):
            task.cancel()
        for server in self._servers.values():
            server.stop()
            await server.close_all_connections()

    def late_arrivals(self, crashes: int, grace_s: float) -> int:
        """Return how many requests with the part came although it was known.

        Parameters
        ----------
        crashes : int
            Crashes after which the part counts as known.
        grace_s : float
            Seconds after the last of these crashes.
        """
        if len(self.crashed_at) < crashes:
            return 0
        bound = self.crashed_at[crashes - 1] + grace_s
        return sum(
            CRASHING_PART in arrival.shared_parts and arrival.at > bound
            for target in self.fleet.targets.values()
            for arrival in target.arrivals
        )

    async def _replace(self, name: str, server: HTTPServer) -> None:
        await server.close_all_connections()
        await asyncio.sleep(self.down_s)
        self.fleet.store.write('servers', name, None)
        self.add(self._ports[name])


@attrs.define(eq=False)
class PromptCallers:
    """Callers with sound prompts, and others with a part that crashes targets.

    Parameters
    ----------
    fleet : ListedFleet
        The routers.
    rng : random.Random
        Chooses routers, parts and times.
    sessions : int
        Parts that only some of the sound prompts have.
    sound, crashing : list of Sent
        Requests of either kind.
    hung : list of str
        Attempts that got no end in time.
    """

    fleet: ListedFleet
    rng: random.Random
    sessions: int = 10
    sound: list[Sent] = attrs.field(factory=list)
    crashing: list[Sent] = attrs.field(factory=list)
    hung: list[str] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    async def send_sound(self, seconds: float, rate: float) -> None:
        """Send sound requests at random times, and wait for their ends."""
        await self._repeat(seconds, rate, self._send_sound)

    async def send_crashing(self, seconds: float, rate: float) -> None:
        """Send requests with the part at random times, no two alike."""
        await self._repeat(seconds, rate, self._send_crashing)

    def served_share(self, since: float, until: float) -> float:
        """Return the share of sound requests that began at once."""
        sent = [one for one in self.sound if since <= one.at < until]
        return sum(one.served for one in sent) / max(1, len(sent))

    async def _repeat(self, seconds: float, rate: float, send) -> None:
        ends_at = self.fleet.clock.now() + seconds
        sending = []
        while self.fleet.clock.now() < ends_at:
            sending.append(asyncio.ensure_future(send()))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*sending)

    async def _send_sound(self) -> None:
        session = f'5e5{self.rng.randrange(self.sessions):x}'
        await self._call((SYSTEM_PART, session), self.sound)

    async def _send_crashing(self) -> None:
        await self._call((SYSTEM_PART, CRASHING_PART), self.crashing)

    async def _call(self, parts: tuple[str, ...], sent: list[Sent]) -> None:
        caller = StreamCaller(
            self.fleet,
            f'caller-{next(self._numbers)}',
            route=self.rng.choice((LLM, CHAT)),
            shared_parts=parts,
        )
        at = self.fleet.clock.now()
        if not await self._attempt(caller):
            return
        sent.append(Sent(at, caller.last_id > 0, caller.statuses[0]))
        if caller.last_id == 0:
            await asyncio.sleep(_RETRY_S)
            await self._attempt(caller)

    async def _attempt(self, caller: StreamCaller) -> bool:
        router = self.rng.choice(self.fleet.running)
        try:
            await caller.attempt(router)
        except TimeoutError:
            runs = 'runs' if router in self.fleet.running else 'has ended'
            self.hung.append(f'{caller.name}: no end at {router}, which {runs}')
            return False
        return True
