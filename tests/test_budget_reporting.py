"""Tests of the usage reports that a router writes."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget.reporting import UsageReporter, report_key
from balsamreach.budget.usage_reports import (
    Allowance,
    OpeningSchedule,
    decode_report,
)
from balsamreach.services.base import Commit, Row
from balsamreach.services.faults import (
    UNAVAILABLE,
    UNKNOWN,
    UNREACHABLE,
    PlatformFault,
)
from balsamreach.services.times import ServiceClock
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.telemetry.metrics import Metrics
from tests.budget_world import SwitchedService, VirtualClock

_SCHEDULE = OpeningSchedule(patience=1, opening=10)


@attrs.define
class FaultyService(SwitchedService):
    """A connection to the table service with scripted commit faults.

    Parameters
    ----------
    faults : list
        Faults of the next commits in order, None for none.
    applies : bool
        Whether a commit whose answer is lost takes effect.
    """

    faults: list[PlatformFault | None] = attrs.field(factory=list)
    applies: bool = True

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Commit, or fail."""
        fault = self.faults.pop(0) if self.faults else None
        if fault is None or (fault == UNKNOWN and self.applies):
            outcome = await self.service.commit(change)
            return fault or outcome
        return fault


class UsageReporterTest(unittest.IsolatedAsyncioTestCase):
    """A router stays within every report that a successor may find."""

    def setUp(self):
        self.clock = VirtualClock()
        self.table = MemoryPlatform.start(self.clock).table
        self.connection = FaultyService(self.table)
        self.allowance = Allowance(100, 1100)
        service_clock = ServiceClock(self.clock)
        service_clock.note(
            self.clock.now(),
            self.clock.now(),
            self.clock.now(),
        )
        self.report_calls = 0
        self.reporter = UsageReporter(
            self.connection,
            'router',
            service_clock,
            self.clock,
            Metrics(),
            _SCHEDULE,
            lambda: {'team': self.allowance},
            self.on_report,
        )

    def on_report(self):
        self.report_calls += 1

    async def row(self) -> Row:
        rows = await self.table.read((report_key('router'),))
        return rows[0]

    async def test_nothing_is_allowed_before_the_first_report(self):
        self.assertEqual(self.reporter.limit('team'), 0)
        self.assertTrue(await self.reporter.report())
        self.assertEqual(self.reporter.limit('team'), 100)
        self.assertEqual(self.report_calls, 1)

    async def test_limit_grows_with_the_age_of_the_report(self):
        await self.reporter.report()
        self.clock.seconds += 6
        self.assertEqual(self.reporter.limit('team'), 600)
        self.assertEqual(self.reporter.limit('team', 2), 800)
        await self.reporter.report()
        self.assertEqual(self.reporter.limit('team'), 100)

    async def test_concurrent_calls_share_one_report(self):
        calls = [self.reporter.report() for _ in range(20)]
        self.assertTrue(all(await asyncio.gather(*calls)))
        self.assertLessEqual(decode_report((await self.row()).value).number, 2)

    @parameterized.expand(
        [
            ('took effect', True),
            ('was lost on its way', False),
        ]
    )
    async def test_lost_answer(self, _name, applies):
        """Guards against a team that gets more than it paid for.

        A router reports less than had become usable. The answer is lost
        although the report took effect, and the router keeps to the report
        before. If it dies then, its successor returns all tokens beyond the
        new report, which may have been used.
        """
        await self.reporter.report()
        self.clock.seconds += 6
        self.connection.faults = [UNKNOWN, UNKNOWN, UNKNOWN]
        self.connection.applies = applies
        self.allowance = Allowance(150, 1100)
        self.assertFalse(await self.reporter.report())
        self.assertEqual(self.reporter.limit('team'), 150)
        # The same report is repeated until it is recorded, so the limit
        # grows from the time when it was made.
        self.clock.seconds += 6
        self.assertEqual(self.reporter.limit('team'), 625)
        self.assertTrue(await self.reporter.report())
        self.assertEqual(self.reporter.limit('team'), 625)
        self.assertTrue(await self.reporter.report())
        self.assertEqual(self.reporter.limit('team'), 150)

    @parameterized.expand(
        [
            ('refused', UNAVAILABLE),
            ('not sent', UNREACHABLE),
        ]
    )
    async def test_failed_report_changes_nothing(self, _name, fault):
        await self.reporter.report()
        self.clock.seconds += 6
        self.connection.faults = [fault]
        self.allowance = Allowance(150, 1100)
        self.assertFalse(await self.reporter.report())
        self.assertEqual(self.reporter.limit('team'), 600)

    async def test_no_report_during_a_known_outage(self):
        self.reporter.is_away = lambda: True
        self.assertFalse(await self.reporter.report())
        self.assertIsNone((await self.row()).value)
