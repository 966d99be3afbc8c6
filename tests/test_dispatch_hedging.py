"""Tests of hedged requests."""

import asyncio
import unittest

from parameterized import parameterized

from balsamreach.dispatch.hedging import HEDGES
from balsamreach.routing.hedges import HedgeDelays
from balsamreach.standins.memory import MemoryPlatform
from tests.fake_upstream import BREAK_BEFORE_HEAD, HANG, FakeUpstream, pause
from tests.small_router import (
    QuickClock,
    SmallRouter,
    open_account,
    service_call,
)

_ENGINE = ('engine', 'model-a')
_DESK = ('service', 'desk')
_DONE_EVENT = b'data: [DONE]\n\n'


class DelayTest(unittest.TestCase):
    """The delay before a hedge."""

    def test_delay_is_a_high_percentile_with_a_floor(self):
        delays = HedgeDelays(enabled=True)
        for number in range(19):
            delays.add_first_byte(_ENGINE, number / 10)
        self.assertEqual(delays.delay(_ENGINE), 0)
        delays.add_first_byte(_ENGINE, 1.9)
        self.assertAlmostEqual(delays.delay(_ENGINE), 1.9)
        for _ in range(200):
            delays.add_first_byte(_ENGINE, 0.001)
        self.assertAlmostEqual(delays.delay(_ENGINE), 0.05)
        self.assertEqual(delays.delay(_DESK), 0)

    def test_nothing_is_learnt_while_it_is_off(self):
        delays = HedgeDelays(enabled=False)
        for _ in range(30):
            delays.add_first_byte(_ENGINE, 1)
        self.assertEqual(delays.delay(_ENGINE), 0)


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    """A hedged request gets one answer and one bill."""

    async def asyncSetUp(self):
        clock = QuickClock()
        platform = MemoryPlatform.start(clock)
        await open_account(platform)
        self.upstream = FakeUpstream()
        self.router = SmallRouter('router-a', platform, self.upstream, clock)
        self.attempt_parts = self.router.parts.attempt_parts
        self.routing = self.attempt_parts.placer.routing
        self.routing.hedges.enabled = True
        for pool in (_ENGINE, _DESK):
            for _ in range(20):
                self.routing.hedges.add_first_byte(pool, 0.1)

    def plan_first(self, fault):
        """Set the fault of the request that is sent first."""
        self.upstream.plan_next(fault)

    def hedges(self, outcome):
        """Return the number of hedges with an outcome."""
        return self.attempt_parts.metrics.counted(HEDGES, outcome=outcome)

    async def settle(self):
        """Run all tasks that need no further time."""
        for _ in range(100):
            await asyncio.sleep(0)

    def check_slots_released(self):
        """Check that all slots have been released."""
        pools = self.routing.admission.picker.pools
        held = [state.slots_held for state in pools.states.values()]
        self.assertEqual(sum(held), 0)

    @parameterized.expand([({},), (service_call(),)])
    async def test_second_target_answers_for_a_silent_one(self, changes):
        """Guards against a request waiting for the gap timeout.

        A target takes the request and sends nothing, while others are idle.
        """
        self.plan_first(HANG)
        caller = await self.router.call(**changes)
        self.assertTrue(caller.end.is_complete, caller.end)
        self.assertEqual(self.upstream.runs['key'], 2)
        self.assertEqual(len(self.router.bills()), 1)
        self.assertEqual(self.hedges('second'), 1)
        self.check_slots_released()

    async def test_first_attempt_continues_if_it_answers_first(self):
        """Guards against mixing the bytes of two attempts.

        The first attempt answers while the second one is running; if both
        wrote to the caller, it would get the beginning twice.
        """
        self.plan_first(pause(0))
        self.upstream.plan_next(HANG)
        submitted = asyncio.create_task(self.router.call())
        await self.settle()
        self.assertEqual(len(self.upstream.sent), 2)
        self.upstream.go_on.set()
        caller = await submitted
        self.assertTrue(caller.end.is_complete, caller.end)
        self.assertEqual(caller.body.count(_DONE_EVENT), 1)
        self.assertEqual(self.hedges('first'), 1)
        self.check_slots_released()

    @parameterized.expand(
        [
            ('not idempotent', service_call(idempotent=False)),
            ('whole answer of an engine', {'stream': False}),
        ]
    )
    async def test_some_requests_are_never_hedged(self, _name, changes):
        """Guards against hedging requests that must not run twice.

        If a slow booking were sent a second time, a guest would be booked
        twice.
        """
        self.plan_first(HANG)
        submitted = asyncio.create_task(self.router.call(**changes))
        await self.upstream.began.wait()
        await self.settle()
        self.assertEqual(self.upstream.runs['key'], 1)
        submitted.cancel()

    async def test_empty_retry_budget_allows_no_hedge(self):
        """Guards against hedges beyond the retry budget.

        If all targets are slow, every request would be sent twice, which
        doubles the load on overloaded targets.
        """
        self.routing.retries.tokens = 0
        self.upstream.plan_next(pause(0))
        submitted = asyncio.create_task(self.router.call())
        await self.settle()
        self.assertEqual(self.hedges('not_sent'), 1)
        self.upstream.go_on.set()
        caller = await submitted
        self.assertTrue(caller.end.is_complete, caller.end)
        self.assertEqual(self.upstream.runs['key'], 1)

    async def test_target_that_always_loses_is_suspended(self):
        """Guards against a slow target attracting requests by being hedged.

        Attempts at it are cancelled as soon as the hedge answers, so its slots
        are released early and it looks idle. If lost races didn't count
        against it, it would get more requests than without hedging, each
        waiting for the delay first: the p99 falls but the p95 rises.
        """
        self.routing.retries.tokens = 100
        self.upstream.plan('engine-0', *(HANG for _ in range(60)))
        for number in range(60):
            caller = await self.router.call(key=f'key-{number}')
            self.assertTrue(caller.end.is_complete, caller.end)
        pools = self.routing.admission.picker.pools
        breakers = {
            name: state.breaker.is_open for name, state in pools.states.items()
        }
        slow = breakers.pop('engine-0')
        self.assertTrue(slow)
        self.assertFalse(any(breakers.values()))
        self.check_slots_released()

    async def test_failed_first_attempt_waits_for_the_hedge(self):
        self.plan_first(BREAK_BEFORE_HEAD)
        caller = await self.router.call()
        self.assertTrue(caller.end.is_complete, caller.end)
        self.assertEqual(len(self.router.bills()), 1)
        self.check_slots_released()
