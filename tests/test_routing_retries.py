"""Tests of the retry budget, suspensions and adaptive limits."""

import random
import unittest

from parameterized import parameterized

from balsamreach.routing.adaptive import AdaptiveLimit
from balsamreach.routing.breaker import Breaker
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.retries import RetryBudget, backoff
from balsamreach.routing.slot import Verdict
from balsamreach.targets.registry import LoadReport
from tests.routing_node import Node, make_rows


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    """Retries never multiply a failure."""

    async def test_attempts_stay_within_the_share_when_all_fails(self):
        """An outage of all targets is not made worse.

        Symptom: targets that come back are drowned by retries.
        Sequence: every attempt fails for a thousand requests.
        Cause: each request retries as often as it may.
        """
        node = Node(make_rows(8))
        attempts = 0
        for number in range(1000):
            slot = await node.send(fingerprint=f'f{number}')
            tried = set()
            while not isinstance(slot, RoutingFault):
                attempts += 1
                self.assertNotIn(slot.target.name, tried)
                tried.add(slot.target.name)
                node.routing.feedback.sent(slot)
                node.end(slot, Verdict.FAILED)
                slot = await node.routing.again(slot.ask, frozenset(tried))
        self.assertLessEqual(attempts, 1000 * 1.1 + 10)
        self.assertGreater(attempts, 1000)

    def test_pauses_grow_and_are_jittered(self):
        rng = random.Random(1)
        pauses = [[backoff(num, rng) for _ in range(200)] for num in (1, 3)]
        self.assertLess(max(pauses[0]), 0.05)
        self.assertGreater(max(pauses[1]), 0.15)
        self.assertLess(min(pauses[1]), 0.01)

    def test_budget_is_bounded(self):
        budget = RetryBudget(0.1)
        for _ in range(10**5):
            budget.deposit()
        self.assertEqual(sum(budget.withdraw() for _ in range(1000)), 100)


class BreakerTest(unittest.IsolatedAsyncioTestCase):
    """Targets that fail are left alone and probed."""

    @parameterized.expand([(Verdict.FAILED, 5), (Verdict.REFUSED, 1)])
    async def test_failures_suspend(self, verdict, number):
        node = Node(make_rows(2))
        state = None
        failures = 0
        while state is None or not state.breaker.open:
            slot = await node.send(fingerprint=str(failures))
            if state in {None, slot.state}:
                state = slot.state
                failures += 1
                node.end(slot, verdict)
            else:
                node.end(slot)
        self.assertEqual(failures, number)
        names = {(await node.send()).target.name for _ in range(5)}
        self.assertNotIn(state.name, names)

    def test_one_probe_passes_and_decides(self):
        """A target that comes back is not flooded.

        Symptom: a target fails again as soon as it is back.
        Sequence: its pause is over and many requests wait.
        Cause: all of them are sent at once.
        """
        rng = random.Random(1)
        breaker = Breaker(1)
        self.assertTrue(breaker.fail(0, rng))
        self.assertFalse(breaker.passes(0.9))
        self.assertTrue(breaker.passes(2))
        breaker.begin()
        self.assertFalse(breaker.passes(2))
        breaker.fail(2, rng)
        self.assertFalse(breaker.passes(3.9))
        breaker.begin()
        breaker.succeed()
        self.assertTrue(breaker.passes(4))

    async def test_single_runs_probe_no_failing_target(self):
        node = Node(make_rows(2))
        slot = await node.send()
        node.end(slot, Verdict.REFUSED)
        node.clock.advance(60)
        for number in range(8):
            other = await node.send(idempotent=False, fingerprint=str(number))
            self.assertNotEqual(other.target.name, slot.target.name)

    async def test_suspensions_are_ignored_where_nobody_is_left(self):
        """One lost connection does not shut a service of one worker.

        Symptom: a service refuses everything though its worker is back.
        Sequence: its only worker refuses one connection; then only
        non-idempotent requests come, which may not be probes.
        Cause: a suspension ends by a probe alone.
        """
        node = Node(make_rows(1))
        slot = await node.send()
        node.end(slot, Verdict.REFUSED)
        again = await node.send(idempotent=False)
        self.assertEqual(again.target.name, slot.target.name)


class AdaptiveTest(unittest.TestCase):
    """The limit finds what a target takes."""

    def test_late_reports_of_one_queue_cut_once(self):
        """The later the reports, the fewer the cuts.

        Symptom: with late reports a target stands half idle.
        Sequence: four reports of the same queue arrive after the cut.
        Cause: each of them cut the limit again.
        """
        limit = AdaptiveLimit()
        for second in range(1, 5):
            report = LoadReport(running=8, queued=8, slots=8, taken_at=second)
            limit.reported(report, second + 5)
        self.assertEqual(limit.limit, 8)

    def test_slow_single_answers_are_no_queue(self):
        """Long prompts beside short ones do not shrink the limit.

        Symptom: a target's limit sinks to one under a mixed load.
        Sequence: half of the requests have prompts ten times as long.
        Cause: each slow first byte is taken for a queue.
        """
        limit = AdaptiveLimit()
        for number in range(800):
            limit.observe(0.5 if number % 3 else 0.05, 4, number)
        self.assertGreaterEqual(limit.limit, 16)

    def test_standing_queue_shrinks_and_room_grows_the_limit(self):
        limit = AdaptiveLimit()
        for number in range(80):
            limit.observe(0.05, 16, number)
        grown = limit.limit
        for number in range(80, 160):
            limit.observe(0.5, 16, number)
        self.assertGreater(grown, 16)
        self.assertLess(limit.limit, grown / 2)
