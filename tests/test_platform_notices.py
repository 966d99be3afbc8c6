"""Tests that routers obey back-off and leaving notices in answers."""

from http import HTTPStatus

from parameterized import parameterized
from tornado.testing import AsyncTestCase, gen_test

from tests.listed_fleet import DESK, LLM, ListedFleet
from tests.notices_run import NoticesRun

_SEED = 7
_REQUESTS_PER_S = 120
#: Seconds of back-off that targets ask for, and seconds during which a leaving
#: target may still get requests; both as in production.
_RETRY_AFTER_S = 3
_DRAIN_BOUND_S = 2


class NoticesTest(AsyncTestCase):
    """Three routers under load while the store does not answer."""

    async def start(self):
        """Start a fleet and then stop the answers of its store."""
        self.fleet = ListedFleet(_SEED)
        await self.fleet.start(routers=3, llm=3, desk=3)
        self.fleet.store.fall_silent()

    def targets(self, *names):
        return [self.fleet.targets[name] for name in names]

    @gen_test(timeout=60)
    async def test_back_off_is_obeyed(self):
        """Guards against sending requests to a target during its back-off."""
        await self.start()
        for target in self.targets('llm-0', 'desk-0'):
            target.rejects = True
            target.retry_after = _RETRY_AFTER_S
        await self.fleet.load(_RETRY_AFTER_S, _REQUESTS_PER_S)
        for target in self.targets('llm-0', 'desk-0'):
            senders = {one.sender for one in target.arrivals}
            self.assertEqual(len(senders), 3)
        self.assertEqual(self.fleet.back_off_breaches(), [])
        codes = {code for _service, code in self.fleet.statuses}
        self.assertEqual(codes, {200})
        await self.fleet.stop()

    @gen_test(timeout=60)
    async def test_leaving_is_obeyed_while_store_is_silent(
        self,
    ):
        """Guards against learning only from the store that a target leaves."""
        await self.start()
        for target in self.targets('llm-0', 'desk-0'):
            target.leaving = True
        await self.fleet.load(2 * _DRAIN_BOUND_S, _REQUESTS_PER_S)
        left = {notice.target_id for notice in self.fleet.leaving_notices}
        self.assertEqual(left, {'llm-0', 'desk-0'})
        self.assertEqual(self.fleet.leaving_breaches(_DRAIN_BOUND_S), [])
        self.assertEqual(self.fleet.statuses.keys(), {(LLM, 200), (DESK, 200)})
        await self.fleet.stop()


class SeededRunTest(AsyncTestCase):
    """Random runs with leaving targets, restarts and a silent store."""

    @parameterized.expand(((1,), (2,), (3,)))
    @gen_test(timeout=120)
    async def test_no_breaches(self, seed):
        run = NoticesRun(seed)
        breaches = await run.run()
        self.assertEqual(breaches, [], run.events)
        served = sum(
            count
            for (_service, code), count in run.fleet.statuses.items()
            if code == HTTPStatus.OK
        )
        self.assertGreater(served, 0)
