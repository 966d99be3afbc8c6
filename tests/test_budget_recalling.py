"""Budgets that are lowered while routers hold tokens of them."""

import unittest

from balsamreach.budget.account import Bill, account_key
from balsamreach.gateway.operators_base import OperatorContext
from balsamreach.gateway.operators_lowering import apply_edit
from balsamreach.table import faults
from balsamreach.table.editor import Editor
from balsamreach.table.edits import Accepted, Edit
from balsamreach.table.rows import TEAM_PREFIX
from tests.budget_world import World


class LoweringTest(unittest.IsolatedAsyncioTestCase):
    """Two routers, and a team of which each of them holds a part."""

    async def asyncSetUp(self):
        self.world = World()
        self.routers = [self.world.start(name) for name in 'ab']
        self.editor = Editor(self.world.platform.table, self.world.clock)
        made = await self.edit(0, 2000)
        self.assertIsInstance(made, Accepted)
        self.held = [
            await self.world.clock.drive(router.reserve('team', 300))
            for router in self.routers
        ]
        self.routers[0].bill(self.held[0], Bill('team', 'k', 100))

    async def edit(self, version, prepaid):
        key = f'{TEAM_PREFIX}team'
        edit_id = f'e{version}-{prepaid}-{self.world.clock.seconds}'
        edit = Edit(edit_id, 'op', key, version, {'prepaid': prepaid})
        context = OperatorContext(
            cfg=None,
            view=None,
            service=None,
            editor=self.editor,
            budgets=self.routers[0],
            status=None,
        )
        work = apply_edit(context, edit)
        return await self.world.clock.drive(work)

    async def account(self):
        return (await self.world.sums()).account

    async def test_idle_tokens_come_back(self):
        """Symptom: a budget cannot be lowered though little is spent.

        Sequence: routers hold more than the new budget, most of it idle.
        Cause: nobody asks them to hand it back.
        """
        self.assertGreater((await self.account()).taken, 400)
        lowered = await self.edit(1, 400)
        self.assertIsInstance(lowered, Accepted)
        self.assertEqual((await self.account()).prepaid, 400)
        await self.world.rounds(count=2)
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        self.assertEqual(report.teams['team'].account.taken, 400)

    async def test_what_is_out_is_told(self):
        """Symptom: an operator does not learn how far a budget can go down.

        Sequence: a request holds 300 at a router. Cause: the refusal names
        neither the place nor the least that is possible.
        """
        refused = await self.edit(1, 399)
        self.assertEqual(refused, faults.BELOW_TAKEN)
        for part in ('to 400 now', '100 are spent', '300 at host-b'):
            self.assertIn(part, refused.reason)
        self.routers[1].release(self.held[1])
        self.world.clock.seconds += 1
        lowered = await self.edit(1, 100)
        self.assertIsInstance(lowered, Accepted)

    async def test_router_that_does_not_answer(self):
        """Symptom: a budget goes below what a router may be spending.

        Sequence: a router that holds tokens is cut off from its peers.
        Cause: what nobody accounts for is taken for returned.
        """
        self.routers[1].release(self.held[1])
        self.world.fabric.cut(['a'], ['b'])
        refused = await self.edit(1, 150)
        self.assertEqual(refused, faults.BELOW_TAKEN)
        self.assertIn('300 at routers that are gone', refused.reason)
        row = await self.world.peek(account_key('team'))
        self.assertEqual(row.value['prepaid'], 2000)
        self.world.fabric.heal()
        self.world.clock.seconds += 1
        self.assertIsInstance(await self.edit(1, 150), Accepted)
