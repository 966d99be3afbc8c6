"""Tests of routers whose targets say in answers what routers must heed."""

from http import HTTPStatus

from parameterized import parameterized
from tornado.testing import AsyncTestCase, gen_test

from tests.listed_fleet import DESK, LLM, ListedFleet
from tests.notices_run import NoticesRun

_SEED = 7
_RATE = 120
#: Seconds that targets ask for, and in which a leaving one may still be sent
#: requests; both as the users have them.
_RETRY_AFTER_S = 3
_DRAIN_S = 2


class NoticesTest(AsyncTestCase):
    """Three routers under load, and a store that falls silent."""

    async def start(self):
        """Start a fleet whose store answers nobody any more."""
        self.fleet = ListedFleet(_SEED)
        await self.fleet.start(routers=3, llm=3, desk=3)
        self.fleet.store.fall_silent()

    def targets(self, *names):
        return [self.fleet.targets[name] for name in names]

    @gen_test(timeout=60)
    async def test_rejecting_target_gets_requests_while_it_backs_off(self):
        """A target that asked for no requests went on getting its share."""
        await self.start()
        for target in self.targets('llm-0', 'desk-0'):
            target.rejects = True
            target.retry_after = _RETRY_AFTER_S
        await self.fleet.load(_RETRY_AFTER_S, _RATE)
        for target in self.targets('llm-0', 'desk-0'):
            asked = {one.sender for one in target.arrivals}
            self.assertEqual(len(asked), 3)
        self.assertEqual(self.fleet.back_off_breaches(), [])
        codes = {code for _service, code in self.fleet.statuses}
        self.assertEqual(codes, {200})
        await self.fleet.stop()

    @gen_test(timeout=60)
    async def test_leaving_target_gets_requests_while_the_store_is_silent(
        self,
    ):
        """A target's word that it leaves counted only as the list had it."""
        await self.start()
        for target in self.targets('llm-0', 'desk-0'):
            target.leaving = True
        await self.fleet.load(2 * _DRAIN_S, _RATE)
        left = {passed.target_id for passed in self.fleet.leaving}
        self.assertEqual(left, {'llm-0', 'desk-0'})
        self.assertEqual(self.fleet.leaving_breaches(_DRAIN_S), [])
        self.assertEqual(self.fleet.statuses.keys(), {(LLM, 200), (DESK, 200)})
        await self.fleet.stop()


class SeededRunTest(AsyncTestCase):
    """Targets leave and reject, routers restart, the store falls silent."""

    @parameterized.expand(((1,), (2,), (3,)))
    @gen_test(timeout=120)
    async def test_bounds_hold(self, seed):
        run = NoticesRun(seed)
        breaches = await run.run()
        self.assertEqual(breaches, [], run.events)
        served = sum(
            count
            for (_service, code), count in run.fleet.statuses.items()
            if code == HTTPStatus.OK
        )
        self.assertGreater(served, 0)
