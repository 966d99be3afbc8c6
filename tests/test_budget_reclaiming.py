"""Tests that tokens of a stopped lender are reclaimed only on proof."""

from parameterized import parameterized

from balsamreach.budget.stranded import STRANDED_PREFIX
from balsamreach.budget.takeover import RECLAIMED
from balsamreach.wire.loans import LenderAsk, LoanAsk
from tests.test_budget_failures import FailureTest


class ReclaimTest(FailureTest):
    """A lender crashes and its successor closes its allotment."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.router_c = self.world.start('c')
        await self.world.run_rounds()
        await self.admit(self.router_a, 'k', 1000)
        await self.world.run_rounds('a', count=2)
        self.address = self.world.address('a')

    async def replace_lender(self):
        """Kill the lender and let its successor close the allotment."""
        killed = self.world.kill('a')
        self.world.start('a2', address=self.address)
        await self.world.run_rounds('a2', count=5)
        return killed

    async def reclaim_and_audit(self):
        """Run reclaiming on all routers; return the tokens still stranded."""
        for router in self.world.routers.values():
            reclaimer = router.maintenance.peers.reclaimer
            await self.world.clock.drive(reclaimer.reclaim_all())
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        return sum(part.tokens for part in report.stranded)

    async def borrow(self):
        """Let router b borrow while it can't record the loan."""
        self.world.disconnect('b')
        outcome = await self.world.serve(self.router_b, 'm', 300)
        self.assertTrue(self.router_b.ledgers['team'].borrowed, outcome)

    async def test_unborrowed_tokens_are_reclaimed(self):
        """Tokens that nobody borrowed return to the account.

        A router that could have lent tokens crashes, and nobody borrowed
        any. If they stayed in the closed allotment forever, each crash would
        cost the budget the tokens of one router.
        """
        await self.replace_lender()
        stranded = (await self.world.audit()).stranded
        self.assertTrue(stranded)
        self.assertEqual(await self.reclaim_and_audit(), 0)
        # Only the router responsible for the lender counts the tokens.
        routers = self.world.routers.values()
        reclaimed = sum(router.metrics.counted(RECLAIMED) for router in routers)
        self.assertGreaterEqual(reclaimed, stranded[0].tokens)
        entry = await self.world.read_row(f'{STRANDED_PREFIX}a')
        self.assertIsNone(entry.value)
        await self.check_recorded(recorded=1000)

    async def test_unrecorded_loan_keeps_tokens(self):
        """Lent tokens are not reclaimed before the loan is recorded.

        The borrower is disconnected from the platform when the lender
        crashes, so only the borrower knows the loan. If its tokens were
        reclaimed, they could be granted a second time.
        """
        await self.borrow()
        await self.replace_lender()
        self.world.reconnect()
        self.assertGreater(await self.reclaim_and_audit(), 0)
        await self.world.run_rounds('b', count=2)
        await self.check_recorded(recorded=1300)
        self.assertEqual(await self.reclaim_and_audit(), 0)

    @parameterized.expand(
        [
            ('disconnect_peer',),
            ('kill_peer',),
            ('keep_copies',),
            ('lose_responses',),
        ],
    )
    async def test_missing_evidence_keeps_tokens(self, remove_evidence):
        """Tokens are kept while a router that may have borrowed is silent."""
        await self.replace_lender()
        getattr(self, remove_evidence)()
        self.assertGreater(await self.reclaim_and_audit(), 0)

    def disconnect_peer(self):
        """Disconnect a router from the other routers."""
        self.world.network.cut(['c'], ['a2', 'b'])

    def kill_peer(self):
        """Kill a router that gets no successor."""
        self.world.kill('c')

    def keep_copies(self):
        """Let a router keep bill copies of a dead one."""
        peers = self.router_b.maintenance.peers
        peers.keeper.copies.setdefault('dead', {})

    def lose_responses(self):
        """Lose the responses to the questions about the lender."""
        self.world.network.answers_lost[LenderAsk] = 100

    async def test_late_grant_is_ignored(self):
        """A grant is ignored after the router denied having loans.

        A router confirms that it has no loan of the lender, and the last
        grant of the lender arrives after that. Its tokens may be reclaimed
        and granted a second time.
        """
        self.world.network.held.add(LoanAsk)
        loans = self.router_b.maintenance.peers.loans
        self.assertTrue(loans.refuse_loans_from('a'))
        self.world.network.release()
        await self.fail_to_borrow()

    async def fail_to_borrow(self):
        """Let router b try to borrow; check that it gets no loan."""
        self.world.disconnect('b')
        self.world.kill('c')
        await self.world.serve(self.router_b, 'm', 300)
        self.assertFalse(self.router_b.ledgers['team'].borrowed)

    async def test_resumed_lender_lends_nothing(self):
        """A lender that resumes after its tokens were reclaimed lends none.

        The lender was paused, its tokens were reclaimed, and it gets a loan
        request after it resumes. If it relied on its outdated state in
        memory, it would lend tokens that were granted a second time.
        """
        nets = self.world.network.nets
        grant_loan = nets['a'].takers[LoanAsk]
        killed = await self.replace_lender()
        self.assertEqual(await self.reclaim_and_audit(), 0)
        self.world.clock.seconds += 60
        grant = await grant_loan(nets['b'].me, LoanAsk('late', 'team', 100))
        self.assertEqual(grant.tokens, 0)
        self.assertNotEqual(killed.closing_fault, None)
