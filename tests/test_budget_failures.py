"""Tests of budgets under failures that are injected one at a time."""

import logging
import unittest
from unittest import mock

import attrs

from balsamreach.budget.account import allotment_key
from balsamreach.budget.faults import (
    BILLS_FULL,
    EXHAUSTED,
    NO_ALLOTMENT,
    TAKEN_OVER,
)
from balsamreach.budget.ledger import Reservation
from balsamreach.budget.settling import SettlementResult
from balsamreach.budget.takeover import RECLAIMED, STRANDED
from balsamreach.services.faults import UNKNOWN
from balsamreach.wire.loans import LoanAsk, LoanReceipt
from tests.budget_world import SETTINGS, LosingGate, World


class FailureTest(unittest.IsolatedAsyncioTestCase):
    """Base class with two routers in two zones and one funded team."""

    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World()
        self.router_a = self.world.start('a', 'zone-a')
        self.router_b = self.world.start('b', 'zone-b')
        await self.world.fund('team', 10000)

    async def admit(self, router, key, tokens):
        """Serve a request and check that it is admitted."""
        reservation = await self.world.serve(router, key, tokens)
        self.assertIsInstance(reservation, Reservation)

    async def check_recorded(self, *, recorded):
        """Audit; check the invariants and the recorded spend."""
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        self.assertEqual(report.teams['team'].recorded, recorded)
        return report


class LostResponseTest(FailureTest):
    """Responses of the table service that are lost after a write."""

    async def test_draw(self):
        """A draw is not repeated after its response was lost.

        The first draw is applied and its response is lost. The retry must
        recognise the draw by its sequence number; a second draw would take
        tokens from the account that nobody can spend.
        """
        self.world.platform.weather.lose_answers = 2
        await self.admit(self.router_a, 'k', 100)
        report = await self.check_recorded(recorded=0)
        own = report.teams['team'].allotments['a']
        self.assertEqual(own.granted, self.router_a.ledgers['team'].granted)
        self.assertEqual(report.teams['team'].account.taken, own.granted)

    async def test_settlement(self):
        """A bill that is sent again is not taken for a repeated one.

        Bills are recorded, the response is lost and the router sends them
        again. If it took the stored bill for that of another run of the
        request, the request would be billed twice or its tokens stay reserved.
        """
        await self.admit(self.router_a, 'k', 100)
        self.world.platform.weather.lose_answers = 1
        await self.world.clock.drive(self.router_a.flush())
        await self.check_recorded(recorded=100)
        self.assertEqual(self.router_a.repeated_bills, 0)
        self.assertEqual(self.router_a.ledgers['team'].billed, 100)

    async def test_two_flushes_at_once(self):
        """Two concurrent flushes count a bill as recorded only once.

        The final flush of a router runs concurrently with a periodic one
        and both settle the same bill. If both were applied, the number of
        waiting bills would be negative, and a router that leaves would hang
        until its attempts are used up.
        """
        await self.admit(self.router_a, 'k', 100)
        settlement = SettlementResult(self.router_a.recorder.bills())
        self.router_a.recorder.apply(settlement)
        self.router_a.recorder.apply(settlement)
        self.assertEqual(self.router_a.waiting, 0)

    async def test_loan_record(self):
        """A loan is recorded once although the response was lost.

        The borrower records a loan, the response is lost, the service goes
        down before the rows are read again, and the borrower retries later.
        If the retry were applied too, the loan would count twice and the
        lender's allotment have too few tokens.
        """
        await self.admit(self.router_a, 'k', 1000)
        await self.world.run_rounds('a', count=2)
        self.world.disconnect('b')
        await self.admit(self.router_b, 'm', 300)
        self.world.reconnect()
        connection = self.world.connections['b']
        connection.service = LosingGate(
            connection.service, connection=connection, commits_before_loss=1
        )
        await self.world.run_rounds('b')
        self.assertFalse(connection.open)
        self.world.reconnect()
        await self.world.run_rounds('b', count=2)
        report = await self.check_recorded(recorded=1300)
        sums = report.teams['team']
        borrower = self.router_b.ledgers['team']
        borrowed = sum(loan.tokens for loan in borrower.borrowed.values())
        self.assertEqual(borrowed, 0)
        lent = self.router_a.ledgers['team'].lent
        self.assertEqual(sums.allotments['a'].lent, lent)

    async def test_return(self):
        """Tokens of a return of unknown outcome are not spent.

        A router returns idle tokens to the account, the response is lost
        and the service becomes unreachable; then a request arrives. If the
        router counted the tokens as available again, they could be spent
        although the return was applied.
        """
        for number in range(20):
            await self.admit(self.router_a, f'k{number}', 50)
        await self.world.run_rounds('a')
        self.world.clock.seconds += 1200
        connection = self.world.connections['a']
        connection.service = LosingGate(
            connection.service, connection=connection
        )
        await self.world.run_rounds('a')
        self.assertFalse(connection.open)
        ledger = self.router_a.ledgers['team']
        self.assertGreater(ledger.returning, 0)
        row = await self.world.read_row(allotment_key('a', 'team'))
        held = row.value['granted'] - row.value['settled']
        self.assertLessEqual(ledger.available, held)

    async def test_return_not_applied(self):
        """An idle router finds out that a return was not applied.

        A return gets no response and is not applied, and nothing is drawn
        for a while. If only the next draw detected this, nobody could spend
        the tokens until then.
        """
        for number in range(20):
            await self.admit(self.router_a, f'k{number}', 50)
        await self.world.run_rounds('a')
        self.world.clock.seconds += 1200
        ledger = self.router_a.ledgers['team']
        table = type(self.world.connections['a'])
        with mock.patch.object(table, 'commit', return_value=UNKNOWN):
            await self.world.run_rounds('a')
        self.assertGreater(ledger.returning, 0)
        await self.world.run_rounds('a', count=2)
        self.assertEqual(ledger.returning, 0)
        row = await self.world.read_row(allotment_key('a', 'team'))
        self.assertEqual(ledger.granted, row.value['granted'])


class LoanTest(FailureTest):
    """Loans between routers while the table service is away."""

    async def cut_off_with_reserve(self):
        """Give one router spare tokens, then disconnect both routers."""
        await self.admit(self.router_a, 'k', 1000)
        await self.world.run_rounds('a', count=2)
        self.world.disconnect('a', 'b')

    async def test_borrow(self):
        """A router without an allotment serves with borrowed tokens."""
        await self.cut_off_with_reserve()
        await self.admit(self.router_b, 'm', 300)
        self.world.reconnect()
        await self.world.run_rounds(count=2)
        await self.check_recorded(recorded=1300)

    async def test_strict_borrower_waits(self):
        """A strict router does not spend a loan before it is recorded.

        The service is unavailable, the router borrows and a request
        arrives. If it spent the loan at once, it would spend tokens that no
        stored row shows as its own.
        """
        self.world.cfg = attrs.evolve(SETTINGS, posture='strict')
        strict = self.world.start('c')
        await self.cut_off_with_reserve()
        self.world.disconnect('c')
        refused = await self.world.serve(strict, 'm', 300)
        self.assertEqual(refused, NO_ALLOTMENT)
        self.assertGreater(refused.retry_after, 0)
        self.world.reconnect()
        self.world.clock.seconds += 10
        await self.admit(strict, 'm', 300)

    async def test_lost_grant_is_cancelled(self):
        """A loan whose grant was lost is cancelled at the lender.

        The lender deducts a loan, its response is lost and the borrower
        cancels the loan. If the cancellation did not reach the lender,
        neither router could ever spend the tokens.
        """
        await self.cut_off_with_reserve()
        before = self.router_a.ledgers['team'].available
        self.world.network.answers_lost[LoanAsk] = 1
        refused = await self.world.serve(self.router_b, 'm', 300)
        self.assertEqual(refused, NO_ALLOTMENT)
        self.assertEqual(self.router_a.ledgers['team'].available, before - 300)
        await self.world.run_rounds('b')
        self.assertEqual(self.router_a.ledgers['team'].available, before)

    async def test_loan_request_after_cancellation(self):
        """A lender ignores a loan request that was cancelled before.

        A loan request is delayed and arrives after its cancellation. If the
        lender granted it, neither router could ever spend the tokens, as
        nobody waits for the grant.
        """
        await self.cut_off_with_reserve()
        me = self.world.network.nets['b']
        ledger = self.router_a.ledgers['team']
        before = ledger.available
        await me.ask('a', LoanReceipt('late', ''))
        grant = await me.ask('a', LoanAsk('late', 'team', 100))
        self.assertEqual(grant.tokens, 0)
        self.assertEqual(ledger.available, before)

    async def test_duplicate_loan_request(self):
        """A duplicated loan request is deducted only once."""
        await self.cut_off_with_reserve()
        before = self.router_a.ledgers['team'].available
        self.world.network.doubled[LoanAsk] = 1
        await self.admit(self.router_b, 'm', 300)
        self.assertEqual(self.router_a.ledgers['team'].available, before - 300)

    async def test_lender_stops(self):
        """Closing an allotment keeps tokens that may have been lent.

        Both routers are disconnected from the service and one lends to the
        other. The lender stops, and its successor closes its allotment
        before the borrower records the loan. If closing returned all tokens
        that the row does not show as lent, the lent ones would be granted a
        second time.
        """
        await self.cut_off_with_reserve()
        await self.admit(self.router_b, 'm', 300)
        address = self.world.address('a')
        self.world.kill('a')
        self.world.start('a2', address=address)
        await self.world.run_rounds('a2', count=5)
        report = await self.check_recorded(recorded=1000)
        left = report.teams['team'].allotments['a']
        self.assertTrue(left.closed)
        self.assertTrue(report.stranded)
        self.world.reconnect()
        await self.world.run_rounds('b', count=2)
        await self.check_recorded(recorded=1300)

    async def test_top_up_during_partition(self):
        """A zone without the platform can spend a top-up by borrowing.

        A zone loses its connection to the platform, but not to the other
        zone; then the budget is topped up. If the top-up reached no router
        in that zone, it would refuse requests that the budget covers.
        """
        await self.admit(self.router_b, 'k0', 9000)
        self.world.disconnect('b')
        refused = await self.world.serve(self.router_b, 'k1', 2000)
        self.assertNotIsInstance(refused, Reservation)
        await self.world.fund('team', 40000)
        self.world.clock.seconds += 10
        await self.admit(self.router_b, 'k2', 2000)


class TakeoverTest(FailureTest):
    """Routers that stop, or are paused and resume."""

    async def replace_router(self, name='a', successor='a2'):
        """Kill a router and start another one at its address."""
        address = self.world.address(name)
        killed = self.world.kill(name)
        self.world.start(successor, address=address)
        await self.world.run_rounds(count=6)
        return killed

    async def test_successor_closes(self):
        """A successor returns unspent tokens; recorded spend is kept."""
        await self.admit(self.router_a, 'k', 100)
        await self.world.run_rounds('a')
        await self.replace_router()
        report = await self.check_recorded(recorded=100)
        account = report.teams['team'].account
        self.assertEqual(account.folded, 100)

    async def test_backup_settles(self):
        """The backup peer records the bills of a router that stopped.

        A bill waits and is copied to a peer, then its router stops. If no
        other router had the bill, the request would never be billed. The
        router that closes the allotment counts the reclaimed tokens once.
        """
        await self.world.serve(self.router_a, 'k', 500, used=100)
        self.router_a.maintenance.copy_bills()
        await self.world.network.settle()
        address = self.world.address('a')
        self.world.kill('a')
        successor = self.world.start('a2', address=address)
        await successor.maintenance.book.register()
        await self.world.run_rounds('b')
        await self.check_recorded(recorded=100)
        self.assertEqual(self.count_reclaimed(), 400)

    def count_reclaimed(self):
        """Return the tokens that routers counted as reclaimed or stranded."""
        return sum(
            router.metrics.counted(name)
            for router in self.world.routers.values()
            for name in (RECLAIMED, STRANDED)
        )

    async def test_resumed_router_does_not_settle_again(self):
        """A router that resumes does not bill a request again.

        A router is paused after its bill was copied, a successor takes over
        its address, the backup peer records the bill, and the router
        resumes and settles too. If it relied on its outdated state in
        memory, the request would be billed by two routers.
        """
        await self.admit(self.router_a, 'k', 100)
        self.router_a.maintenance.copy_bills()
        await self.world.network.settle()
        resumed = await self.replace_router()
        refused = await self.world.serve(resumed, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)
        await self.world.clock.drive(resumed.maintenance.run_round())
        await self.check_recorded(recorded=100)
        self.assertEqual(resumed.waiting, 0)

    async def test_pause_during_a_draw(self):
        """A request is refused if the allotment was closed meanwhile.

        A router is paused while it waits for a draw, and its allotments are
        closed in the meantime. Unless the state is checked again after the
        wait, the request is admitted on a closed allotment.
        """
        await self.admit(self.router_a, 'k', 100)
        await self.world.run_rounds('a')
        resumed = await self.replace_router()
        resumed.ledgers['team'].granted = 0
        self.world.clock.seconds -= 100
        refused = await self.world.serve(resumed, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)


class OutageTest(FailureTest):
    """Long outages of the table service."""

    async def test_bills_are_bounded(self):
        """A router refuses requests when too many bills wait.

        The service is unavailable and the number of waiting bills reaches
        the limit. If the router went on admitting requests, its memory
        would grow without bound or requests would run unbilled.
        """
        self.world.cfg = attrs.evolve(SETTINGS, bills_limit=3)
        router = self.world.start('c')
        await self.admit(router, 'k', 300)
        self.world.disconnect('c')
        for number in range(2):
            await self.admit(router, f'm{number}', 1)
        refused = await self.world.serve(router, 'n', 1)
        self.assertEqual(refused, BILLS_FULL)
        self.assertGreater(refused.retry_after, 0)
        self.world.reconnect()
        await self.world.run_rounds('c')
        await self.admit(router, 'n', 1)

    async def test_leaving_during_outage(self):
        """A graceful shutdown during an outage loses no bills.

        The service is unavailable and the router is told to stop. Bills
        that only its memory holds would be lost with it.
        """
        await self.admit(self.router_a, 'k', 100)
        self.world.disconnect('a')
        self.assertFalse(await self.world.clock.drive(self.router_a.leave()))
        self.world.kill('a')
        await self.world.run_rounds('b')
        report = await self.check_recorded(recorded=100)
        self.assertEqual(report.teams['team'].account.taken, 100)

    async def test_hanging_draw(self):
        """The wait for a draw is bounded.

        The service accepts calls and responds very late. Without a bound a
        request would wait forever for its budget.
        """
        self.world.cfg = attrs.evolve(SETTINGS, draw_wait=0.01)
        router = self.world.start('c')
        # The test does not advance the clock, so the service never responds.
        self.world.platform.weather.delay_s = 60
        refused = await router.reserve('team', 100)
        self.assertEqual(refused, NO_ALLOTMENT)
        self.assertGreater(refused.retry_after, 0)


class BudgetEndTest(FailureTest):
    """The last tokens of a budget."""

    async def test_last_tokens_are_spent(self):
        """The last tokens can be spent, whichever router holds them.

        Both routers hold some tokens, and one needs more than the account
        has free. If it could not get the idle tokens of the other router,
        it would refuse a request that the budget covers.
        """
        served = 0
        for number in range(400):
            router = (self.router_a, self.router_b)[number % 2]
            reservation = await self.world.serve(router, f'k{number}', 50)
            if not isinstance(reservation, Reservation):
                self.assertEqual(reservation, EXHAUSTED)
                break
            served += 50
            self.world.clock.seconds += 0.1
            if not number % 40:
                await self.world.run_rounds()
        self.assertEqual(served, 10000)
        await self.world.run_rounds(count=2)
        await self.check_recorded(recorded=10000)

    async def test_repeated_key_is_billed_once(self):
        """A request billed twice in a batch and by two routers counts once."""
        await self.admit(self.router_a, 'k', 100)
        await self.admit(self.router_a, 'k', 100)
        await self.admit(self.router_b, 'k', 100)
        await self.world.run_rounds()
        await self.check_recorded(recorded=100)
        self.assertEqual(self.router_a.repeated_bills, 1)
        self.assertEqual(self.router_b.repeated_bills, 1)
        self.assertEqual(self.router_b.ledgers['team'].billed, 0)
