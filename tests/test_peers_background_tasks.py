"""Tests of background tasks."""

import unittest

from balsamreach.telemetry import hops
from balsamreach.wire.marks import InFlightAsk
from tests.peers_rig import Rig, linked


class TasksTest(unittest.IsolatedAsyncioTestCase):
    """Tasks started while a request is served outlive it."""

    async def test_link_opened_by_a_request_is_not_in_its_trace(self):
        """Guards against the trace of one request that goes on for days.

        A traced request opens a link, which then serves others; its tasks must
        not inherit the trace.
        """
        rig = Rig()
        self.addAsyncCleanup(rig.stop)
        one = await rig.start('one')
        two = await rig.start('two')
        self.trails = []
        one.on(InFlightAsk, self.record_trail)
        span = one.tracing.start_span('caller')
        with hops.following(hops.Trail(span, one.tracing)):
            await one.link_manager.connect(two.me)
        await rig.until(lambda: linked(two) == {'one'})
        await two.ask('one', InFlightAsk('engine-0'))
        self.assertEqual(self.trails, [None])

    async def record_trail(self, _member, _message):
        self.trails.append(hops.current())
