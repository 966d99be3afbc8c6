"""Requests that wait for a draw or a loan."""

import asyncio
import unittest
from collections.abc import Callable

import attrs
from parameterized import parameterized

from balsamreach.budget.account import Bill, account_key
from balsamreach.budget.faults import EXHAUSTED
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.rate import Rate
from tests.budget_world import SETTINGS, SwitchedService, World

_TOKENS = 100


@attrs.define
class CallbackService(SwitchedService):
    """Calls a function as soon as a commit has taken effect.

    Parameters
    ----------
    on_commit : callable
        Called before the committing router gets its answer.
    """

    on_commit: Callable[[], object] = attrs.field(kw_only=True)

    async def commit(self, change):
        """Commit, and then call the function."""
        outcome = await self.service.commit(change)
        self.on_commit()
        return outcome


class WaitersTest(unittest.IsolatedAsyncioTestCase):
    """One router, and a team with few tokens left."""

    async def asyncSetUp(self):
        self.world = World()
        self.router = self.world.start('a')
        await self.world.fund('team', _TOKENS)

    def reserve(self, tokens=_TOKENS):
        return asyncio.ensure_future(self.router.reserve('team', tokens))

    def call_on_commit(self, on_commit):
        connection = self.world.connections['a']
        connection.service = CallbackService(
            connection.service, on_commit=on_commit
        )

    async def test_drawn_tokens_go_to_the_waiting_request(self):
        """Guards against refusing a request although its draw succeeded.

        A request draws the last tokens, and a second one arrives before the
        first continues. If the drawn tokens were free for a moment, the
        second would take them.
        """
        others = []
        self.call_on_commit(lambda: others.append(self.reserve()))
        held = await self.world.clock.drive(self.reserve())
        self.assertIsInstance(held, Reservation)
        self.assertEqual(await self.world.clock.drive(others[-1]), EXHAUSTED)

    async def test_waiting_requests_share_one_draw(self):
        """Guards against refusals after ``draw_wait`` when many wait at once.

        They occur if each request makes a draw of its own after those of the
        requests before it.
        """
        await self.world.clock.drive(self.router.book.register())
        writes = self.world.platform.weather.writes
        waiting = asyncio.gather(*(self.reserve(10) for _ in range(10)))
        held = await self.world.clock.drive(waiting)
        self.assertTrue(all(isinstance(one, Reservation) for one in held))
        self.assertEqual(self.world.platform.weather.writes, writes + 1)

    async def test_cancelled_request_frees_its_tokens(self):
        """Guards against tokens that stay reserved for a cancelled request.

        The caller disconnects just as the tokens arrive, so the request
        already has a reservation when it is cancelled.
        """
        work = self.reserve()
        self.call_on_commit(work.cancel)
        with self.assertRaises(asyncio.CancelledError):
            await self.world.clock.drive(work)
        for _ in range(10):
            await asyncio.sleep(0)
        ledger = self.router.ledgers['team']
        self.assertEqual(
            (ledger.reserved, ledger.unspent_granted), (0, _TOKENS)
        )


class UrgencyTest(unittest.IsolatedAsyncioTestCase):
    """The order in which tokens that arrive are given out."""

    @parameterized.expand(
        [
            ('arrival', [(50, 0), (50, 0), (50, 0)], 100, [0, 1]),
            ('urgency', [(50, 0), (50, 9), (50, 5)], 100, [1, 2]),
            ('urgency, then arrival', [(50, 3), (50, 9), (50, 3)], 100, [0, 1]),
            ('rest', [(50, 0), (50, 9), (200, 5)], 100, [0, 1]),
        ]
    )
    async def test_order(self, _name, requests, arriving, served):
        """Guards against urgent requests that wait behind others.

        The tokens that arrive don't cover all requests that wait.
        """
        ledger = Ledger('team', Rate(0, 1))
        waiters = [ledger.queue.add(*request) for request in requests]
        ledger.granted = arriving
        ledger.serve_queue()
        done = [
            number
            for number, waiter in enumerate(waiters)
            if waiter.outcome.done()
        ]
        self.assertEqual(done, served)


class LastTokensTest(unittest.IsolatedAsyncioTestCase):
    """Three routers, and an account that has nothing free."""

    async def asyncSetUp(self):
        self.world = World(attrs.evolve(SETTINGS, posture='strict'))
        self.routers = {name: self.world.start(name) for name in 'abc'}

    async def fund_and_hold(self, **tokens):
        """Fund the team; let routers draw all of it and keep it idle."""
        await self.world.fund('team', sum(tokens.values()))
        for name, amount in tokens.items():
            held = await self.reserve(name, amount)
            self.routers[name].release(held[0])

    def reserve(self, names, tokens):
        """Reserve at several routers at once."""
        work = (self.routers[name].reserve('team', tokens) for name in names)
        return self.world.clock.drive(asyncio.gather(*work))

    def count_reserved(self, outcomes):
        return sum(isinstance(one, Reservation) for one in outcomes)

    async def test_one_of_two_competing_requests_is_served(self):
        """Guards against refusing two requests though one can be served.

        Two routers hold half of the tokens each, and both need more. Both
        requests would fail if each router lent the other the tokens that its
        own request waits for.
        """
        await self.fund_and_hold(a=50, b=50)
        outcomes = await self.reserve('ab', 80)
        self.assertEqual(self.count_reserved(outcomes), 1)
        self.assertIn(EXHAUSTED, outcomes)

    async def test_two_borrowers_of_one_lender(self):
        """Guards against a lender with plenty that appears to have nothing.

        Two routers ask a third one at once, and it makes lendable only what
        one of them needs. Also checks that the account, which no loan
        changes, is not written.
        """
        await self.fund_and_hold(c=300)
        before = await self.world.read_row(account_key('team'))
        outcomes = await self.reserve('ab', 150)
        self.assertEqual(self.count_reserved(outcomes), 2)
        self.assertEqual(await self.world.read_row(before.key), before)

    async def test_refusal_ends_when_a_reservation_frees_tokens(self):
        """Guards against refusals while a peer holds enough idle tokens.

        A request is refused, another one ends and uses little, and the first
        is sent again. It would be refused again if the refusal were kept for
        a second although reserved tokens were about to become free.
        """
        await self.world.fund('team', _TOKENS)
        held = await self.reserve('a', _TOKENS)
        self.assertEqual(await self.reserve('b', 60), [EXHAUSTED])
        self.routers['a'].bill(held[0], Bill('team', 'k', 30))
        self.world.clock.seconds += 0.1
        self.assertEqual(self.count_reserved(await self.reserve('b', 60)), 1)

    async def test_tokens_that_cannot_be_lent(self):
        """Guards against requests that wait ``draw_wait`` and are refused.

        The remaining tokens are at a router that can't reach the table
        service and may not lend them. If it reported them as available, the
        borrower would ask for them again and again.
        """
        await self.fund_and_hold(b=300)
        lender = self.routers['b'].book.ledger('team')
        lender.lendable = 0
        self.world.disconnect('b')
        self.world.clock.seconds += 1
        began = self.world.clock.seconds
        self.assertEqual(await self.reserve('a', 100), [EXHAUSTED])
        self.assertLess(self.world.clock.seconds - began, 1)
