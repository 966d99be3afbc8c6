"""Tests of the retry budget, circuit breakers and adaptive limits."""

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


class RetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    """The retry budget bounds the load from retries."""

    async def test_retries_stay_within_budget_when_all_targets_fail(self):
        """Retries stay within their share of attempts when every target fails.

        Each of a thousand requests fails at every target. Unlimited retries
        would overload targets that come back.
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
                node.routing.feedback.record_sent(slot)
                node.end(slot, Verdict.FAILED)
                slot = await node.routing.retry(slot.ask, frozenset(tried))
        self.assertLessEqual(attempts, 1000 * 1.1 + 10)
        self.assertGreater(attempts, 1000)

    def test_backoff_grows_and_is_jittered(self):
        rng = random.Random(1)
        pauses = [
            [backoff(attempt, rng) for _ in range(200)] for attempt in (1, 3)
        ]
        self.assertLess(max(pauses[0]), 0.05)
        self.assertGreater(max(pauses[1]), 0.15)
        self.assertLess(min(pauses[1]), 0.01)

    def test_budget_is_bounded(self):
        budget = RetryBudget(0.1)
        for _ in range(10**5):
            budget.deposit()
        self.assertEqual(sum(budget.withdraw() for _ in range(1000)), 100)


class BreakerTest(unittest.IsolatedAsyncioTestCase):
    """Failing targets are suspended and probed."""

    @parameterized.expand([(Verdict.FAILED, 5), (Verdict.REFUSED, 1)])
    async def test_consecutive_failures_suspend_a_target(self, verdict, number):
        node = Node(make_rows(2))
        state = None
        failures = 0
        while state is None or not state.breaker.is_open:
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

    def test_only_one_probe_passes(self):
        """Only one probe passes when the pause of an open breaker ends.

        Many requests wait when a pause is over. If all were sent at once, a
        target that has just recovered would fail again.
        """
        rng = random.Random(1)
        breaker = Breaker(1)
        self.assertTrue(breaker.record_failure(0, rng))
        self.assertFalse(breaker.allows_request(0.9))
        self.assertTrue(breaker.allows_request(2))
        breaker.record_start()
        self.assertFalse(breaker.allows_request(2))
        breaker.record_failure(2, rng)
        self.assertFalse(breaker.allows_request(3.9))
        breaker.record_start()
        breaker.record_success()
        self.assertTrue(breaker.allows_request(4))

    async def test_non_idempotent_requests_are_not_used_as_probes(self):
        node = Node(make_rows(2))
        slot = await node.send()
        node.end(slot, Verdict.REFUSED)
        node.clock.advance(60)
        for number in range(8):
            other = await node.send(idempotent=False, fingerprint=str(number))
            self.assertNotEqual(other.target.name, slot.target.name)

    async def test_suspensions_are_ignored_if_all_targets_are_suspended(self):
        """Suspensions are ignored if every target is suspended.

        A service's only worker refuses one connection. Then only
        non-idempotent requests arrive, which may not be probes, and a
        suspension ends only by a probe: the service would refuse all requests
        although its worker is back.
        """
        node = Node(make_rows(1))
        slot = await node.send()
        node.end(slot, Verdict.REFUSED)
        again = await node.send(idempotent=False)
        self.assertEqual(again.target.name, slot.target.name)


class AdaptiveLimitTest(unittest.TestCase):
    """The adaptive limit follows a target's capacity."""

    def test_late_reports_of_one_queue_decrease_the_limit_once(self):
        """Late reports of the same queue decrease the limit only once.

        Four reports of one queue arrive after the limit was decreased for it.
        If each decreased it again, the target would be half idle.
        """
        limit = AdaptiveLimit()
        for second in range(1, 5):
            report = LoadReport(running=8, queued=8, slots=8, valid_at=second)
            limit.apply_report(report, second + 5)
        self.assertEqual(limit.limit, 8)

    def test_single_slow_answers_do_not_decrease_the_limit(self):
        """Long prompts among short ones do not decrease the limit.

        Half of the requests have prompts ten times as long. If each slow first
        byte counted as a queue, the limit would fall to one under a mixed
        load.
        """
        limit = AdaptiveLimit()
        for number in range(800):
            limit.observe(0.5 if number % 3 else 0.05, 4, number)
        self.assertGreaterEqual(limit.limit, 16)

    def test_queue_decreases_and_spare_capacity_increases_the_limit(self):
        limit = AdaptiveLimit()
        for number in range(80):
            limit.observe(0.05, 16, number)
        grown = limit.limit
        for number in range(80, 160):
            limit.observe(0.5, 16, number)
        self.assertGreater(grown, 16)
        self.assertLess(limit.limit, grown / 2)
