"""Tests of releasing a dead router's tokens at an operator's request."""

import json
import logging
import unittest

from click.testing import CliRunner

from balsamreach.budget.account import (
    Account,
    Allotment,
    account_key,
    allotment_key,
    encode_record,
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
    """A router crashed and its address is not used again."""

    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World()
        self.dead_router = self.world.start('a')
        self.world.start('b')
        await self.world.fund('team', 10_000)
        await self.world.serve(self.dead_router, 'k', 100)
        await self.world.run_rounds()
        self.address = self.world.address('a')
        self.world.kill('a')
        platform = self.world.platform
        self.releaser = Releaser(
            platform.table,
            platform.hosts,
            self.world.clock,
        )

    async def release(self):
        """Release the tokens of the dead router."""
        return await self.releaser.release('a', 'Éva')

    async def test_tokens_return(self):
        """The tokens of a router that is not replaced can be released.

        A router crashes and its host is not replaced, so no router can prove
        that it stopped. Without a release no router could ever draw its
        tokens.
        """
        await self.world.run_rounds('b', count=6)
        self.assertGreater((await self.world.team_sums()).account.taken, 100)
        outcome = await self.release()
        self.assertIsInstance(outcome, Released)
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        taken = report.teams['team'].account.taken
        self.assertEqual(taken, 100 + outcome.kept)
        self.assertGreater(outcome.returned['team'], 0)
        record = await self.world.read_row(f'{RELEASE_PREFIX}a')
        self.assertEqual(record.value['by'], 'Éva')

    async def test_second_release_changes_nothing(self):
        """A repeated release returns no tokens twice."""
        await self.release()
        before = await self.world.team_sums()
        second = await self.release()
        self.assertEqual(second, Released({}, 0))
        self.assertEqual(await self.world.team_sums(), before)

    async def test_resumed_router_spends_nothing(self):
        """A router that resumes after its release spends no tokens.

        A router is paused and considered dead, an operator releases its
        tokens, and it resumes. If it relied on its outdated state in memory,
        it would spend tokens that were granted a second time.
        """
        await self.release()
        self.world.clock.seconds += 60
        refused = await self.world.serve(self.dead_router, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)

    async def test_resumed_router_without_allotment(self):
        """A released router without an allotment can't draw tokens.

        A router that held no tokens is paused, released and resumes. As it
        has no allotment that shows the release, it would draw tokens, and
        these would be stranded too.
        """
        idle_router = self.world.start('c')
        await self.world.run_rounds('c')
        self.world.kill('c')
        await self.releaser.release('c', 'Éva')
        self.world.clock.seconds += 60
        refused = await self.world.serve(idle_router, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)

    async def test_disconnected_router_bills_once(self):
        """Requests served during the release are billed once.

        A router is not paused but disconnected. It serves a request while an
        operator releases its tokens, and records the bill after it is
        reconnected. It must bill the request once and spend no more tokens.
        """
        reservation = await self.world.serve(self.dead_router, 'cut', 50)
        self.assertIsInstance(reservation, Reservation)
        await self.release()
        for _ in range(2):
            await self.world.clock.drive(
                self.dead_router.maintenance.run_round()
            )
        report = await self.world.audit()
        self.assertEqual(report.breaches, [])
        self.assertEqual(report.teams['team'].recorded, 150)
        refused = await self.world.serve(self.dead_router, 'late', 50)
        self.assertEqual(refused, TAKEN_OVER)

    async def test_listed_router_is_not_released(self):
        """A router in the host list can't be released.

        The check keeps an operator's mistake from taking the tokens of a
        live router.
        """
        entry = HostEntry(self.address, 'router', 'zone-a')
        self.world.platform.hosts.replace((entry,))
        before = await self.world.team_sums()
        self.assertEqual(await self.release(), STILL_LISTED)
        self.assertEqual(await self.world.team_sums(), before)

    async def test_successor_after_release(self):
        """A new router at a released address can serve requests.

        After the release a router starts at the address, and its clock is
        behind that of the dead one. If the entry still counted as that of a
        later router, the new one would refuse all requests.
        """
        await self.release()
        self.world.clock.seconds -= 500
        successor = self.world.start('a2', address=self.address)
        await self.world.run_rounds('a2', count=6)
        reservation = await self.world.serve(successor, 'n', 50)
        self.assertIsInstance(reservation, Reservation)
        row = await self.world.read_row(f'router/{self.address}')
        self.assertEqual(row.value['incarnation'], 'a2')
        self.assertEqual(tuple(row.value['before']), ())


class CommandTest(unittest.TestCase):
    """Tests of the command ``budget release``."""

    def setUp(self):
        self.server = PlatformServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        account = Account(prepaid=1000, taken=400)
        self.server.put(account_key('team'), encode_record(account))
        allotment = Allotment(granted=400, settled=0)
        self.server.put(allotment_key('a', 'team'), encode_record(allotment))

    def release(self, *options, answer=''):
        """Run the command and return its result."""
        arguments = ['budget', 'release', 'a', '--by', 'Éva']
        settings = self.server.options()
        return CliRunner().invoke(
            main,
            [*arguments, *settings, *options],
            input=answer,
        )

    def test_asks_for_confirmation(self):
        self.assertEqual(self.release(answer='n\n').exit_code, 1)
        self.assertEqual(self.server.read(account_key('team'))['taken'], 400)

    def test_releases(self):
        result = self.release(answer='y\n')
        self.assertEqual(result.exit_code, exit_codes.OK, result.output)
        self.assertIn('team: 400 tokens returned', result.output)
        self.assertEqual(self.server.read(account_key('team'))['taken'], 0)

    def test_json(self):
        result = self.release('--yes', '--json')
        output = json.loads(result.stdout)
        self.assertEqual(output, {'returned': {'team': 400}, 'kept': 0})

    def test_platform_unavailable(self):
        self.server.go_down()
        result = self.release('--yes')
        self.assertEqual(
            result.exit_code, exit_codes.UNREACHABLE, result.output
        )
