"""Tests of the in-memory platform services."""

import unittest

from parameterized import parameterized

from balsamreach.services.base import (
    Check,
    Commit,
    HostEntry,
    Page,
    Row,
    Scan,
    Write,
)
from balsamreach.services.faults import (
    CONFLICT,
    INVALID,
    MISSING,
    UNAVAILABLE,
    UNKNOWN,
)
from balsamreach.standins.memory import MemoryPlatform
from tests.support import ManualClock


def _commit(*keys: str, checks: tuple[Check, ...] = ()) -> Commit:
    writes = [Write(key, {'of': key}) for key in keys]
    return Commit(tuple(writes), checks)


def _keys(page: Page) -> list[str]:
    return [row.key for row in page.rows]


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """Base class with an empty platform and a manual clock."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.platform = MemoryPlatform.start(self.clock)
        self.weather = self.platform.weather
        self.table = self.platform.table

    async def _row(self, key: str) -> Row:
        rows = await self.table.read((key,))
        return rows[0]


class CommitTest(MemoryTest):
    """Conditional commits."""

    @parameterized.expand(
        [
            ('same version', (Check('a', 2),), 4),
            ('older version', (Check('a', 1),), CONFLICT),
            ('newer version', (Check('a', 3),), CONFLICT),
            ('absent', (Check('new', 0),), 4),
            ('absent but there', (Check('a', 0),), CONFLICT),
            ('deleted counts as absent', (Check('gone', 0),), 4),
            ('version of the deletion', (Check('gone', 3),), 4),
            ('version before the deletion', (Check('gone', 1),), CONFLICT),
            ('one of two fails', (Check('a', 2), Check('a', 1)), CONFLICT),
            ('negative', (Check('a', -1),), INVALID),
        ]
    )
    async def test_checks(self, _, checks, outcome) -> None:
        await self.table.commit(_commit('a', 'gone'))
        await self.table.commit(_commit('a'))
        await self.table.commit(Commit((Write('gone', None),)))
        got = await self.table.commit(_commit('b', checks=checks))
        self.assertEqual(got, outcome)
        row = await self._row('b')
        self.assertEqual(row.version, 4 if outcome == 4 else 0)

    @parameterized.expand(
        [
            ('no write', _commit()),
            ('empty key', _commit('')),
            ('key twice', _commit('a', 'a')),
        ]
    )
    async def test_malformed(self, _, change) -> None:
        self.assertEqual(await self.table.commit(change), INVALID)

    async def test_lost_answer(self) -> None:
        """A commit whose answer is lost is applied.

        The connection breaks after the rows are written, so the caller gets
        UNKNOWN.
        """
        self.weather.lose_answers = 1
        self.assertEqual(await self.table.commit(_commit('a')), UNKNOWN)
        row = await self._row('a')
        self.assertEqual(row.version, 1)
        self.assertEqual(await self.table.commit(_commit('a')), 2)

    async def test_value_is_copied(self) -> None:
        mutable = {'n': 1}
        await self.table.commit(Commit((Write('a', mutable),)))
        mutable['n'] = 2
        row = await self._row('a')
        self.assertEqual(row.value, {'n': 1})


class ScanTest(MemoryTest):
    """Scans by prefix and by version."""

    async def asyncSetUp(self) -> None:
        await self.table.commit(_commit('t/a', 't/b', 't/c', 'u/a'))
        await self.table.commit(_commit('t/b', 'u/b'))
        await self.table.commit(Commit((Write('t/c', None),)))

    @parameterized.expand(
        [
            ('all', Scan('t/'), ['t/a', 't/b'], 3, False),
            ('first page', Scan('t/', limit=1), ['t/a'], 3, True),
            ('last page', Scan('t/', after='t/a', limit=1), ['t/b'], 3, False),
            ('past the end', Scan('t/', after='t/b'), [], 3, False),
            ('since 1', Scan('t/', since=1), ['t/b', 't/c'], 3, False),
            ('since 1, page', Scan('t/', since=1, limit=1), ['t/b'], 2, True),
            ('since 2', Scan('t/', since=2), ['t/c'], 3, False),
            ('nothing newer', Scan('t/', since=3), [], 3, False),
            (
                'whole commit',
                Scan('', since=1, limit=1),
                ['t/b', 'u/b'],
                2,
                True,
            ),
        ]
    )
    async def test_page(self, _, scan, keys, version, more) -> None:
        page = await self.table.scan(scan)
        self.assertEqual(_keys(page), keys)
        self.assertEqual((page.version, page.more), (version, more))

    async def test_tombstone_has_no_value(self) -> None:
        page = await self.table.scan(Scan('t/', since=2))
        self.assertIsNone(page.rows[0].value)

    async def test_bad_limit(self) -> None:
        self.assertEqual(await self.table.scan(Scan('', limit=0)), INVALID)


class ConditionsTest(MemoryTest):
    """Outages, delays, rate limits and lag."""

    async def test_down(self) -> None:
        """All calls get UNAVAILABLE during an outage; nothing is applied."""
        self.weather.down = True
        self.assertEqual(await self.table.commit(_commit('a')), UNAVAILABLE)
        page = await self.table.scan(Scan(''))
        self.assertEqual(page, UNAVAILABLE)
        self.assertEqual(await self.platform.hosts.hosts(), UNAVAILABLE)
        self.weather.down = False
        self.assertEqual(await self.table.commit(_commit('a')), 1)

    async def test_write_limit(self) -> None:
        self.weather.writes_per_s = 2
        change = _commit('a')
        outcomes = [await self.table.commit(change) for _ in range(3)]
        self.assertEqual(outcomes, [1, 2, UNAVAILABLE])
        self.clock.seconds += 0.5
        self.assertEqual(await self.table.commit(change), 3)
        self.assertEqual(self.weather.writes, 3)

    async def test_delay(self) -> None:
        self.weather.delay_s = 3
        await self.table.read(('a',))
        self.assertEqual(self.clock.seconds, 3)

    async def test_host_list_lags(self) -> None:
        """A change of the host list is visible only after the lag.

        Until then a host that is gone is still listed.
        """
        hosts = self.platform.hosts
        old = HostEntry('127.0.0.1:1', 'router', 'zone-a')
        new = HostEntry('127.0.0.1:2', 'router', 'zone-a')
        hosts.replace((old,))
        self.weather.hosts_lag_s = 5
        hosts.replace((new,))
        self.clock.seconds = 4
        self.assertEqual(await hosts.hosts(), (old,))
        self.clock.seconds = 5
        self.assertEqual(await hosts.hosts(), (new,))

    @parameterized.expand([('refused', True, CONFLICT), ('taken', False, None)])
    async def test_old_fence(self, _, refuse, outcome) -> None:
        self.weather.refuse_old_fences = refuse
        hosts = self.platform.hosts
        await hosts.power('127.0.0.1:1', on=True, fence=7)
        fault = await hosts.power('127.0.0.1:1', on=False, fence=6)
        self.assertEqual(fault, outcome)


class StoresTest(MemoryTest):
    """Object store and weight store."""

    async def test_objects(self) -> None:
        objects = self.platform.objects
        await objects.put('x/2', b'two')
        await objects.put('x/1', b'one')
        await objects.put('y', b'y')
        self.assertEqual(await objects.names('x/'), ('x/1', 'x/2'))
        self.assertEqual(await objects.get('x/2'), b'two')

    async def test_deleted_object(self) -> None:
        objects = self.platform.objects
        await objects.put('x/2', b'two')
        await objects.delete('x/2')
        self.assertIsNone(await objects.delete('x/2'))
        self.assertEqual(await objects.get('x/2'), MISSING)

    async def test_weights(self) -> None:
        weights = self.platform.weights
        weights.interval_s = 4
        weights.longest_wait_s = 5
        waits = [await weights.reserve('m') for _ in range(3)]
        self.assertEqual(waits, [0, 4, UNAVAILABLE])
