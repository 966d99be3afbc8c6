"""What a router that is gone may have lent is given back on proof alone."""

from parameterized import parameterized

from balsamreach.budget.leftovers import STRANDED_PREFIX
from balsamreach.budget.takeover import RECLAIMED
from balsamreach.wire.loans import LenderAsk, LoanAsk
from tests.test_budget_failures import FailureTest


class ReclaimTest(FailureTest):
    """A lender dies; its successor closes what it held."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.three = self.world.start('c')
        await self.world.rounds()
        await self.admit(self.router_a, 'k', 1000)
        await self.world.rounds('a', count=2)
        self.address = self.world.address('a')

    async def succeed(self):
        """Kill the lender and let its successor close what it held."""
        gone = self.world.kill('a')
        self.world.start('a2', address=self.address)
        await self.world.rounds('a2', count=5)
        return gone

    async def reclaim(self):
        """Let all routers look; return the tokens still left in the row."""
        for router in self.world.routers.values():
            reclaimer = router.upkeep.peers.reclaimer
            await self.world.clock.drive(reclaimer.reclaim_all())
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        return sum(one.tokens for one in report.stranded)

    async def lend(self):
        """Let the second router borrow while it can't record the loan."""
        self.world.cut('b')
        held = await self.world.serve(self.router_b, 'm', 300)
        self.assertTrue(self.router_b.ledgers['team'].borrowed, held)

    async def test_unborrowed_part_comes_back(self):
        """Symptom: each crash costs the budget what one router held.

        Sequence: a router that could have lent dies, nobody borrowed.
        Cause: what may be lent stays in the closed row for good.
        """
        await self.succeed()
        stranded = (await self.world.audit()).stranded
        self.assertTrue(stranded)
        self.assertEqual(await self.reclaim(), 0)
        # The counter is that of the one router that looked after it.
        routers = self.world.routers.values()
        counted = sum(one.metrics.counted(RECLAIMED) for one in routers)
        self.assertGreaterEqual(counted, stranded[0].tokens)
        entry = await self.world.peek(f'{STRANDED_PREFIX}a')
        self.assertIsNone(entry.value)
        await self.check_recorded(recorded=1000)

    async def test_loan_that_is_not_recorded_keeps_the_part(self):
        """Symptom: a loan in use is handed out a second time.

        Sequence: the borrower is cut off from the platform as the lender
        dies. Cause: only the borrower knows of the loan.
        """
        await self.lend()
        await self.succeed()
        self.world.heal()
        self.assertGreater(await self.reclaim(), 0)
        await self.world.rounds('b', count=2)
        await self.check_recorded(recorded=1300)
        self.assertEqual(await self.reclaim(), 0)

    @parameterized.expand(
        [
            ('cut_off_peer',),
            ('dead_peer',),
            ('copies_of_a_dead_peer',),
            ('lost_answer',),
        ],
    )
    async def test_missing_evidence_keeps_the_part(self, lack):
        """Symptom as above. Sequence: one that may have borrowed is silent."""
        await self.succeed()
        getattr(self, lack)()
        self.assertGreater(await self.reclaim(), 0)

    def cut_off_peer(self):
        """Let one router hear nothing from the others."""
        self.world.fabric.cut(['c'], ['a2', 'b'])

    def dead_peer(self):
        """Let one die that nobody succeeds."""
        self.world.kill('c')

    def copies_of_a_dead_peer(self):
        """Let one keep bills of a dead router."""
        peers = self.router_b.upkeep.peers
        peers.keeper.copies.setdefault('dead', {})

    def lost_answer(self):
        """Lose the answers to the questions."""
        self.world.fabric.answers_lost[LenderAsk] = 100

    async def test_grant_that_comes_late_is_not_taken(self):
        """Symptom as above.

        Sequence: a borrower says that it has no loan of the lender, and the
        lender's last grant arrives after that.
        """
        self.world.fabric.held.add(LoanAsk)
        loans = self.router_b.upkeep.peers.loans
        self.assertTrue(loans.has_done_with('a'))
        self.world.fabric.release()
        await self.lend_nothing()

    async def lend_nothing(self):
        """Let the second router ask in vain."""
        self.world.cut('b')
        self.world.kill('c')
        await self.world.serve(self.router_b, 'm', 300)
        self.assertFalse(self.router_b.ledgers['team'].borrowed)

    async def test_lender_that_wakes_lends_nothing(self):
        """Symptom as above.

        Sequence: the lender was paused, all it held was given back; it
        wakes and is asked. Cause: it believes its memory.
        """
        nets = self.world.fabric.nets
        lend = nets['a'].takers[LoanAsk]
        gone = await self.succeed()
        self.assertEqual(await self.reclaim(), 0)
        self.world.clock.seconds += 60
        grant = await lend(nets['b'].me, LoanAsk('late', 'team', 100))
        self.assertEqual(grant.tokens, 0)
        self.assertNotEqual(gone.closed, None)
