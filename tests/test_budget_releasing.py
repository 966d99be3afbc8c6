"""What a dead router holds is released on an operator's word."""

import json
import logging
import unittest

from click.testing import CliRunner

from balsamreach.budget.account import (
    Account,
    Allotment,
    account_key,
    allotment_key,
    encode,
)
from balsamreach.budget.faults import STILL_LISTED, TAKEN_OVER
from balsamreach.budget.ledger import Reservation
from balsamreach.budget.releasing import RELEASE_PREFIX, Released, Releaser
from balsamreach.services.base import HostEntry
from balsamreach.ui import exit_codes
from balsamreach.ui.main import main
from tests.budget_world import World
from tests.platform_server import PlatformServer


class ReleaseTest(unittest.IsolatedAsyncioTestCase):
    """A router that vanished; nobody uses its address again."""

    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World()
        self.gone = self.world.start('a')
        self.world.start('b')
        await self.world.fund('team', 10_000)
        await self.world.serve(self.gone, 'k', 100)
        await self.world.rounds()
        self.address = self.world.address('a')
        self.world.kill('a')
        platform = self.world.platform
        self.releaser = Releaser(
            platform.table,
            platform.hosts,
            self.world.clock,
        )

    async def release(self):
        """Release what the dead router held."""
        return await self.releaser.release('a', 'Éva')

    async def test_tokens_return(self):
        """Symptom: a budget has room that no router can draw.

        Sequence: a router dies, its host is not replaced. Cause: nobody
        has proof of its death.
        """
        await self.world.rounds('b', count=6)
        self.assertGreater((await self.world.sums()).account.taken, 100)
        outcome = await self.release()
        self.assertIsInstance(outcome, Released)
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        taken = report.teams['team'].account.taken
        self.assertEqual(taken, 100 + outcome.kept)
        self.assertGreater(outcome.returned['team'], 0)
        record = await self.world.peek(f'{RELEASE_PREFIX}a')
        self.assertEqual(record.value['by'], 'Éva')

    async def test_second_release_changes_nothing(self):
        """A release that is repeated returns nothing twice."""
        await self.release()
        before = await self.world.sums()
        again = await self.release()
        self.assertEqual(again, Released({}, 0))
        self.assertEqual(await self.world.sums(), before)

    async def test_holder_that_wakes(self):
        """Symptom: tokens are spent that were handed out a second time.

        Sequence: a router is paused and taken for dead; an operator
        releases what it holds; it wakes. Cause: it believes its memory.
        """
        await self.release()
        self.world.clock.seconds += 60
        refused = await self.world.serve(self.gone, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)

    async def test_holder_of_nothing_that_wakes(self):
        """Symptom: a released router draws anew, and that is stranded too.

        Sequence: as above, but the router held nothing yet. Cause: no row
        of its own tells it of the release.
        """
        idle = self.world.start('c')
        await self.world.rounds('c')
        self.world.kill('c')
        await self.releaser.release('c', 'Éva')
        self.world.clock.seconds += 60
        refused = await self.world.serve(idle, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)

    async def test_holder_that_was_cut_off(self):
        """Symptom: as above; a request served meanwhile is billed twice.

        Sequence: as above, but the router was not paused: it served while
        it was cut off, and records its bills when it is back. Cause: as
        above.
        """
        served = await self.world.serve(self.gone, 'cut', 50)
        self.assertIsInstance(served, Reservation)
        await self.release()
        for _ in range(2):
            await self.world.clock.drive(self.gone.upkeep.round())
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        self.assertEqual(report.teams['team'].recorded, 150)
        refused = await self.world.serve(self.gone, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)

    async def test_listed_router_is_left_alone(self):
        """Symptom: an operator's slip takes a live router's budget.

        Sequence: a release names a router that the host list shows. Cause:
        an operator's word alone.
        """
        entry = HostEntry(self.address, 'router', 'zone-a')
        self.world.platform.hosts.replace((entry,))
        before = await self.world.sums()
        self.assertEqual(await self.release(), STILL_LISTED)
        self.assertEqual(await self.world.sums(), before)

    async def test_later_router_on_the_address(self):
        """Symptom: a new host on a released address refuses everything.

        Sequence: a router is released; a host comes to its address whose
        clock is behind the dead one's. Cause: the row still counts as a
        later router's.
        """
        await self.release()
        self.world.clock.seconds -= 500
        later = self.world.start('a2', address=self.address)
        await self.world.rounds('a2', count=6)
        held = await self.world.serve(later, 'n', 50)
        self.assertIsInstance(held, Reservation)
        row = await self.world.peek(f'router/{self.address}')
        self.assertEqual(row.value['incarnation'], 'a2')
        self.assertEqual(tuple(row.value['before']), ())


class CommandTest(unittest.TestCase):
    """The command that does it."""

    def setUp(self):
        self.server = PlatformServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        account = Account(prepaid=1000, taken=400)
        self.server.put(account_key('team'), encode(account))
        own = Allotment(granted=400, settled=0)
        self.server.put(allotment_key('a', 'team'), encode(own))

    def release(self, *options, answer=''):
        """Run the command."""
        arguments = ['budget', 'release', 'a', '--by', 'Éva']
        settings = self.server.options()
        return CliRunner().invoke(
            main,
            [*arguments, *settings, *options],
            input=answer,
        )

    def test_asks_first(self):
        self.assertEqual(self.release(answer='n\n').exit_code, 1)
        self.assertEqual(self.server.read(account_key('team'))['taken'], 400)

    def test_releases(self):
        ended = self.release(answer='y\n')
        self.assertEqual(ended.exit_code, exit_codes.OK, ended.output)
        self.assertIn('team: 400 tokens returned', ended.output)
        self.assertEqual(self.server.read(account_key('team'))['taken'], 0)

    def test_json(self):
        ended = self.release('--yes', '--json')
        told = json.loads(ended.stdout)
        self.assertEqual(told, {'returned': {'team': 400}, 'kept': 0})

    def test_platform_away(self):
        self.server.go_down()
        ended = self.release('--yes')
        self.assertEqual(ended.exit_code, exit_codes.UNREACHABLE, ended.output)
