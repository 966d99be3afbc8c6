"""Tests of tasks that are started in passing."""

import unittest

from balsamreach.telemetry import hops
from balsamreach.wire.marks import InFlightAsk
from tests.peers_rig import Rig, linked


class TasksTest(unittest.IsolatedAsyncioTestCase):
    """What is started while a request is served outlives it."""

    async def test_link_that_a_request_opened_is_no_part_of_its_trace(self):
        """Symptom: one request's trace goes on for days.

        Sequence: a traced request opens a link, which then serves others.
        Cause: the link's tasks took over the trace of the one request.
        """
        rig = Rig()
        self.addAsyncCleanup(rig.stop)
        one = await rig.start('one')
        two = await rig.start('two')
        self.trails = []
        one.on(InFlightAsk, self.take)
        span = one.tracing.start_span('caller')
        with hops.following(hops.Trail(span, one.tracing)):
            await one.keeper.reach(two.me)
        await rig.until(lambda: linked(two) == {'one'})
        await two.ask('one', InFlightAsk('engine-0'))
        self.assertEqual(self.trails, [None])

    async def take(self, _member, _message):
        self.trails.append(hops.current())
