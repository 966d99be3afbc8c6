"""Snapshots: whole, sound and newest, or not at all."""

import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.faults import BAD_SNAPSHOT, TABLE_AWAY
from balsamreach.table.snapshots import PREFIX, Snapshots
from balsamreach.table.view import TableView
from balsamreach.telemetry.metrics import Metrics
from tests.support import ManualClock
from tests.table_fleet import gone, row

_SKIPPED = 'balsamreach_table_snapshots_skipped_total'


def _cut(body):
    return body[:-20]


def _flip_row(body):
    flipped = bytearray(body)
    flipped[-9] ^= 1
    return bytes(flipped)


def _flip_version(body):
    return body.replace(b'"version": 3000', b'"version": 3001')


def _other_format(body):
    return body.replace(b'"format": 1', b'"format": 2')


def _no_header(body):
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

    def change(self, _seconds):
        self.view.apply((row(5000, 'team-2900', prepaid=1),), 0)

    async def test_round_trip(self):
        self.view.apply((gone(3100, 'team-7'), row(3200, 'ahead')), 3100)
        name = await self.write()
        self.assertEqual(name, f'{PREFIX}{3100:020d}')
        loaded = TableView()
        self.assertEqual(await self.snapshots.load(loaded), 3100)
        self.assertEqual(len(loaded.teams), 2999)
        self.assertEqual(loaded.teams['team-8'], self.view.teams['team-8'])
        self.assertNotIn('ahead', loaded.teams)
        self.assertEqual(loaded.versions.floor, 3100)
        self.assertFalse(loaded.complete)

    @parameterized.expand(
        [
            ('cut', _cut),
            ('row', _flip_row),
            ('version', _flip_version),
            ('format', _other_format),
            ('header', _no_header),
            ('empty', lambda body: b''),
        ]
    )
    async def test_damaged_one_is_skipped_for_the_one_before(self, _, damage):
        """The newest snapshot is damaged.

        Symptom: routers would start with missing or wrong rows. Events: a
        sound snapshot, then a damaged one are stored; a router starts.
        Cause: a cut upload, a flipped bit, a later release's format.
        """
        name = await self.write()
        self.view.apply((row(4000, 'late'),), 4000)
        sound = await self.objects.get(name)
        await self.objects.put(f'{PREFIX}{4000:020d}', damage(sound))
        loaded = TableView()
        self.assertEqual(await self.snapshots.load(loaded), 3000)
        self.assertEqual(len(loaded.teams), 3000)
        self.assertEqual(self.metrics.counted(_SKIPPED), 1)

    async def test_none(self):
        outcome = await self.snapshots.load(TableView())
        self.assertEqual(outcome, BAD_SNAPSHOT)

    async def test_store_down(self):
        self.platform.weather.down = True
        self.assertEqual(await self.write(), TABLE_AWAY)
        outcome = await self.snapshots.load(TableView())
        self.assertEqual(outcome, TABLE_AWAY)

    async def test_due_by_changes_and_bounded_in_number(self):
        self.assertTrue(await self.write())
        self.assertEqual(await self.write(), '')
        for start in range(4000, 10000, 1000):
            rows = [row(start + n, f'team-{n}') for n in range(1, 600)]
            self.view.apply(rows, start + 600)
            self.assertTrue(await self.write())
        names = await self.objects.names(PREFIX)
        self.assertEqual(len(names), 2)

    async def test_rows_that_change_while_it_is_written(self):
        """A row changes between two steps of writing.

        Symptom: the new row would stand under the old version. Events: the
        writer pauses between steps, an edit comes into force. Cause: the
        view is not copied first.
        """
        clock = mock.AsyncMock()
        clock.sleep.side_effect = self.change
        self.snapshots.clock = clock
        name = await self.write()
        self.assertGreater(clock.sleep.await_count, 10)
        loaded = TableView()
        await self.snapshots.load(loaded)
        self.assertEqual(name, f'{PREFIX}{3000:020d}')
        self.assertNotIn('team-2900', loaded.teams)
