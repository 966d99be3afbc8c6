"""Copies of bills: when they leave, and what becomes of them."""

import asyncio
import logging
import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.budget import copying
from balsamreach.budget.incarnations import ROUTER_PREFIX
from balsamreach.budget.ledger import Reservation
from balsamreach.peers.faults import NOT_CONNECTED
from balsamreach.wire.bills import BillCopies
from tests.budget_world import World
from tests.fake_net import FakePeerNet

_TURNS = 20


class CopiesTest(unittest.IsolatedAsyncioTestCase):
    """Three routers of one zone and one funded team."""

    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World()
        self.one = self.world.start('a')
        self.peers = self.one.upkeep.peers
        self.world.start('b')
        self.world.start('c')
        await self.world.fund('team', 100_000)
        await self.world.rounds()

    async def let_run(self, router):
        """Start what a router does by itself; no time passes."""
        task = asyncio.create_task(router.run())
        self.addCleanup(task.cancel)
        await self.turn()

    async def succeed(self):
        """Kill a router if it lives and start another on its address."""
        if 'a' in self.world.routers:
            self.address = self.world.address('a')
            self.world.kill('a')
        self.world.start('a2', address=self.address)
        await self.world.rounds(count=2)

    async def turn(self):
        """Let everything that waits for no time go on."""
        for _ in range(_TURNS):
            await asyncio.sleep(0)

    async def deliver(self):
        """Let what is told by now arrive."""
        await self.turn()
        await self.world.fabric.settle()

    async def admit(self, router, key, tokens=100):
        """Serve one request that must be admitted."""
        held = await self.world.serve(router, key, tokens)
        self.assertIsInstance(held, Reservation)

    async def test_copy_leaves_at_once(self):
        """Symptom: answers of a router's last second are never billed.

        Sequence: a request ends, its router is killed before the next beat,
        another starts on the address. Cause: copies that leave in beats.
        """
        await self.let_run(self.one)
        await self.admit(self.one, 'k')
        await self.turn()
        await self.world.fabric.settle()
        await self.succeed()
        self.assertEqual((await self.world.sums()).recorded, 100)

    async def test_secured_bill_outlives_its_maker(self):
        """Symptom: a caller has a whole answer that is never billed.

        Sequence: a request ends and its router is killed in the same
        instant. Cause: the answer's end does not wait for the bill's copy.
        """
        await self.admit(self.one, 'k')
        await self.one.secure()
        await self.succeed()
        self.assertEqual((await self.world.sums()).recorded, 100)
        self.assertEqual(self.secured('copied'), 1)

    async def test_silent_buddy_costs_one_wait(self):
        """Symptom: the end of every answer is held up.

        Sequence: the buddy is paused. Cause: each answer waits for it.
        """
        self.world.fabric.held.add(BillCopies)
        with mock.patch.object(copying, 'SECURE_S', 0):
            for key in ('k', 'm'):
                await self.admit(self.one, key)
                await self.one.secure()
        self.assertEqual(self.secured('late'), 1)
        self.world.fabric.release()
        await self.turn()
        await self.admit(self.one, 'n')
        await self.one.secure()
        self.assertEqual(self.secured('copied'), 1)

    @parameterized.expand([('alone', True), ('answer_lost', False)])
    async def test_bill_that_no_buddy_confirms(self, _name, alone):
        """Symptom: a buddy keeps a copy for good, or an answer hangs.

        Sequence: there is no buddy, or its answer is lost; the bill is
        recorded. Cause: a copy without an answer is taken for not sent.
        """
        self.world.fabric.answers_lost[BillCopies] = 1
        if alone:
            self.world.kill('b')
            self.world.kill('c')
        await self.admit(self.one, 'k')
        await self.one.secure()
        self.assertEqual(self.secured('alone'), 1)
        await self.one.flush()
        self.one.upkeep.copy_bills()
        await self.world.fabric.settle()
        others = [name for name in ('b', 'c') if name in self.world.routers]
        self.assertEqual(sum(self.kept(name) for name in others), 0)

    def kept(self, name):
        """Return how many copies a router keeps."""
        upkeep = self.world.routers[name].upkeep
        return upkeep.peers.keeper.kept

    def secured(self, outcome):
        """Return how often the end of an answer waited with an outcome."""
        return self.one.metrics.counted(copying.SECURED, outcome=outcome)

    async def test_new_buddy_gets_all(self):
        """Symptom: bills are lost with a buddy that had died before.

        Sequence: bills are copied, the buddy dies, one more bill is made,
        the maker dies. Cause: the new buddy is sent the new bill only.
        """
        await self.let_run(self.one)
        for key in ('k', 'm'):
            await self.admit(self.one, key)
            await self.deliver()
            if key == 'k':
                self.world.kill(self.peers.sender.buddy)
        await self.succeed()
        self.assertEqual((await self.world.sums()).recorded, 200)

    async def test_enters_before_first_round(self):
        """Symptom: for a whole interval nobody settles a dead router's bills.

        Sequence: a router dies, another starts on its address. Cause: its
        row, the proof that the first is gone, waits for the first round.
        """
        address = self.world.address('a')
        self.world.kill('a')
        await self.let_run(self.world.start('a2', address=address))
        row = await self.world.peek(ROUTER_PREFIX + address)
        self.assertEqual(row.value['incarnation'], 'a2')

    async def leave_dead_copy(self):
        """Let a router die without a successor; return its buddy."""
        await self.admit(self.one, 'k')
        self.one.upkeep.copy_bills()
        await self.world.fabric.settle()
        buddy = self.peers.sender.buddy
        self.address = self.world.address('a')
        self.world.kill('a')
        return buddy

    async def test_leaving_buddy_settles(self):
        """Symptom: a dead router's bills vanish at a graceful shutdown.

        Sequence: a router dies, a successor enters itself, the buddy
        leaves before its next look. Cause: copies that end with it.
        """
        buddy = await self.leave_dead_copy()
        self.world.start('a2', address=self.address)
        await self.world.rounds('a2')
        router = self.world.routers[buddy]
        self.assertTrue(await self.world.clock.drive(router.leave()))
        self.world.kill(buddy)
        self.assertEqual((await self.world.sums()).recorded, 100)

    async def test_leaving_buddy_passes_copies_on(self):
        """Symptom: as above, where nothing proves yet that the maker died.

        Sequence: a router dies, its buddy leaves, and only then another
        router starts on the address. Cause: as above.
        """
        buddy = await self.leave_dead_copy()
        router = self.world.routers[buddy]
        self.assertTrue(await self.world.clock.drive(router.leave()))
        self.world.kill(buddy)
        # The maker may only be cut off; that its first buddy went is no
        # proof against it.
        await self.world.rounds(count=2)
        self.assertEqual((await self.world.sums()).recorded, 0)
        await self.succeed()
        self.assertEqual((await self.world.sums()).recorded, 100)

    async def test_unsent_copy_goes_out_later(self):
        """Symptom: a bill has no copy although a buddy is in reach.

        Sequence: the connection to the buddy breaks as a bill is made and
        stands again at the next beat. Cause: taken for sent.
        """
        sender = self.peers.sender
        await self.admit(self.one, 'k')
        self.one.upkeep.copy_bills()
        await self.world.fabric.settle()
        await self.admit(self.one, 'm')
        failing = mock.AsyncMock(return_value=NOT_CONNECTED)
        with mock.patch.object(FakePeerNet, 'ask', failing):
            self.peers.copying.copy_new()
            await self.turn()
        self.one.upkeep.copy_bills()
        await self.world.fabric.settle()
        buddy = self.world.routers[sender.buddy].upkeep
        self.assertEqual(buddy.peers.keeper.kept, 2)


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """A graceful end with many teams."""

    async def test_closes_many_teams_in_few_commits(self):
        """Symptom: a shutdown with many teams outlasts its timeout.

        Sequence: a router that served hundreds of teams leaves. Cause: a
        commit, and a round trip, for each team.
        """
        world = World()
        router = world.start('a')
        for number in range(120):
            await world.fund(f'team-{number}', 10_000)
            await world.serve(router, 'k', 100, team=f'team-{number}')
        commit = type(world.platform.table).commit
        with mock.patch.object(
            type(world.platform.table),
            'commit',
            autospec=True,
            side_effect=commit,
        ) as commits:
            self.assertTrue(await world.clock.drive(router.leave()))
            self.assertLess(commits.call_count, 10)
        report = await world.audit()
        self.assertEqual(report.breaches, [])
        for sums in report.teams.values():
            self.assertEqual(sums.account.taken, 100)
