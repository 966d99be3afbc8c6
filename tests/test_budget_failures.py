"""Failures that budgets meet, each brought about on purpose."""

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
from balsamreach.budget.settling import Settled
from balsamreach.budget.takeover import RECLAIMED, STRANDED
from balsamreach.services.faults import UNKNOWN
from balsamreach.wire.loans import LoanAsk, LoanReceipt
from tests.budget_world import SETTINGS, Loser, World


class FailureTest(unittest.IsolatedAsyncioTestCase):
    """Two routers in two zones and one funded team."""

    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World()
        self.one = self.world.start('a', 'zone-a')
        self.two = self.world.start('b', 'zone-b')
        await self.world.fund('team', 10000)

    async def admit(self, router, key, tokens):
        """Serve one request that must be admitted."""
        held = await self.world.serve(router, key, tokens)
        self.assertIsInstance(held, Reservation)

    async def check(self, *, recorded):
        """Audit and compare the recorded spend."""
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        self.assertEqual(report.teams['team'].recorded, recorded)
        return report


class LostAnswerTest(FailureTest):
    """Answers of the table service that are lost after the write."""

    async def test_draw(self):
        """Symptom: a budget shrinks by a draw that nobody can spend.

        Sequence: the first draw is applied and its answer lost. Cause: a
        draw that is made again instead of found by its number.
        """
        self.world.platform.weather.lose_answers = 2
        await self.admit(self.one, 'k', 100)
        report = await self.check(recorded=0)
        own = report.teams['team'].allotments['a']
        self.assertEqual(own.granted, self.one.ledgers['team'].granted)
        self.assertEqual(report.teams['team'].account.taken, own.granted)

    async def test_settlement(self):
        """Symptom: a request is billed twice, or its tokens stay held.

        Sequence: bills are recorded, the answer is lost, and they are sent
        again. Cause: a bill of one's own taken for a repeated one.
        """
        await self.admit(self.one, 'k', 100)
        self.world.platform.weather.lose_answers = 1
        await self.world.clock.drive(self.one.flush())
        await self.check(recorded=100)
        self.assertEqual(self.one.repeated_bills, 0)
        self.assertEqual(self.one.ledgers['team'].billed, 100)

    async def test_two_flushes_at_once(self):
        """Symptom: a router that leaves hangs until its tries end.

        Sequence: the last flush of a router runs beside that of a round;
        both settle the same bill. Cause: it is entered twice, and the
        number of waiting bills falls below zero.
        """
        await self.admit(self.one, 'k', 100)
        settled = Settled(self.one.recorder.bills())
        self.one.recorder.enter(settled)
        self.one.recorder.enter(settled)
        self.assertEqual(self.one.waiting, 0)

    async def test_loan_record(self):
        """Symptom: a loan counts twice and the lender's row goes short.

        Sequence: the borrower records a loan, the answer is lost, the
        service goes down before the rows are read again, and the borrower
        tries anew later. Cause: the second record is not told from the
        first.
        """
        await self.admit(self.one, 'k', 1000)
        await self.world.rounds('a', count=2)
        self.world.cut('b')
        await self.admit(self.two, 'm', 300)
        self.world.heal()
        gate = self.world.gates['b']
        gate.service = Loser(gate.service, gate=gate, commits_before=1)
        await self.world.rounds('b')
        self.assertFalse(gate.open)
        self.world.heal()
        await self.world.rounds('b', count=2)
        report = await self.check(recorded=1300)
        sums = report.teams['team']
        borrower = self.two.ledgers['team']
        borrowed = sum(loan.tokens for loan in borrower.borrowed.values())
        self.assertEqual(borrowed, 0)
        lent = self.one.ledgers['team'].lent
        self.assertEqual(sums.allotments['a'].lent, lent)

    async def test_return(self):
        """Symptom: tokens are spent that went back to the account.

        Sequence: a router hands idle tokens back, the answer is lost and
        the service is cut off; a request comes. Cause: the tokens are
        counted as here again although the return took effect.
        """
        for number in range(20):
            await self.admit(self.one, f'k{number}', 50)
        await self.world.rounds('a')
        self.world.clock.seconds += 1200
        gate = self.world.gates['a']
        gate.service = Loser(gate.service, gate=gate)
        await self.world.rounds('a')
        self.assertFalse(gate.open)
        ledger = self.one.ledgers['team']
        self.assertGreater(ledger.returning, 0)
        row = await self.world.peek(allotment_key('a', 'team'))
        held = row.value['granted'] - row.value['settled']
        self.assertLessEqual(ledger.available, held)

    async def test_return_that_never_landed(self):
        """Symptom: an idle router's tokens can be spent by nobody.

        Sequence: a return is sent, no answer comes and it did not take
        effect; nothing is drawn for a while. Cause: only the next draw
        finds out.
        """
        for number in range(20):
            await self.admit(self.one, f'k{number}', 50)
        await self.world.rounds('a')
        self.world.clock.seconds += 1200
        ledger = self.one.ledgers['team']
        table = type(self.world.gates['a'])
        with mock.patch.object(table, 'commit', return_value=UNKNOWN):
            await self.world.rounds('a')
        self.assertGreater(ledger.returning, 0)
        await self.world.rounds('a', count=2)
        self.assertEqual(ledger.returning, 0)
        row = await self.world.peek(allotment_key('a', 'team'))
        self.assertEqual(ledger.granted, row.value['granted'])


class LoanTest(FailureTest):
    """Loans between routers while the table service is away."""

    async def cut_with_reserve(self):
        """Let one router hold a reserve, then cut both off."""
        await self.admit(self.one, 'k', 1000)
        await self.world.rounds('a', count=2)
        self.world.cut('a', 'b')

    async def test_borrows(self):
        """A router without an allotment serves out of another's."""
        await self.cut_with_reserve()
        await self.admit(self.two, 'm', 300)
        self.world.heal()
        await self.world.rounds(count=2)
        await self.check(recorded=1300)

    async def test_strict_borrower_waits(self):
        """Symptom: a strict router spends what no row shows as its own.

        Sequence: the service is away, the router borrows, a request comes.
        Cause: a loan spent before it is recorded.
        """
        self.world.cfg = attrs.evolve(SETTINGS, posture='strict')
        strict = self.world.start('c')
        await self.cut_with_reserve()
        self.world.cut('c')
        refused = await self.world.serve(strict, 'm', 300)
        self.assertEqual(refused, NO_ALLOTMENT)
        self.assertGreater(refused.retry_after, 0)
        self.world.heal()
        self.world.clock.seconds += 10
        await self.admit(strict, 'm', 300)

    async def test_lost_grant_is_called_off(self):
        """Symptom: tokens are gone from both routers for good.

        Sequence: the lender takes a loan off, its answer is lost, the
        borrower calls the loan off. Cause: no word reaches the lender.
        """
        await self.cut_with_reserve()
        before = self.one.ledgers['team'].available
        self.world.fabric.answers_lost[LoanAsk] = 1
        refused = await self.world.serve(self.two, 'm', 300)
        self.assertEqual(refused, NO_ALLOTMENT)
        self.assertEqual(self.one.ledgers['team'].available, before - 300)
        await self.world.rounds('b')
        self.assertEqual(self.one.ledgers['team'].available, before)

    async def test_ask_after_calling_off(self):
        """Symptom: as above, although the loan was called off.

        Sequence: an ask is delayed, the word that calls it off overtakes
        it. Cause: the lender lends for an ask that nobody waits for.
        """
        await self.cut_with_reserve()
        me = self.world.fabric.nets['b']
        ledger = self.one.ledgers['team']
        before = ledger.available
        await me.ask('a', LoanReceipt('late', ''))
        grant = await me.ask('a', LoanAsk('late', 'team', 100))
        self.assertEqual(grant.tokens, 0)
        self.assertEqual(ledger.available, before)

    async def test_doubled_ask_lends_once(self):
        """Symptom: a doubled message takes a loan off twice."""
        await self.cut_with_reserve()
        before = self.one.ledgers['team'].available
        self.world.fabric.doubled[LoanAsk] = 1
        await self.admit(self.two, 'm', 300)
        self.assertEqual(self.one.ledgers['team'].available, before - 300)

    async def test_lender_dies(self):
        """Symptom: lent tokens are handed out a second time.

        Sequence: both are cut off from the service, one lends, the lender
        dies and its successor closes its allotment before the borrower
        records the loan. Cause: the closing returns tokens that the row
        does not show as lent.
        """
        await self.cut_with_reserve()
        await self.admit(self.two, 'm', 300)
        address = self.world.address('a')
        self.world.kill('a')
        self.world.start('a2', address=address)
        await self.world.rounds('a2', count=5)
        report = await self.check(recorded=1000)
        left = report.teams['team'].allotments['a']
        self.assertTrue(left.closed)
        self.assertTrue(report.stranded)
        self.world.heal()
        await self.world.rounds('b', count=2)
        await self.check(recorded=1300)

    async def test_top_up_on_one_side(self):
        """Symptom: a cut-off zone refuses although the budget has room.

        Sequence: a zone loses the platform but not the other zone; the
        budget is topped up. Cause: the top-up reaches no router there.
        """
        await self.admit(self.two, 'k0', 9000)
        self.world.cut('b')
        refused = await self.world.serve(self.two, 'k1', 2000)
        self.assertNotIsInstance(refused, Reservation)
        await self.world.fund('team', 40000)
        self.world.clock.seconds += 10
        await self.admit(self.two, 'k2', 2000)


class TakeoverTest(FailureTest):
    """Routers that die, pause and wake."""

    async def succeed(self, name='a', successor='a2'):
        """Kill a router and start another on its address."""
        address = self.world.address(name)
        gone = self.world.kill(name)
        self.world.start(successor, address=address)
        await self.world.rounds(count=6)
        return gone

    async def test_successor_closes(self):
        """A dead router's tokens return and its spend stays recorded."""
        await self.admit(self.one, 'k', 100)
        await self.world.rounds('a')
        await self.succeed()
        report = await self.check(recorded=100)
        account = report.teams['team'].account
        self.assertEqual(account.folded, 100)

    async def test_buddy_settles(self):
        """Symptom: what a router served before it died is never billed.

        Sequence: a bill waits and is copied, its maker dies. Cause: nobody
        else knows the bill. Whoever closes the allotment counts what was
        taken over, once.
        """
        await self.world.serve(self.one, 'k', 500, used=100)
        self.one.upkeep.copy_bills()
        await self.world.fabric.settle()
        address = self.world.address('a')
        self.world.kill('a')
        successor = self.world.start('a2', address=address)
        await successor.upkeep.book.enter()
        await self.world.rounds('b')
        await self.check(recorded=100)
        self.assertEqual(self.told(), 400)

    def told(self):
        """Return what routers have counted as taken over from the dead."""
        return sum(
            router.metrics.counted(name)
            for router in self.world.routers.values()
            for name in (RECLAIMED, STRANDED)
        )

    async def test_woken_holder_cannot_settle_twice(self):
        """Symptom: one request is billed by two routers.

        Sequence: a router pauses with a copied bill, a successor takes its
        address, the buddy settles, the router wakes and settles too. Cause:
        the woken router trusts its memory.
        """
        await self.admit(self.one, 'k', 100)
        self.one.upkeep.copy_bills()
        await self.world.fabric.settle()
        woken = await self.succeed()
        refused = await self.world.serve(woken, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)
        await self.world.clock.drive(woken.upkeep.round())
        await self.check(recorded=100)
        self.assertEqual(woken.waiting, 0)

    async def test_pause_during_a_draw(self):
        """Symptom: a request is admitted on an allotment that was closed.

        Sequence: a router waits for a draw and is paused; its allotments
        are closed meanwhile; the wait ends. Cause: what was checked before
        the wait is not checked again after it.
        """
        await self.admit(self.one, 'k', 100)
        await self.world.rounds('a')
        woken = await self.succeed()
        woken.ledgers['team'].granted = 0
        self.world.clock.seconds -= 100
        refused = await self.world.serve(woken, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)


class OutageTest(FailureTest):
    """The table service is away for long."""

    async def test_bills_are_bounded(self):
        """Symptom: memory grows, or requests run that nobody bills.

        Sequence: the service is away, bills pile up to the limit. Cause: a
        router that goes on admitting.
        """
        self.world.cfg = attrs.evolve(SETTINGS, bills_limit=3)
        small = self.world.start('c')
        await self.admit(small, 'k', 300)
        self.world.cut('c')
        for number in range(2):
            await self.admit(small, f'm{number}', 1)
        refused = await self.world.serve(small, 'n', 1)
        self.assertEqual(refused, BILLS_FULL)
        self.assertGreater(refused.retry_after, 0)
        self.world.heal()
        await self.world.rounds('c')
        await self.admit(small, 'n', 1)

    async def test_leaving_while_away(self):
        """Symptom: a graceful end during an outage loses bills.

        Sequence: the service is away, the router is told to end. Cause:
        bills that only its memory holds.
        """
        await self.admit(self.one, 'k', 100)
        self.world.cut('a')
        self.assertFalse(await self.world.clock.drive(self.one.leave()))
        self.world.kill('a')
        await self.world.rounds('b')
        report = await self.check(recorded=100)
        self.assertEqual(report.teams['team'].account.taken, 100)

    async def test_draw_that_hangs(self):
        """Symptom: a request waits for ever for a budget.

        Sequence: the service takes calls and answers late. Cause: no bound
        on the wait.
        """
        self.world.cfg = attrs.evolve(SETTINGS, draw_wait=0.01)
        hurried = self.world.start('c')
        # Nobody moves the clock, so the service never answers.
        self.world.platform.weather.delay_s = 60
        refused = await hurried.reserve('team', 100)
        self.assertEqual(refused, NO_ALLOTMENT)
        self.assertGreater(refused.retry_after, 0)


class EndOfBudgetTest(FailureTest):
    """The last tokens of a budget."""

    async def test_last_tokens_are_found(self):
        """Symptom: a refusal although the budget has room elsewhere.

        Sequence: both routers hold a part, one needs more than the account
        has free. Cause: what the other holds idle is out of its reach.
        """
        served = 0
        for number in range(400):
            router = (self.one, self.two)[number % 2]
            held = await self.world.serve(router, f'k{number}', 50)
            if not isinstance(held, Reservation):
                self.assertEqual(held, EXHAUSTED)
                break
            served += 50
            self.world.clock.seconds += 0.1
            if not number % 40:
                await self.world.rounds()
        self.assertEqual(served, 10000)
        await self.world.rounds(count=2)
        await self.check(recorded=10000)

    async def test_repeated_key_is_billed_once(self):
        """The same request billed by two routers, and twice in a batch."""
        await self.admit(self.one, 'k', 100)
        await self.admit(self.one, 'k', 100)
        await self.admit(self.two, 'k', 100)
        await self.world.rounds()
        await self.check(recorded=100)
        self.assertEqual(self.one.repeated_bills, 1)
        self.assertEqual(self.two.repeated_bills, 1)
        self.assertEqual(self.two.ledgers['team'].billed, 0)
