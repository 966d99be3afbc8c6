"""Tests of routers that have lost their links to all targets."""

import asyncio
import unittest
from http import HTTPStatus
from itertools import product

from parameterized import parameterized

from tests import cut_host
from tests.listed_fleet import DESK, LLM, ListedFleet
from tests.lost_links_run import LostLinksRun

_SEED = 1
_ROUTERS = 3
_TARGETS = 3
#: Requests of each service in which a cut router may notice that it is.
_FIRST_REQUESTS = 6
_REQUESTS = 20
#: Of the requests after that, the minimum share that is served.
_SERVED_SHARE = 0.9


class CutHostTest(unittest.IsolatedAsyncioTestCase):
    """Callers of a router without links to targets are served."""

    async def asyncSetUp(self):
        self.fleet = ListedFleet(_SEED)
        await self.fleet.start(_ROUTERS, llm=_TARGETS, desk=_TARGETS)
        self.addAsyncCleanup(self.fleet.stop)

    async def count_served(self, routers, requests):
        """Send requests of each service to each router; count successes."""
        pairs = product(range(routers), (LLM, DESK))
        answers = await asyncio.gather(
            *(self.fleet.send(*pair) for pair in requests * list(pairs))
        )
        return sum(answer.code == HTTPStatus.OK for answer in answers)

    @parameterized.expand(
        (
            ('one_dropped', 1, cut_host.DROPPED),
            ('one_refused', 1, cut_host.REFUSED),
            ('most_dropped', 2, cut_host.DROPPED),
            ('most_refused', 2, cut_host.REFUSED),
            ('most_reset', 2, cut_host.RESET),
        )
    )
    async def test_callers_of_cut_routers(self, _, routers, how):
        """Guards against refusing what other routers of the fleet could serve.

        The router can't connect to any target, although its peers can.
        """
        hosts = cut_host.CutHosts()
        for number in range(routers):
            hosts.cut_off(self.fleet.routers[number], how)
        await self.count_served(routers, _FIRST_REQUESTS)
        served = await self.count_served(routers, _REQUESTS)
        sent = routers * _REQUESTS * len((LLM, DESK))
        self.assertGreaterEqual(served, _SERVED_SHARE * sent)


class SeededRunTest(unittest.IsolatedAsyncioTestCase):
    """Random runs in which links are lost and routers restart."""

    @parameterized.expand(((1,), (2,), (3,)))
    async def test_no_breaches(self, seed):
        """Guards against second runs, false refusals and lasting failures."""
        run = LostLinksRun(seed)
        self.assertEqual(await run.run(), [], run.events)
