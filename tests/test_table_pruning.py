"""Only expired edit records and history entries are deleted."""

import unittest

from balsamreach.config.reader import read_settings
from balsamreach.services.base import Commit, Scan, Write
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.editor import Editor
from balsamreach.table.faults import TABLE_UNAVAILABLE
from balsamreach.table.history import EDIT_PREFIX, HISTORY_PREFIX
from balsamreach.table.pruning import PAGE_INTERVAL_S, PRUNING_KEY, Pruner
from balsamreach.telemetry.metrics import Metrics
from tests.support import FakeClock
from tests.table_fleet import edit

_DAY_S = 86400
_START = 1_800_000_000


class PruningTest(unittest.IsolatedAsyncioTestCase):
    """Edit ids are kept for a week and history entries for 400 days."""

    async def asyncSetUp(self):
        self.clock = FakeClock(_START)
        self.platform = MemoryPlatform.start(self.clock)
        self.table = self.platform.table
        self.pruners = [self.make_pruner() for _ in range(2)]
        editor = Editor(self.table, self.clock)
        await editor.apply(edit('old', 0, prepaid=100))
        await self.step()

    def make_pruner(self):
        cfg = read_settings(None, ('host.zone=zone-a',))
        return Pruner(cfg, self.table, self.clock, Metrics())

    async def step(self, number=0):
        """Let one router prune after a page has become due."""
        self.clock.advance(PAGE_INTERVAL_S)
        return await self.pruners[number].step()

    async def pass_days(self, days):
        """Advance the clock, prune twice a day; return the number deleted."""
        deleted = 0
        for _ in range(days * 2):
            self.clock.advance(_DAY_S / 2 - PAGE_INTERVAL_S)
            deleted += await self.step()
        return deleted

    async def count(self, prefix):
        """Return the number of records."""
        page = await self.table.scan(Scan(prefix))
        return len(page.rows)

    async def test_edit_ids_expire_before_history(self):
        self.assertEqual(await self.pass_days(6), 0)
        self.assertEqual(await self.pass_days(3), 1)
        self.assertEqual(await self.count(EDIT_PREFIX), 0)
        self.assertEqual(await self.count(HISTORY_PREFIX), 1)
        self.assertEqual(await self.pass_days(395), 1)
        self.assertEqual(await self.count(HISTORY_PREFIX), 0)

    async def test_one_router_prunes_each_page(self):
        reads = self.platform.weather.reads
        self.assertEqual(await self.pruners[1].step(), 0)
        self.assertEqual(self.platform.weather.reads - reads, 1)

    async def test_continues_after_a_full_page(self):
        await self.pass_days(8)
        for first in range(0, 1200, 200):
            # The first page has only new records; expired ones follow.
            at = _START if first >= 1000 else self.clock.wall()
            writes = tuple(
                Write(f'{EDIT_PREFIX}id-{number:04}', {'at': at})
                for number in range(first, first + 200)
            )
            await self.table.commit(Commit(writes))
        deleted = [await self.step(number % 2) for number in range(4)]
        self.assertEqual(sorted(deleted), [0, 0, 0, 200])
        self.assertEqual(await self.count(EDIT_PREFIX), 1000)

    async def test_clock_far_ahead_deletes_nothing(self):
        """Guards against the loss of all history to a wrong clock.

        Records are dated by hosts. To a host with a clock years ahead, all of
        them look expired.
        """
        self.clock.advance(_DAY_S * 1000)
        self.assertEqual(await self.step(), 0)
        self.assertEqual(await self.count(HISTORY_PREFIX), 1)

    async def test_platform_down(self):
        self.platform.weather.down = True
        self.assertEqual(await self.step(), TABLE_UNAVAILABLE)
        self.platform.weather.down = False
        row = (await self.table.read((PRUNING_KEY,)))[0]
        self.assertEqual(row.value['after'], '')
