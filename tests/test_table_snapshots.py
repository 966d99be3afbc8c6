"""Snapshots are written when due, and only valid ones are loaded."""

import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.faults import BAD_SNAPSHOT, TABLE_UNAVAILABLE
from balsamreach.table.snapshots import SNAPSHOT_PREFIX, Snapshots
from balsamreach.table.view import TableView
from balsamreach.telemetry.metrics import Metrics
from tests.support import ManualClock
from tests.table_fleet import deleted_row, row

_SKIPPED = 'balsamreach_table_snapshots_skipped_total'


def _truncate(body):
    return body[:-20]


def _corrupt_row(body):
    corrupted = bytearray(body)
    corrupted[-9] ^= 1
    return bytes(corrupted)


def _corrupt_version(body):
    return body.replace(b'"version": 3000', b'"version": 3001')


def _change_format(body):
    return body.replace(b'"format": 1', b'"format": 2')


def _remove_header(body):
    return body[body.index(b'\n') :]


class SnapshotsTest(unittest.IsolatedAsyncioTestCase):
    """A view of 3,000 rows and an empty object store."""

    async def asyncSetUp(self):
        self.platform = MemoryPlatform.start(ManualClock())
        self.objects = self.platform.objects
        self.metrics = Metrics()
        self.snapshots = Snapshots(
            self.objects,
            self.platform.weather.clock,
            self.metrics,
        )
        self.view = TableView(complete=True)
        rows = [row(n, f'team-{n}', prepaid=n) for n in range(1, 3001)]
        self.view.apply(rows, 3000)

    async def write(self):
        return await self.snapshots.write_if_due(self.view)

    def change_row(self, _seconds):
        self.view.apply((row(5000, 'team-2900', prepaid=1),), 0)

    async def test_round_trip(self):
        self.view.apply((deleted_row(3100, 'team-7'), row(3200, 'ahead')), 3100)
        name = await self.write()
        self.assertEqual(name, f'{SNAPSHOT_PREFIX}{3100:020d}')
        loaded = TableView()
        self.assertEqual(await self.snapshots.load(loaded), 3100)
        self.assertEqual(len(loaded.teams), 2999)
        self.assertEqual(loaded.teams['team-8'], self.view.teams['team-8'])
        self.assertNotIn('ahead', loaded.teams)
        self.assertEqual(loaded.versions.floor, 3100)
        self.assertFalse(loaded.complete)

    @parameterized.expand(
        [
            ('cut', _truncate),
            ('row', _corrupt_row),
            ('version', _corrupt_version),
            ('format', _change_format),
            ('header', _remove_header),
            ('empty', lambda body: b''),
        ]
    )
    async def test_damaged_snapshot_is_skipped(self, _, damage):
        """Guards against a start with missing or wrong rows.

        The newest snapshot is truncated, has a flipped bit or the format of a
        later release; the one before it is valid.
        """
        name = await self.write()
        self.view.apply((row(4000, 'late'),), 4000)
        valid = await self.objects.get(name)
        await self.objects.put(f'{SNAPSHOT_PREFIX}{4000:020d}', damage(valid))
        loaded = TableView()
        self.assertEqual(await self.snapshots.load(loaded), 3000)
        self.assertEqual(len(loaded.teams), 3000)
        self.assertEqual(self.metrics.counted(_SKIPPED), 1)

    async def test_no_snapshot(self):
        outcome = await self.snapshots.load(TableView())
        self.assertEqual(outcome, BAD_SNAPSHOT)

    async def test_object_store_down(self):
        self.platform.weather.down = True
        self.assertEqual(await self.write(), TABLE_UNAVAILABLE)
        outcome = await self.snapshots.load(TableView())
        self.assertEqual(outcome, TABLE_UNAVAILABLE)

    async def test_due_after_changes_and_limited_in_number(self):
        self.assertTrue(await self.write())
        self.assertEqual(await self.write(), '')
        for start in range(4000, 10000, 1000):
            rows = [row(start + n, f'team-{n}') for n in range(1, 600)]
            self.view.apply(rows, start + 600)
            self.assertTrue(await self.write())
        names = await self.objects.names(SNAPSHOT_PREFIX)
        self.assertEqual(len(names), 2)

    async def test_row_changed_during_write(self):
        """Guards against a new row in a snapshot with an older version.

        The writer lets other tasks run between its steps and doesn't copy the
        view first, so an edit may be applied in between.
        """
        clock = mock.AsyncMock()
        clock.sleep.side_effect = self.change_row
        self.snapshots.clock = clock
        name = await self.write()
        self.assertGreater(clock.sleep.await_count, 10)
        loaded = TableView()
        await self.snapshots.load(loaded)
        self.assertEqual(name, f'{SNAPSHOT_PREFIX}{3000:020d}')
        self.assertNotIn('team-2900', loaded.teams)
