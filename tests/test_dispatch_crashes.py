"""Tests of requests that crash engines, sent through two routers."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.dispatch import faults
from balsamreach.dispatch.upstream import BROKEN, NOT_SENT, Upstream
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.targets.reports import LoadReport
from tests.fake_net import FakeNet
from tests.small_router import QuickClock, SmallRouter, open_account

_ENGINES = 8
_CULPRIT = 'culprit'
_END = b'data: [DONE]\n\n'
_TURNS = 200


@attrs.define(eq=False)
class CrashingEngines(Upstream):
    """Engines that one request crashes, with all that run beside it."""

    lost: list = attrs.field(factory=list)
    begun: list = attrs.field(factory=list)
    dead: set = attrs.field(factory=set)
    go_on: asyncio.Event = attrs.field(factory=asyncio.Event)
    _crashes: dict = attrs.field(factory=dict)

    async def send(self, attempt, intake):
        """Run a request until its end or its engine's."""
        name = attempt.target.name
        await asyncio.sleep(0)
        if name in self.dead or not intake.before_send():
            return NOT_SENT
        fingerprint = attempt.call.req.fingerprint
        self.begun.append((name, fingerprint))
        crash = self._crashes.setdefault(name, asyncio.Event())
        if fingerprint == _CULPRIT:
            self.lost.append(name)
            self.dead.add(name)
            self._crashes.pop(name).set()
            return BROKEN
        await self._first_of(crash, self.go_on)
        if crash.is_set():
            return BROKEN
        intake.start(200, {'content-type': 'text/event-stream'})
        intake.write(_END)
        return None

    async def _first_of(self, *events):
        waiting = [asyncio.create_task(event.wait()) for event in events]
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()


class CrashTest(unittest.IsolatedAsyncioTestCase):
    """Two routers before eight engines."""

    async def asyncSetUp(self):
        self.clock = QuickClock()
        platform = MemoryPlatform.start(self.clock)
        await open_account(platform)
        self.net = FakeNet()
        self.engines = CrashingEngines()
        self.routers = [
            SmallRouter(
                name,
                platform,
                self.engines,
                self.clock,
                net=self.net.join(name),
                seed=seed,
                engines=_ENGINES,
            )
            for seed, name in enumerate(('router-a', 'router-b'))
        ]
        for router in self.routers:
            self.report(router, 'first')

    def report(self, router, start):
        """Let a router hear of all engines."""
        for target in router.targets.by_name.values():
            lost = target.name in self.engines.lost
            incarnation = start if lost else 'first'
            report = LoadReport(
                incarnation=incarnation, taken_at=self.clock.now()
            )
            target.take_report(report, self.clock.now())

    def quarantine(self, router):
        """Return a router's quarantine."""
        return router.routing.quarantine

    def send(self, router, mark, key):
        """Begin a request."""
        return asyncio.create_task(router.call(mark=mark, key=key))

    async def turn(self):
        """Let happen whatever needs no further time."""
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        await self.net.settle()

    async def learn(self, how):
        """Let the crashes become known, or not yet."""
        if how == 'restarted':
            self.engines.dead.clear()
            for router in self.routers:
                self.report(router, 'second')
                router.routing.tick()
        if how == 'refused':
            quarantine = self.quarantine(self.routers[0])
            for name in self.engines.lost:
                quarantine.refused(name)
        await self.net.settle()

    @parameterized.expand([('not known yet',), ('refused',), ('restarted',)])
    async def test_two_engines_are_lost_and_no_neighbour_is_blamed(self, how):
        """One request takes engine after engine down, and others' names.

        Symptom: a third engine is lost a moment after the second; or
        callers of sound requests are refused for an hour. Sequence: a
        request crashes its engine, with others of both routers beside it,
        and the one it is tried at again; before or after anybody knows that
        they crashed, it is sent again under a new key through the other
        router. Cause: connections that broke were known to one router
        alone until a crash was certain; or all that were there look alike.
        """
        await self.crash_two()
        broken = self.neighbours()
        self.assertGreater(len(broken), 2)
        await self.learn(how)
        for number, router in enumerate(reversed(self.routers)):
            again = await router.call(mark=_CULPRIT, key=f'again-{number}')
            self.assertEqual(again.fault.ran, faults.NOT_RUN)
        self.assertEqual(len(self.engines.lost), 2)
        await self.check_others(broken)

    async def crash_two(self):
        """Send the culprit beside others, which all are to be answered."""
        beside = [
            self.send(self.routers[number % 2], f'n{number}', f'key-{number}')
            for number in range(4 * _ENGINES)
        ]
        await self.turn()
        culprit = self.send(self.routers[0], _CULPRIT, 'first key')
        await self.turn()
        self.engines.go_on.set()
        await self.turn()
        self.assertIsNotNone((await culprit).fault)
        self.assertEqual(len(self.engines.lost), 2)
        for caller in await asyncio.gather(*beside):
            self.assertIsNone(caller.fault)

    def neighbours(self):
        """Return the fingerprints that ran at the engines that were lost."""
        lost = self.engines.lost
        ran = {mark for name, mark in self.engines.begun if name in lost}
        return sorted(ran - {_CULPRIT})

    async def check_others(self, broken):
        """Check that all but the culprit are served by both routers."""
        for router in self.routers:
            for mark in (*broken, 'new'):
                caller = await router.call(mark=mark, key=f'later-{mark}')
                self.assertIsNone(caller.fault, mark)
            held = self.quarantine(router).listed()
            prints = {one.fingerprint for one in held}
            self.assertLessEqual(prints, {f'team-{_CULPRIT}'})
