"""Requests that wait for a draw or a loan."""

import asyncio
import unittest
from collections.abc import Callable

import attrs

from balsamreach.budget.faults import EXHAUSTED
from balsamreach.budget.ledger import Reservation
from tests.budget_world import Gate, World

_TOKENS = 100


@attrs.define
class Meanwhile(Gate):
    """Lets something happen just as a commit takes effect."""

    then: Callable[[], object] = attrs.field(kw_only=True)

    async def commit(self, change):
        """Commit, and then do it."""
        outcome = await self.service.commit(change)
        self.then()
        return outcome


class WaitersTest(unittest.IsolatedAsyncioTestCase):
    """A router and a team with little left."""

    async def asyncSetUp(self):
        self.world = World()
        self.router = self.world.start('a')
        await self.world.fund('team', _TOKENS)

    def reserve(self, tokens=_TOKENS):
        return asyncio.ensure_future(self.router.reserve('team', tokens))

    def meanwhile(self, then):
        gate = self.world.gates['a']
        gate.service = Meanwhile(gate.service, then=then)

    async def test_draw_goes_to_who_waits(self):
        """Symptom: a request is refused although its draw came.

        Sequence: a request draws the last tokens; before it runs on, a
        second one arrives. Cause: what was drawn lies free for a moment.
        """
        others = []
        self.meanwhile(lambda: others.append(self.reserve()))
        held = await self.world.clock.drive(self.reserve())
        self.assertIsInstance(held, Reservation)
        self.assertEqual(await self.world.clock.drive(others[-1]), EXHAUSTED)

    async def test_one_draw_for_all(self):
        """Symptom: requests are refused after ``draw_wait``.

        Sequence: many wait at once. Cause: each draws for itself, after
        those before it.
        """
        await self.world.clock.drive(self.router.book.enter())
        writes = self.world.platform.weather.writes
        waiting = asyncio.gather(*(self.reserve(10) for _ in range(10)))
        held = await self.world.clock.drive(waiting)
        self.assertTrue(all(isinstance(one, Reservation) for one in held))
        self.assertEqual(self.world.platform.weather.writes, writes + 1)

    async def test_caller_that_went_away(self):
        """Symptom: tokens stay reserved for nobody.

        Sequence: a request's caller goes away in the moment in which its
        tokens come. Cause: a reservation that was handed to it already.
        """
        work = self.reserve()
        self.meanwhile(work.cancel)
        with self.assertRaises(asyncio.CancelledError):
            await self.world.clock.drive(work)
        for _ in range(10):
            await asyncio.sleep(0)
        ledger = self.router.ledgers['team']
        self.assertEqual((ledger.reserved, ledger.own), (0, _TOKENS))
