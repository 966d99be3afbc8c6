"""Tests of second attempts beside slow ones."""

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
_LAST = b'data: [DONE]\n\n'


class DelayTest(unittest.TestCase):
    """When an attempt counts as slow."""

    def test_delay_is_a_high_percentile_with_a_floor(self):
        delays = HedgeDelays(enabled=True)
        for number in range(19):
            delays.observe(_ENGINE, number / 10)
        self.assertEqual(delays.delay(_ENGINE), 0)
        delays.observe(_ENGINE, 1.9)
        self.assertAlmostEqual(delays.delay(_ENGINE), 1.9)
        for _ in range(200):
            delays.observe(_ENGINE, 0.001)
        self.assertAlmostEqual(delays.delay(_ENGINE), 0.05)
        self.assertEqual(delays.delay(_DESK), 0)

    def test_nothing_is_learnt_while_it_is_off(self):
        delays = HedgeDelays(enabled=False)
        for _ in range(30):
            delays.observe(_ENGINE, 1)
        self.assertEqual(delays.delay(_ENGINE), 0)


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    """One answer, one bill, and the slow attempt is let go."""

    async def asyncSetUp(self):
        clock = QuickClock()
        platform = MemoryPlatform.start(clock)
        await open_account(platform)
        self.upstream = FakeUpstream()
        self.router = SmallRouter('router-a', platform, self.upstream, clock)
        self.tries = self.router.parts.tries
        self.routing = self.tries.placer.routing
        self.routing.hedges.enabled = True
        for pool in (_ENGINE, _DESK):
            for _ in range(20):
                self.routing.hedges.observe(pool, 0.1)

    def plan_first(self, fault):
        """Let the request that is sent first meet a fault."""
        self.upstream.plan_next(fault)

    def hedges(self, outcome):
        """Return how many hedges ended so."""
        return self.tries.metrics.counted(HEDGES, outcome=outcome)

    async def settle(self):
        """Let all that can happen without further time happen."""
        for _ in range(100):
            await asyncio.sleep(0)

    def check_free(self):
        """Check that no slot is held any more."""
        pools = self.routing.admission.picker.pools
        held = [state.held for state in pools.states.values()]
        self.assertEqual(sum(held), 0)

    @parameterized.expand([({},), (service_call(),)])
    async def test_second_target_answers_for_a_silent_one(self, changes):
        """A caller waits for one slow target while others are idle.

        Symptom: a few requests take as long as the gap timeout.
        Sequence: the target takes the request and says nothing.
        Cause: nobody else is asked.
        """
        self.plan_first(HANG)
        caller = await self.router.call(**changes)
        self.assertTrue(caller.end.whole, caller.end)
        self.assertEqual(self.upstream.runs['key'], 2)
        self.assertEqual(len(self.router.bills()), 1)
        self.assertEqual(self.hedges('second'), 1)
        self.check_free()

    async def test_first_goes_on_where_it_is_the_first_to_answer(self):
        """Bytes of two attempts are never joined to one answer.

        Symptom: the caller gets the beginning of the reply twice.
        Sequence: the first attempt answers while the second is under way.
        Cause: both attempts write to the caller.
        """
        self.plan_first(pause(0))
        self.upstream.plan_next(HANG)
        submitted = asyncio.create_task(self.router.call())
        await self.settle()
        self.assertEqual(len(self.upstream.sent), 2)
        self.upstream.go_on.set()
        caller = await submitted
        self.assertTrue(caller.end.whole, caller.end)
        self.assertEqual(caller.body.count(_LAST), 1)
        self.assertEqual(self.hedges('first'), 1)
        self.check_free()

    @parameterized.expand(
        [
            ('not idempotent', service_call(idempotent=False)),
            ('whole answer of an engine', {'stream': False}),
        ]
    )
    async def test_some_requests_are_never_hedged(self, _name, changes):
        """A booking runs at most once, however slow it is.

        Symptom: a guest is booked twice.
        Sequence: the first attempt is slow and a second is sent.
        Cause: a hedge of a request that may run once only.
        """
        self.plan_first(HANG)
        submitted = asyncio.create_task(self.router.call(**changes))
        await self.upstream.began.wait()
        await self.settle()
        self.assertEqual(self.upstream.runs['key'], 1)
        submitted.cancel()

    async def test_empty_retry_budget_allows_no_hedge(self):
        """Hedges do not multiply the load when everything is slow.

        Symptom: attempts double as soon as the targets are overloaded.
        Sequence: every request is slow, so each is sent twice.
        Cause: hedges beyond the retry budget.
        """
        self.routing.retries.tokens = 0
        self.upstream.plan_next(pause(0))
        submitted = asyncio.create_task(self.router.call())
        await self.settle()
        self.assertEqual(self.hedges('not_sent'), 1)
        self.upstream.go_on.set()
        caller = await submitted
        self.assertTrue(caller.end.whole, caller.end)
        self.assertEqual(self.upstream.runs['key'], 1)

    async def test_target_that_is_always_outrun_is_suspended(self):
        """The p95 rises with hedges while the p99 falls.

        Symptom: a slow target gets more requests than without hedges, and
        each of them waits for the delay first. Sequence: attempts there are
        broken off as soon as the second one answers.
        Cause: its slots come free early, so it looks idle, and nothing of a
        lost race counted against it.
        """
        self.routing.retries.tokens = 100
        self.upstream.plan('engine-0', *(HANG for _ in range(60)))
        for number in range(60):
            caller = await self.router.call(key=f'key-{number}')
            self.assertTrue(caller.end.whole, caller.end)
        pools = self.routing.admission.picker.pools
        failures = {
            name: state.breaker.open for name, state in pools.states.items()
        }
        slow = failures.pop('engine-0')
        self.assertTrue(slow)
        self.assertFalse(any(failures.values()))
        self.check_free()

    async def test_failed_first_attempt_waits_for_the_hedge(self):
        self.plan_first(BREAK_BEFORE_HEAD)
        caller = await self.router.call()
        self.assertTrue(caller.end.whole, caller.end)
        self.assertEqual(len(self.router.bills()), 1)
        self.check_free()
