"""Tests of which requests a router takes while it is being stopped."""

import asyncio
import unittest

from parameterized import parameterized

from balsamreach.relay.run import RelayRun
from balsamreach.relay.spending import Reservation, UnmeteredSpending
from balsamreach.requests.leaving import LeavingAdmission, RecentDurations
from tests import relay_samples
from tests.relay_harness import RelayHarness
from tests.relay_samples import UNSAFE
from tests.relay_scripts import RecordingResponse
from tests.support import FakeClock

_GRACE_S = 8.0
_DEADLINE_S = 12.0
_MANY = 5000
_ROUTE = 'route'


class LeavingAdmissionTest(unittest.TestCase):
    """Requests that come in the course of a grace period."""

    def setUp(self):
        self.clock = FakeClock()
        self.admission = LeavingAdmission(RecentDurations(self.clock))

    def is_refused(self, seconds=_DEADLINE_S):
        """Return whether a request with a time limit is refused."""
        deadline = self.clock.now() + seconds
        return bool(self.admission.find_problem(_ROUTE, deadline))

    def leave(self, after):
        """Begin the grace period, and let a part of it pass."""
        self.admission.ends_at = self.clock.now() + _GRACE_S
        self.clock.advance(after)

    def test_not_leaving(self):
        self.assertFalse(self.is_refused())

    @parameterized.expand(
        (
            ('begin', 1.5, 0, False),
            ('in_time', 1.5, 5, False),
            ('may_outlast', 1.5, 6, True),
            ('long_work', 6, 0, True),
            ('unknown', None, 0, True),
            ('end', 0, _GRACE_S, True),
            ('after_end', 0, _GRACE_S + 1, True),
        )
    )
    def test_slowest_request(self, _, slowest, after, expected):
        """Guards against taking what the grace period cuts off."""
        if slowest is not None:
            self.admission.durations.record(_ROUTE, slowest)
            self.admission.durations.record(_ROUTE, slowest / 2)
        self.admission.durations.record('other', 0.1)
        self.leave(after)
        self.assertEqual(self.is_refused(), expected)

    def test_short_time_limit(self):
        """Guards against refusing what ends by its own time limit."""
        self.leave(4)
        self.assertFalse(self.is_refused(3.9))
        self.assertTrue(self.is_refused(4.1))

    def test_closed(self):
        self.admission.durations.record(_ROUTE, 0.1)
        self.leave(1)
        self.admission.close()
        self.assertTrue(self.is_refused())

    def test_slow_request_is_forgotten(self):
        """Guards against refusing requests for one that was slow long ago."""
        durations = self.admission.durations
        for seconds in (7, 1, 1):
            durations.record(_ROUTE, seconds)
            self.clock.advance(11)
        self.assertEqual(durations.slowest(_ROUTE), 1)

    def test_removed_routes_are_forgotten(self):
        """Guards against memory that grows with each configuration."""
        durations = self.admission.durations
        for number in range(_MANY):
            durations.record(f'route-{number}', 1)
        self.assertIsNone(durations.slowest('route-0'))
        self.assertEqual(durations.slowest(f'route-{_MANY - 1}'), 1)


class WaitingSpending(UnmeteredSpending):
    """Spending that hangs, as does a store that doesn't answer."""

    async def reserve(self, _call) -> Reservation:
        """Wait for good."""
        await asyncio.Event().wait()
        return Reservation()


class CutOffTest(unittest.IsolatedAsyncioTestCase):
    """Requests in progress at the end of the grace period."""

    async def cut_off(self, harness):
        """Return the response to a request that is cut off."""
        response = RecordingResponse()
        call = relay_samples.call(UNSAFE)
        run = RelayRun(harness.parts, call, response)
        task = asyncio.ensure_future(run.run())
        for _ in range(10):
            await asyncio.sleep(0)
        run.cut_off()
        await task
        run.cut_off()
        return response

    async def test_running_request(self):
        """Guards against a connection that closes without an answer."""
        harness = RelayHarness()
        harness.exchange.hang = True
        response = await self.cut_off(harness)
        self.assertEqual(response.status, 502)
        self.assertTrue(response.complete)

    async def test_waiting_request(self):
        """Guards against the loss of a request that has not run."""
        harness = RelayHarness(spending=WaitingSpending())
        response = await self.cut_off(harness)
        self.assertEqual(response.status, 503)
        self.assertIn('retry-after', response.headers)

    async def test_time_limit_has_passed(self):
        """Guards against a stop that fails for a request that just ends."""
        harness = RelayHarness()
        harness.exchange.hang = True
        call = relay_samples.call(UNSAFE, seconds=0.01)
        response = RecordingResponse()
        run = RelayRun(harness.parts, call, response)
        task = asyncio.ensure_future(run.run())
        while not task.done():
            await asyncio.sleep(0)
            run.cut_off()
            harness.exchange.hang = False
        self.assertEqual(response.status, 502)

    async def test_request_that_begins(self):
        """Guards against sending a request after the others were cut off."""
        harness = RelayHarness()
        response = RecordingResponse()
        call = relay_samples.call(UNSAFE)
        run = RelayRun(harness.parts, call, response)
        run.cut_off()
        await run.run()
        self.assertEqual(response.status, 503)
        self.assertEqual(harness.exchange.sent, [])


if __name__ == '__main__':
    unittest.main()
