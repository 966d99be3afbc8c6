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
    """Two routers that each hold a part of a team's budget."""

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
        return (await self.world.team_sums()).account

    async def test_idle_tokens_are_returned(self):
        """Guards against a budget that can't be lowered to little spending.

        Routers hold more than the new budget, most of it idle, and must be
        asked to return it.
        """
        self.assertGreater((await self.account()).taken, 400)
        lowered = await self.edit(1, 400)
        self.assertIsInstance(lowered, Accepted)
        self.assertEqual((await self.account()).prepaid, 400)
        await self.world.run_rounds(count=2)
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        self.assertEqual(report.teams['team'].account.taken, 400)

    async def test_refusal_explains_what_is_outstanding(self):
        """Guards against a refusal that doesn't say what is possible.

        A request holds 300 tokens at a router. The refusal must name the
        host and the least that the budget can be lowered to.
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
        """Guards against a budget below what a router may be spending.

        A router that holds tokens is cut off from its peers. Its tokens must
        not count as returned only because no router reports them.
        """
        self.routers[1].release(self.held[1])
        self.world.network.cut(['a'], ['b'])
        refused = await self.edit(1, 150)
        self.assertEqual(refused, faults.BELOW_TAKEN)
        self.assertIn('300 at routers that are gone', refused.reason)
        row = await self.world.read_row(account_key('team'))
        self.assertEqual(row.value['prepaid'], 2000)
        self.world.network.heal()
        self.world.clock.seconds += 1
        self.assertIsInstance(await self.edit(1, 150), Accepted)
