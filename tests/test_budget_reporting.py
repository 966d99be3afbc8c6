"""Tests of the reports of what a router may use."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget.promises import (
    Allowance,
    OpeningSchedule,
    decode_report,
)
from balsamreach.budget.reporting import Reporter, usage_key
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
from tests.budget_world import Gate, VirtualClock

_PACE = OpeningSchedule(patience=1, opening=10)


@attrs.define
class Faulty(Gate):
    """A way to the table service that fails commits in a given manner.

    Parameters
    ----------
    faults : list
        Fault of each next commit, None for none.
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


class ReporterTest(unittest.IsolatedAsyncioTestCase):
    """A router uses no more than any report that a successor may find."""

    def setUp(self):
        self.clock = VirtualClock()
        self.table = MemoryPlatform.start(self.clock).table
        self.gate = Faulty(self.table)
        self.promise = Allowance(100, 1100)
        times = ServiceClock(self.clock)
        times.note(self.clock.now(), self.clock.now(), self.clock.now())
        self.handed_out = 0
        self.reporter = Reporter(
            self.gate,
            'router',
            times,
            self.clock,
            Metrics(),
            _PACE,
            lambda: {'team': self.promise},
            self.count,
        )

    def count(self):
        self.handed_out += 1

    async def row(self) -> Row:
        rows = await self.table.read((usage_key('router'),))
        return rows[0]

    async def test_nothing_before_the_first_report(self):
        self.assertEqual(self.reporter.limit('team'), 0)
        self.assertTrue(await self.reporter.report())
        self.assertEqual(self.reporter.limit('team'), 100)
        self.assertEqual(self.handed_out, 1)

    async def test_silence_opens_the_rest(self):
        await self.reporter.report()
        self.clock.seconds += 6
        self.assertEqual(self.reporter.limit('team'), 600)
        self.assertEqual(self.reporter.limit('team', 2), 800)
        await self.reporter.report()
        self.assertEqual(self.reporter.limit('team'), 100)

    async def test_those_who_ask_meanwhile_share_one(self):
        asked = [self.reporter.report() for _ in range(20)]
        self.assertTrue(all(await asyncio.gather(*asked)))
        self.assertLessEqual(decode_report((await self.row()).value).number, 2)

    @parameterized.expand(
        [
            ('took effect', True),
            ('was lost on its way', False),
        ]
    )
    async def test_lost_answer(self, _name, applies):
        """Symptom: a team gets more than it paid for.

        Sequence: a router reports less than it had opened; the answer is
        lost, though the report took effect; it goes on by the report before;
        it dies, and its successor gives back what the new report leaves.
        Cause: the router went by a report that no longer stood.
        """
        await self.reporter.report()
        self.clock.seconds += 6
        self.gate.faults = [UNKNOWN, UNKNOWN, UNKNOWN]
        self.gate.applies = applies
        self.promise = Allowance(150, 1100)
        self.assertFalse(await self.reporter.report())
        self.assertEqual(self.reporter.limit('team'), 150)
        # The same report is sent until it stands, so its silence counts.
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
    async def test_report_that_was_not_made(self, _name, fault):
        await self.reporter.report()
        self.clock.seconds += 6
        self.gate.faults = [fault]
        self.promise = Allowance(150, 1100)
        self.assertFalse(await self.reporter.report())
        self.assertEqual(self.reporter.limit('team'), 600)

    async def test_store_known_to_be_away(self):
        self.reporter.is_away = lambda: True
        self.assertFalse(await self.reporter.report())
        self.assertIsNone((await self.row()).value)
