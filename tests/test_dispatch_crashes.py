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
_CRASHING = 'culprit'
_DONE_EVENT = b'data: [DONE]\n\n'
_LOOP_ITERATIONS = 200


@attrs.define(eq=False)
class CrashingEngines(Upstream):
    """Engines that one request crashes, with all requests running there."""

    crashed: list = attrs.field(factory=list)
    started: list = attrs.field(factory=list)
    dead: set = attrs.field(factory=set)
    go_on: asyncio.Event = attrs.field(factory=asyncio.Event)
    _crash_events: dict = attrs.field(factory=dict)

    async def send(self, attempt, intake):
        """Run a request until it ends or its engine crashes."""
        name = attempt.target.name
        await asyncio.sleep(0)
        if name in self.dead or not intake.may_send():
            return NOT_SENT
        fingerprint = attempt.call.req.fingerprint
        self.started.append((name, fingerprint))
        crash = self._crash_events.setdefault(name, asyncio.Event())
        if fingerprint == _CRASHING:
            self.crashed.append(name)
            self.dead.add(name)
            self._crash_events.pop(name).set()
            return BROKEN
        await self._first_of(crash, self.go_on)
        if crash.is_set():
            return BROKEN
        intake.start(200, {'content-type': 'text/event-stream'})
        intake.write(_DONE_EVENT)
        return None

    async def _first_of(self, *events):
        waiting = [asyncio.create_task(event.wait()) for event in events]
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()


class CrashTest(unittest.IsolatedAsyncioTestCase):
    """Two routers with eight engines."""

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
        """Report all engines to a router, crashed ones as restarted."""
        for target in router.targets.by_name.values():
            crashed = target.name in self.engines.crashed
            incarnation = start if crashed else 'first'
            report = LoadReport(
                incarnation=incarnation, valid_at=self.clock.now()
            )
            target.apply_report(report, self.clock.now())

    def quarantine(self, router):
        """Return a router's quarantine."""
        return router.routing.quarantine

    def send(self, router, mark, key):
        """Start a request."""
        return asyncio.create_task(router.call(mark=mark, key=key))

    async def run_tasks(self):
        """Run all tasks that need no further time."""
        for _ in range(_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        await self.net.settle()

    async def reveal_crashes(self, how):
        """Make the crashes known in the given way, or not yet."""
        if how == 'restarted':
            self.engines.dead.clear()
            for router in self.routers:
                self.report(router, 'second')
                router.routing.tick()
        if how == 'refused':
            quarantine = self.quarantine(self.routers[0])
            for name in self.engines.crashed:
                quarantine.record_refused_connection(name)
        await self.net.settle()

    @parameterized.expand([('not known yet',), ('refused',), ('restarted',)])
    async def test_request_crashes_two_engines_and_others_are_served(self, how):
        """Guards against one request crashing many engines.

        The request crashes its engine, then the one it is retried at, with
        other requests of both routers running there. It is then sent again
        under new keys. This may happen before the crashes are known. If broken
        connections are known to one router only, a third engine crashes; if
        all requests that ran there are suspected alike, sound ones are refused
        for an hour.
        """
        await self.crash_two_engines()
        others = self.other_fingerprints()
        self.assertGreater(len(others), 2)
        await self.reveal_crashes(how)
        for number, router in enumerate(reversed(self.routers)):
            again = await router.call(mark=_CRASHING, key=f'again-{number}')
            self.assertEqual(again.fault.ran, faults.NOT_RUN)
        self.assertEqual(len(self.engines.crashed), 2)
        await self.check_others(others)

    async def crash_two_engines(self):
        """Send the crashing request among others, which must be answered."""
        beside = [
            self.send(self.routers[number % 2], f'n{number}', f'key-{number}')
            for number in range(4 * _ENGINES)
        ]
        await self.run_tasks()
        crashing = self.send(self.routers[0], _CRASHING, 'first key')
        await self.run_tasks()
        self.engines.go_on.set()
        await self.run_tasks()
        self.assertIsNotNone((await crashing).fault)
        self.assertEqual(len(self.engines.crashed), 2)
        for caller in await asyncio.gather(*beside):
            self.assertIsNone(caller.fault)

    def other_fingerprints(self):
        """Return the fingerprints of other requests at crashed engines."""
        crashed = self.engines.crashed
        ran = {mark for name, mark in self.engines.started if name in crashed}
        return sorted(ran - {_CRASHING})

    async def check_others(self, others):
        """Check that both routers serve all other requests."""
        for router in self.routers:
            for mark in (*others, 'new'):
                caller = await router.call(mark=mark, key=f'later-{mark}')
                self.assertIsNone(caller.fault, mark)
            held = self.quarantine(router).quarantined_requests()
            fingerprints = {one.fingerprint for one in held}
            self.assertLessEqual(fingerprints, {f'team-{_CRASHING}'})
