"""Tests of the rounds in which a router fills up its holdings."""

import asyncio
import unittest

import attrs

from balsamreach.budget.account import account_key
from balsamreach.budget.ledger import Reservation
from balsamreach.budget.rounds import wait_for_round
from balsamreach.services.base import Commit
from balsamreach.services.faults import UNKNOWN, PlatformFault
from tests.holdings_fleet import CFG, Fleet, TimedService
from tests.virtual_loop import virtual

_TEAMS = tuple(f'team-{number}' for number in range(8))
_CALL_S = 0.05


@attrs.define
class _SlowService(TimedService):
    """Takes time for each call, and loses the answers to first commits.

    Parameters
    ----------
    lost : set of str
        Keys whose next commit takes effect without an answer.
    """

    lost: set[str] = attrs.field(factory=set)

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Commit after a while, and answer unless the answer is lost."""
        await self.service_clock.clock.sleep(_CALL_S)
        outcome = await super().commit(change)
        lost = self.lost.intersection(write.key for write in change.writes)
        self.lost -= lost
        return UNKNOWN if lost else outcome


class RoundsTest(unittest.IsolatedAsyncioTestCase):
    """All teams get tokens soon, also right after an outage."""

    def setUp(self):
        self.fleet = Fleet(100_000)
        self.name = self.fleet.start()
        self.router = self.fleet.routers[self.name]
        self.service = _SlowService(
            self.fleet.platform.table,
            service_clock=self.fleet.connections[self.name].service_clock,
        )
        accounts = self.router.book.committer.service
        accounts.service = self.service

    async def request_all(self):
        """Serve one request of each team at the same time."""
        asks = [self.router.reserve(team, 100) for team in _TEAMS]
        return await self.fleet.clock.drive(asyncio.gather(*asks))

    @virtual
    async def test_teams_draw_at_the_same_time(self):
        """Guards against requests that wait for the draws of other teams.

        All teams need tokens at once. One after the other their draws would
        take longer than requests wait.
        """
        outcomes = await self.request_all()
        for outcome in outcomes:
            self.assertIsInstance(outcome, Reservation)

    async def test_lost_answers_of_several_teams_count_once(self):
        """Guards against tokens that are drawn twice.

        The commits of several teams are in progress when their answers are
        lost. Each team's retry must find its own commit.
        """
        self.service.lost = {account_key(team) for team in _TEAMS}
        await self.request_all()
        await self.fleet.clock.drive(self.router.run_round())
        for team in _TEAMS:
            rows = await self.fleet.platform.table.read((account_key(team),))
            granted = self.router.book.ledger(team).granted
            self.assertEqual(rows[0].value['taken'], granted)

    async def test_holdings_are_filled_up_when_the_service_returns(self):
        """Guards against an outage that meets holdings of the one before."""
        away = True
        self.router.book.is_away = lambda: away
        rounds = asyncio.ensure_future(
            wait_for_round(
                self.router.book, self.fleet.clock, CFG.flush_interval
            )
        )
        clock = self.fleet.clock
        began = clock.now()
        await clock.drive(clock.sleep(0.25))
        away = False
        await clock.drive(rounds)
        self.assertLess(clock.now() - began, CFG.flush_interval / 2)
