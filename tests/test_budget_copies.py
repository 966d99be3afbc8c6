"""Tests of bill copies: sending, settling and passing them on."""

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

_LOOP_TURNS = 20


class CopiesTest(unittest.IsolatedAsyncioTestCase):
    """Three routers in one zone and one funded team."""

    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World()
        self.router = self.world.start('a')
        self.peers = self.router.maintenance.peers
        self.world.start('b')
        self.world.start('c')
        await self.world.fund('team', 100_000)
        await self.world.run_rounds()

    async def start_tasks(self, router):
        """Start the background tasks of a router without advancing time."""
        task = asyncio.create_task(router.run())
        self.addCleanup(task.cancel)
        await self.run_ready_tasks()

    async def replace_router(self):
        """Kill router a if it is alive; start another at its address."""
        if 'a' in self.world.routers:
            self.address = self.world.address('a')
            self.world.kill('a')
        self.world.start('a2', address=self.address)
        await self.world.run_rounds(count=2)

    async def run_ready_tasks(self):
        """Run all tasks that do not wait for the clock."""
        for _ in range(_LOOP_TURNS):
            await asyncio.sleep(0)

    async def deliver_messages(self):
        """Deliver all messages that were sent."""
        await self.run_ready_tasks()
        await self.world.network.settle()

    async def admit(self, router, key, tokens=100):
        """Serve a request and check that it is admitted."""
        reservation = await self.world.serve(router, key, tokens)
        self.assertIsInstance(reservation, Reservation)

    async def test_copy_is_sent_at_once(self):
        """A bill is copied at once, not with the next periodic update.

        A request ends, its router is killed before the next update, and
        another router starts at the address. If copies were only sent
        periodically, the last second's requests would never be billed.
        """
        await self.start_tasks(self.router)
        await self.admit(self.router, 'k')
        await self.run_ready_tasks()
        await self.world.network.settle()
        await self.replace_router()
        self.assertEqual((await self.world.team_sums()).recorded, 100)

    async def test_secured_bill_survives_crash(self):
        """A complete response is billed although its router is killed.

        A request ends and its router is killed at the same moment. If the
        end of the response did not wait for the copy of the bill, the
        client would have a response that is never billed.
        """
        await self.admit(self.router, 'k')
        await self.router.wait_for_copies()
        await self.replace_router()
        self.assertEqual((await self.world.team_sums()).recorded, 100)
        self.assertEqual(self.count_secured('copied'), 1)

    async def test_slow_backup_delays_one_response(self):
        """A paused backup peer delays the end of only one response."""
        self.world.network.held.add(BillCopies)
        with mock.patch.object(copying, 'CONFIRM_TIMEOUT_S', 0):
            for key in ('k', 'm'):
                await self.admit(self.router, key)
                await self.router.wait_for_copies()
        self.assertEqual(self.count_secured('late'), 1)
        self.world.network.release()
        await self.run_ready_tasks()
        await self.admit(self.router, 'n')
        await self.router.wait_for_copies()
        self.assertEqual(self.count_secured('copied'), 1)

    @parameterized.expand([('alone', True), ('answer_lost', False)])
    async def test_unconfirmed_copy(self, _name, alone):
        """A copy that is not confirmed is neither waited for nor kept.

        There is no backup peer, or its response is lost; then the bill is
        recorded. If an unconfirmed copy counted as not sent, the peer would
        keep it forever.
        """
        self.world.network.answers_lost[BillCopies] = 1
        if alone:
            self.world.kill('b')
            self.world.kill('c')
        await self.admit(self.router, 'k')
        await self.router.wait_for_copies()
        self.assertEqual(self.count_secured('alone'), 1)
        await self.router.flush()
        self.router.maintenance.copy_bills()
        await self.world.network.settle()
        others = [name for name in ('b', 'c') if name in self.world.routers]
        self.assertEqual(sum(self.count_kept(name) for name in others), 0)

    def count_kept(self, name):
        """Return the number of copies that a router keeps."""
        maintenance = self.world.routers[name].maintenance
        return maintenance.peers.keeper.kept

    def count_secured(self, outcome):
        """Return how often waiting for a copy ended with an outcome."""
        return self.router.metrics.counted(copying.SECURED, outcome=outcome)

    async def test_new_backup_gets_all_bills(self):
        """A new backup peer gets copies of all waiting bills.

        Bills are copied, the backup peer crashes, another bill is made and
        its router crashes. If the new backup peer got only the new bill, the
        others would be lost.
        """
        await self.start_tasks(self.router)
        for key in ('k', 'm'):
            await self.admit(self.router, key)
            await self.deliver_messages()
            if key == 'k':
                self.world.kill(self.peers.sender.backup)
        await self.replace_router()
        self.assertEqual((await self.world.team_sums()).recorded, 200)

    async def test_registers_before_first_round(self):
        """A successor registers at its address before its first round.

        A router crashes and another starts at its address. The entry of the
        successor proves that the first one stopped; if it were written only
        in the first round, no peer could settle the bills until then.
        """
        address = self.world.address('a')
        self.world.kill('a')
        await self.start_tasks(self.world.start('a2', address=address))
        row = await self.world.read_row(ROUTER_PREFIX + address)
        self.assertEqual(row.value['incarnation'], 'a2')

    async def kill_after_copy(self):
        """Kill a router after copying a bill; return its backup peer."""
        await self.admit(self.router, 'k')
        self.router.maintenance.copy_bills()
        await self.world.network.settle()
        backup = self.peers.sender.backup
        self.address = self.world.address('a')
        self.world.kill('a')
        return backup

    async def test_leaving_backup_settles(self):
        """A backup peer settles bills of stopped routers before it leaves.

        A router crashes, a successor registers, and the backup peer shuts
        down before its next check. The only copies of the bills would be
        lost with it.
        """
        backup = await self.kill_after_copy()
        self.world.start('a2', address=self.address)
        await self.world.run_rounds('a2')
        router = self.world.routers[backup]
        self.assertTrue(await self.world.clock.drive(router.leave()))
        self.world.kill(backup)
        self.assertEqual((await self.world.team_sums()).recorded, 100)

    async def test_leaving_backup_passes_on_copies(self):
        """A backup peer that leaves passes on copies it can't settle yet.

        A router crashes, its backup peer shuts down, and only then another
        router starts at the address, which proves that the first stopped.
        The only copies of the bills would be lost with the backup peer.
        """
        backup = await self.kill_after_copy()
        router = self.world.routers[backup]
        self.assertTrue(await self.world.clock.drive(router.leave()))
        self.world.kill(backup)
        # The router may only be disconnected; that its first backup peer left
        # does not prove that it stopped.
        await self.world.run_rounds(count=2)
        self.assertEqual((await self.world.team_sums()).recorded, 0)
        await self.replace_router()
        self.assertEqual((await self.world.team_sums()).recorded, 100)

    async def test_unsent_copy_is_sent_later(self):
        """A copy that could not be sent is sent with the next update.

        The connection to the backup peer is broken when a bill is made, and
        works again at the next update. If the copy counted as sent, the bill
        would have no copy although a backup peer is reachable.
        """
        sender = self.peers.sender
        await self.admit(self.router, 'k')
        self.router.maintenance.copy_bills()
        await self.world.network.settle()
        await self.admit(self.router, 'm')
        failing = mock.AsyncMock(return_value=NOT_CONNECTED)
        with mock.patch.object(FakePeerNet, 'ask', failing):
            self.peers.copier.copy_new()
            await self.run_ready_tasks()
        self.router.maintenance.copy_bills()
        await self.world.network.settle()
        backup = self.world.routers[sender.backup].maintenance
        self.assertEqual(backup.peers.keeper.kept, 2)


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """A graceful shutdown with many teams."""

    async def test_closes_many_teams_in_few_commits(self):
        """A router that served many teams closes them in few commits.

        With a commit, and so a round trip, for each team, a shutdown with
        hundreds of teams would exceed its timeout.
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
