"""Tests of the store's client, table service and feeds, over HTTP."""

import random
from functools import partial

from parameterized import parameterized
from tornado.testing import AsyncHTTPTestCase, gen_test

from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import SystemClock
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.places import Places
from balsamreach.platform.feed import FeedParts
from balsamreach.platform.feeds import ConfigurationFeed, TargetsFeed
from balsamreach.platform.hosts import RouterList
from balsamreach.platform.pages import PageSharing
from balsamreach.platform.rows import HISTORY_GONE, RowStore
from balsamreach.platform.table import RowTableService
from balsamreach.services.base import Check, Commit, Write
from balsamreach.services.faults import CONFLICT, UNAVAILABLE, UNKNOWN
from balsamreach.services.http import PlatformClient
from balsamreach.services.times import ServiceClock
from balsamreach.standins.row_store import RowStoreState, make_row_store
from balsamreach.telemetry.metrics import Metrics
from tests.fake_net import FakeNet
from tests.support import FakeClock

_TARGET = {
    'service': 'desk',
    'address': '10.0.0.1:1',
    'zone': 'a',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
}


class StoreCase(AsyncHTTPTestCase):
    """A stand-in store and a client of it."""

    def get_app(self):
        self.state = RowStoreState()
        return make_row_store(self.state)

    def setUp(self):
        super().setUp()
        self.store = self.make_store(wait=0.01)

    def make_store(self, wait):
        client = PlatformClient(f'http://127.0.0.1:{self.get_http_port()}')
        self.addCleanup(client.close)
        return RowStore(client, wait, ServiceClock(SystemClock()))


class RowTableServiceTest(StoreCase):
    """Our table service on the store's rows."""

    def setUp(self):
        super().setUp()
        self.table = RowTableService(self.store)

    @gen_test
    async def test_rows_of_one_team_lie_in_one_part(self):
        writes = (
            Write('account/t', {'taken': 1}),
            Write('allotment/r/t', {'granted': 1}),
        )
        self.assertEqual(await self.table.commit(Commit(writes)), 1)
        self.assertEqual({key[1] for key in self.state.rows}, {'t'})
        rows = await self.table.read(('account/t', 'allotment/r/t', 'none/t'))
        self.assertEqual([row.version for row in rows], [1, 1, 0])
        self.assertEqual(rows[1].value, {'granted': 1})

    @gen_test
    async def test_a_check_that_does_not_hold(self):
        write = (Write('account/t', {}),)
        checks = (Check('account/t', 7),)
        self.assertEqual(
            await self.table.commit(Commit(write, checks)),
            CONFLICT,
        )
        self.assertEqual(self.state.rows, {})

    @gen_test
    async def test_an_answer_that_is_lost(self):
        """What may have been done is told to be unknown, and not redone."""
        self.state.lose_answers = 1
        outcome = await self.table.commit(Commit((Write('account/t', {}),)))
        self.assertEqual(outcome, UNKNOWN)
        self.assertEqual(self.state.version, 1)

    @gen_test
    async def test_a_store_that_refuses(self):
        self.state.status = 503
        outcome = await self.table.commit(Commit((Write('account/t', {}),)))
        self.assertEqual(outcome, UNAVAILABLE)


class FeedsTest(StoreCase):
    """Following the configuration and the list of targets."""

    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.view = CatalogueView()
        self.places = Places(random.Random(1))
        self.told = []
        self.evacuations = Evacuations(self.clock)
        self.configuration = ConfigurationFeed(
            self.view,
            self.evacuations,
            self.told.append,
        )
        self.targets = TargetsFeed(
            self.places,
            self.clock,
            self.told.append,
            lambda gone, version: self.told.append((gone, version)),
        )
        parts = FeedParts(
            store=self.store,
            probe=self.make_store(wait=0),
            clock=SystemClock(),
            metrics=Metrics(),
            pages=PageSharing(FakeNet().join('router'), self.clock),
        )
        self.configuration.open(parts)
        self.targets.open(parts)

    async def step(self, feed):
        """Let a feed make one call and take what came."""
        page = await feed._next()
        if page == HISTORY_GONE:
            feed._since = None
        else:
            feed._take_answer(page, self.clock.now())

    @gen_test
    async def test_configuration(self):
        fields = {'version': 3, 'routes': [], 'services': []}
        self.state.write('op', 'config', fields)
        await self.step(self.configuration.feed)
        self.assertEqual(self.view.version, 3)
        self.state.write('op', 'config', fields | {'version': 9})
        await self.step(self.configuration.feed)
        self.assertEqual(self.view.version, 9)

    @gen_test
    async def test_a_configuration_that_can_not_be_read_changes_nothing(self):
        fields = {'version': 3, 'routes': [], 'services': []}
        self.state.write('op', 'config', fields)
        await self.step(self.configuration.feed)
        self.state.write('op', 'config', {'version': 4})
        await self.step(self.configuration.feed)
        self.assertEqual(self.view.version, 3)
        self.assertTrue(self.view.is_behind)

    @gen_test
    async def test_history_that_is_gone(self):
        """Symptom: a router stays at an old version for ever.

        Sequence: the store drops its history while the router waits.
        Cause: it went on following from a version that can't be followed.
        """
        await self.step(self.configuration.feed)
        fields = {'version': 3, 'routes': [], 'services': []}
        self.state.history_from = self.state.write('op', 'config', fields)
        await self.step(self.configuration.feed)
        await self.step(self.configuration.feed)
        self.assertEqual(self.view.version, 3)

    @gen_test
    async def test_starved_by_every_change_of_an_outage(self):
        """Hosts read each of eight large configurations after a cut."""
        fields = {'version': 3, 'routes': [], 'services': []}
        self.state.write('op', 'config', fields | {'note': 'x' * 20_000})
        self.state.write('op', 'evacuate/zone-a', {})
        feed = self.configuration.feed
        await self.step(feed)
        feed._fail(UNKNOWN)
        self.state.write('op', 'evacuate/zone-a', None)
        for version in range(4, 12):
            newer = fields | {'version': version, 'note': 'x' * 20_000}
            self.state.write('op', 'config', newer)
        page = await feed._next()
        keys = sorted(row.key for row in page.rows)
        self.assertEqual(keys, ['config'])
        feed._take(page)
        self.assertEqual(self.view.version, 11)
        self.assertFalse(self.evacuations.covers('zone-a'))

    @parameterized.expand([('large', 0, False), ('refused', 503, True)])
    @gen_test
    async def test_a_check_that_brings_nothing(self, _, status, is_away):
        """Each denied caller was held while the store refused."""
        feed = self.configuration.feed
        await self.step(feed)
        self.state.write('op', 'config', {'note': 'x' * 70_000})
        self.state.status = status
        await feed.check()
        self.assertEqual(feed.is_away(), is_away)
        self.assertTrue(feed._missed.is_set())

    @gen_test
    async def test_what_did_not_change_in_an_outage_is_not_read(self):
        fields = {'version': 3, 'routes': [], 'services': []}
        self.state.write('op', 'config', fields | {'note': 'x' * 200_000})
        feed = self.configuration.feed
        await self.step(feed)
        feed._fail(UNKNOWN)
        page = await feed._next()
        self.assertEqual(page.rows, ())

    @gen_test
    async def test_a_change_between_two_pages(self):
        """A target was kept whose end came between two pages of the list."""
        for name in ('a', 'b', 'c'):
            self.state.write('servers', name, _TARGET)
        self.state.page_rows = 2
        self.state.on_page = partial(self.change_once, 'a', None)
        await self.step(self.targets.feed)
        await self.step(self.targets.feed)
        self.assertIsNone(self.places.find('a'))

    def change_once(self, key, fields):
        self.state.on_page = int
        self.state.write('servers', key, fields)

    @gen_test
    async def test_an_evacuation_and_its_end(self):
        await self.step(self.configuration.feed)
        self.state.write('op', 'evacuate/zone-a', {})
        await self.step(self.configuration.feed)
        self.assertTrue(self.evacuations.covers('zone-a'))
        self.state.write('op', 'evacuate/zone-a', None)
        await self.step(self.configuration.feed)
        self.assertFalse(self.evacuations.covers('zone-a'))
        told = [(order.zone, order.in_force) for order in self.told]
        self.assertEqual(told, [('zone-a', True), ('zone-a', False)])

    @gen_test
    async def test_an_evacuation_that_ended_unseen(self):
        """Symptom: a zone gets no work for good.

        Sequence: its evacuation is lifted while a router is cut off; the
        store's history is gone when it is back.
        Cause: the list as it is now does not tell of rows that are gone.
        """
        self.state.write('op', 'evacuate/zone-a', {})
        await self.step(self.configuration.feed)
        self.state.history_from = self.state.write(
            'op', 'evacuate/zone-a', None
        )
        await self.step(self.configuration.feed)
        await self.step(self.configuration.feed)
        self.assertFalse(self.evacuations.covers('zone-a'))

    @gen_test
    async def test_whatever_an_evacuation_holds(self):
        self.state.write('op', 'evacuate/zone-a', ['no object'])
        self.state.write('op', 'evacuate/', {})
        await self.step(self.configuration.feed)
        covered = [order.zone for order in self.evacuations]
        self.assertEqual(covered, ['zone-a'])

    @gen_test
    async def test_a_store_that_is_back(self):
        """Symptom: requests are refused for a second after an outage.

        Sequence: the store goes away and comes back, and nothing changes.
        Cause: the first call that got through waited for news, and the ones
        before it for connections that a cut had swallowed.
        """
        await self.step(self.configuration.feed)
        self.state.status = 503
        feed = self.configuration.feed
        feed._fail(await feed._next())
        self.assertTrue(feed.is_away())
        self.state.status = 0
        self.state.waits.clear()
        await self.step(feed)
        self.assertEqual(self.state.waits, [0])
        self.assertFalse(feed.is_away())
        await self.step(feed)
        self.assertEqual(self.state.waits, [0, 10])

    @gen_test
    async def test_targets_come_leave_and_go(self):
        self.state.write('servers', 'i-1', _TARGET)
        await self.step(self.targets.feed)
        self.state.write('servers', 'i-1', _TARGET | {'state': 'draining'})
        await self.step(self.targets.feed)
        self.assertTrue(self.places.find('i-1').entry.leaving)
        version = self.state.write('servers', 'i-1', None)
        await self.step(self.targets.feed)
        self.assertEqual(len(self.places), 0)
        self.assertEqual(self.told[-1], ('i-1', version))

    @gen_test
    async def test_entries_that_lapsed_while_the_store_was_down(self):
        """Symptom: no target is left for seconds after an outage.

        Sequence: the store is down, and entries lapse as nobody can write
        them; it comes back and its list is empty for a moment.
        Cause: the list was taken at its word.
        """
        self.state.write('servers', 'i-1', _TARGET)
        await self.step(self.targets.feed)
        self.targets.feed.failed_at = self.clock.now()
        self.state.write('servers', 'i-1', None)
        await self.step(self.targets.feed)
        self.assertEqual(len(self.places), 1)
        self.assertFalse(self.places.find('i-1').entry.leaving)
        self.clock.advance(3)
        self.targets.expire()
        self.assertEqual(len(self.places), 0)

    @gen_test
    async def test_a_target_that_vanishes_soon_after_an_outage(self):
        """Symptom: a request reaches a target 2.1 s after it left the list.

        Sequence: the store is cut off from a router and comes back; 1.8 s
        later a target's entry is removed without a word before.
        Cause: the time for entries to come back ran from the removal, so
        the target was kept for 2.2 s more, beyond the bound of 2 s.
        """
        self.state.write('servers', 'i-1', _TARGET)
        await self.step(self.targets.feed)
        self.targets.feed.failed_at = self.clock.now()
        self.clock.advance(1.8)
        self.state.write('servers', 'i-1', None)
        await self.step(self.targets.feed)
        self.assertEqual(len(self.places), 1)
        self.clock.advance(0.5)
        self.targets.expire()
        self.assertEqual(len(self.places), 0)

    @gen_test
    async def test_other_changes_do_not_bring_a_vanished_target_back(self):
        """Symptom: a target that is gone gets requests for good.

        Sequence: its entry vanishes soon after an outage, so that it is kept
        for a moment; meanwhile another target's entry changes.
        Cause: the second change was taken for a list that has the first.
        """
        self.state.write('servers', 'i-1', _TARGET)
        self.state.write('servers', 'i-2', _TARGET)
        await self.step(self.targets.feed)
        self.targets.feed.failed_at = self.clock.now()
        self.state.write('servers', 'i-1', None)
        await self.step(self.targets.feed)
        self.state.write('servers', 'i-2', _TARGET | {'slots': 2})
        await self.step(self.targets.feed)
        self.clock.advance(3)
        self.targets.expire()
        self.assertIsNone(self.places.find('i-1'))
        self.assertIsNotNone(self.places.find('i-2'))

    @gen_test
    async def test_an_entry_of_another_writer(self):
        """Symptom: a router's list of targets no longer changes.

        Sequence: another writer puts entries into the list that are none;
        the router reads them among sound ones.
        Cause: reading one ended the feed, and all later changes were lost.
        """
        self.state.write('servers', 'i-1', _TARGET)
        self.state.write('servers', 'i-2', {'service': 7})
        self.state.write('servers', 'i-3', ['no object'])
        self.state.write('servers', 'i-4', _TARGET | {'state': 'asleep'})
        await self.step(self.targets.feed)
        self.state.write('servers', 'i-5', _TARGET)
        await self.step(self.targets.feed)
        self.assertEqual(
            {place.entry.target_id for place in self.places},
            {'i-1', 'i-5'},
        )

    @gen_test
    async def test_a_target_that_starts_again_under_its_id(self):
        """Symptom: a target that has started again gets no requests.

        Sequence: it says that it leaves, ends, and starts again under its id.
        Cause: the entry of the new start was taken for a word of the old one,
        which stays leaving for good.
        """
        leaving = {'state': 'draining', 'born': 1_700_000_000_000}
        self.state.write('servers', 'i-1', _TARGET | leaving)
        await self.step(self.targets.feed)
        before = self.places.find('i-1')
        again = _TARGET | {'born': 1_700_000_009_000}
        self.state.write('servers', 'i-1', again)
        await self.step(self.targets.feed)
        after = self.places.find('i-1')
        self.assertTrue(before.entry.leaving)
        self.assertFalse(after.entry.leaving)
        self.assertNotEqual(before.incarnation, after.incarnation)

    @gen_test
    async def test_a_target_that_is_back_in_the_same_page(self):
        self.state.write('servers', 'i-1', _TARGET)
        await self.step(self.targets.feed)
        self.state.write('servers', 'i-1', None)
        self.state.write('servers', 'i-1', _TARGET)
        await self.step(self.targets.feed)
        self.assertIsNotNone(self.places.find('i-1'))


class RouterListTest(StoreCase):
    """Routers find each other by their rows."""

    @gen_test
    async def test_enter_and_leave(self):
        hosts = RouterList(self.store, SystemClock())
        await hosts.enter('10.0.0.1:5', 'zone-a')
        entries = await hosts.hosts()
        self.assertEqual([one.address for one in entries], ['10.0.0.1:5'])
        await hosts.leave('10.0.0.1:5')
        self.assertEqual(await hosts.hosts(), ())
