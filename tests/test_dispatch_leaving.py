"""Tests of requests at a router of `serve` that is being stopped."""

import unittest

from parameterized import parameterized

from balsamreach.dispatch import faults
from tests.small_router import service_call
from tests.test_dispatch_run import RunTestCase

_GRACE_S = 30


class LeavingTest(RunTestCase):
    """Requests that come while the router leaves."""

    def leave(self):
        """Begin to leave."""
        ends_at = self.clock.now() + _GRACE_S
        self.router.dispatcher.admission.ends_at = ends_at

    @parameterized.expand(
        (('minted', None, faults.NOT_RUN), ('key', 'key', faults.MAYBE_RUN))
    )
    async def test_unknown_duration(self, _, key, ran):
        """Guards against a request that outlasts the time to leave.

        Another router may have run one that has the caller's key.
        """
        self.leave()
        fault = self.router.dispatcher.submit(self.router.request(key=key))
        self.assertEqual(fault, faults.LEAVING)
        self.assertEqual(fault.ran, ran)
        self.assertEqual(self.router.dispatcher.running, {})

    async def test_known_duration(self):
        """Guards against refusing what the router has the time for."""
        await self.router.call(key='before')
        self.leave()
        caller = await self.router.call(key='late')
        self.check_complete(caller)
        other = self.router.request(**service_call(key='other'))
        fault = self.router.dispatcher.submit(other)
        self.assertEqual(fault, faults.LEAVING)

    async def test_known_answer(self):
        """Guards against refusing an answer that the router has."""
        await self.router.call(key='before')
        self.router.dispatcher.admission.close()
        caller = await self.router.call(key='before')
        self.check_complete(caller)
        self.assertTrue(caller.end.is_complete)


del RunTestCase


if __name__ == '__main__':
    unittest.main()
