"""Requests that wait for a draw or a loan."""

import asyncio
import unittest
from collections.abc import Callable

import attrs

from balsamreach.budget.account import Bill, account_key
from balsamreach.budget.faults import EXHAUSTED
from balsamreach.budget.ledger import Reservation
from tests.budget_world import SETTINGS, Gate, World

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


class LastTokensTest(unittest.IsolatedAsyncioTestCase):
    """Three routers, and an account that has nothing free."""

    async def asyncSetUp(self):
        self.world = World(attrs.evolve(SETTINGS, posture='strict'))
        self.routers = {name: self.world.start(name) for name in 'abc'}

    async def hold(self, **tokens):
        """Fund the team, and let routers hold all of it idle."""
        await self.world.fund('team', sum(tokens.values()))
        for name, amount in tokens.items():
            held = await self.reserve(name, amount)
            self.routers[name].release(held[0])

    def reserve(self, names, tokens):
        """Reserve at several routers at once."""
        work = (self.routers[name].reserve('team', tokens) for name in names)
        return self.world.clock.drive(asyncio.gather(*work))

    def count(self, outcomes):
        return sum(isinstance(one, Reservation) for one in outcomes)

    async def test_one_of_two(self):
        """Symptom: two requests are refused though one can be served.

        Sequence: two routers hold half each and both need more. Cause: each
        lends the other what its own request waits for.
        """
        await self.hold(a=50, b=50)
        outcomes = await self.reserve('ab', 80)
        self.assertEqual(self.count(outcomes), 1)
        self.assertIn(EXHAUSTED, outcomes)

    async def test_two_borrowers(self):
        """Symptom: a lender with plenty seems to have nothing.

        Sequence: two routers ask a third one at once. Cause: it makes
        lendable what one of them needs; and the account, which no loan
        changes, is written for each.
        """
        await self.hold(c=300)
        before = await self.world.peek(account_key('team'))
        outcomes = await self.reserve('ab', 150)
        self.assertEqual(self.count(outcomes), 2)
        self.assertEqual(await self.world.peek(before.key), before)

    async def test_rest_of_a_reservation(self):
        """Symptom: a refusal while what it needs lies idle at a peer.

        Sequence: a request is refused; another one ends and uses little;
        the first is sent again. Cause: the refusal is remembered for a
        second even though tokens were about to come free.
        """
        await self.world.fund('team', _TOKENS)
        held = await self.reserve('a', _TOKENS)
        self.assertEqual(await self.reserve('b', 60), [EXHAUSTED])
        self.routers['a'].bill(held[0], Bill('team', 'k', 30))
        self.world.clock.seconds += 0.1
        self.assertEqual(self.count(await self.reserve('b', 60)), 1)

    async def test_tokens_that_cannot_be_lent(self):
        """Symptom: requests wait for ``draw_wait`` and are refused then.

        Sequence: what is left is at a router that the table service is away
        from, and that may not lend it. Cause: it tells of those tokens, and
        the borrower asks for them again and again.
        """
        await self.hold(b=300)
        lender = self.routers['b'].book.ledger('team')
        lender.lendable = 0
        self.world.cut('b')
        self.world.clock.seconds += 1
        began = self.world.clock.seconds
        self.assertEqual(await self.reserve('a', 100), [EXHAUSTED])
        self.assertLess(self.world.clock.seconds - began, 1)
