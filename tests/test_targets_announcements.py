"""Tests of targets that announce their leaving in response headers."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.rows import TargetRow
from balsamreach.targets.registry import Targets
from balsamreach.targets.watch import WatchParts, make_watch
from balsamreach.telemetry.metrics import Metrics
from tests.fake_net import FakeNet
from tests.fake_targets import FakeHost, FakeTargets, VirtualClock, settle

_ADDRESS = '127.0.0.1:8000'
_ROW = TargetRow(name='desk', address=_ADDRESS, zone='zone-a', service='desk')


class AnnouncementCase(unittest.IsolatedAsyncioTestCase):
    """Two routers of different zones that both send to one target."""

    def setUp(self):
        self.clock = VirtualClock()
        self.client = FakeTargets(self.clock)
        self.host = FakeHost(_ADDRESS)
        self.client.hosts[_ADDRESS] = self.host
        self.metrics = Metrics()
        self.net = FakeNet()
        platform = MemoryPlatform.start(self.clock)
        self.watches = [
            self.open(platform, zone) for zone in ('zone-a', 'zone-b')
        ]

    def open(self, platform, zone):
        targets = Targets()
        targets.update([_ROW])
        return make_watch(
            WatchParts(
                cfg=read_settings(None, (f'host.zone={zone}',)),
                targets=targets,
                client=self.client,
                net=self.net.join(f'router-{zone}', zone),
                hosts=platform.hosts,
                clock=self.clock,
                rng=random.Random(1),
                metrics=self.metrics,
            ),
        )

    def target(self, router=0):
        targets = self.watches[router].marks.targets
        return targets.by_name['desk']

    async def answer(self, header, router=0):
        """Let a router apply the headers of a response."""
        headers = {'x-leaving': header} if header else {}
        announcements = self.watches[router].announcements
        announcements.apply(self.target(router), 200, headers)
        await settle()
        await self.net.settle()


class HeaderTest(AnnouncementCase):
    """Which incarnations a header marks, and which it doesn't."""

    async def test_announced_incarnation_is_marked_everywhere(self):
        """A target that announces its leaving in a response gets no requests.

        The host list is outdated, and the load report doesn't show it yet. A
        response to the second router, which doesn't poll the target, names
        the incarnation in its header. The router must read it and inform the
        other one.
        """
        for router, watch in enumerate(self.watches):
            await watch.poller.poll(self.target(router))
        await self.answer(self.host.incarnation, router=1)
        self.assertTrue(self.target(0).leaving)
        self.assertTrue(self.target(1).leaving)
        name = 'balsamreach_target_marks_total'
        self.assertEqual(self.metrics.counted(name, source='answer'), 1)
        await self.watches[0].poller.poll(self.target(0))
        self.assertTrue(self.target(0).leaving)
        self.host.start = 2
        await self.watches[0].poller.poll(self.target(0))
        self.assertFalse(self.target(0).leaving)

    async def test_back_off(self):
        """The retry time of a rejection applies to all requests."""
        take = self.watches[0].announcements.apply
        for status, seconds in ((200, '9'), (503, '3'), (429, '2')):
            take(self.target(), status, {'retry-after': seconds})
        wait = self.target().retry_at - self.clock.now()
        self.assertEqual(wait, 3)
        self.assertEqual(self.target(1).retry_at, 0)

    async def test_response_to_poll(self):
        """The retry time in the response to a poll applies to requests."""
        take = self.client.on_head
        take(_ADDRESS, 503, {'retry-after': '3'})
        take('127.0.0.1:1', 503, {'retry-after': '9'})
        take(_ADDRESS, 200, {})
        # The watchers share this client; the last one gets the headers.
        target = self.target(1)
        self.assertEqual(target.retry_at - self.clock.now(), 3)

    async def test_back_off_of_all_rows_of_a_host(self):
        """A host that backs off gets no requests through another row."""
        targets = self.watches[0].marks.targets
        targets.update([_ROW, attrs.evolve(_ROW, name='other')])
        announcements = self.watches[0].announcements
        announcements.apply(self.target(), 503, {'retry-after': '3'})
        other = targets.by_name['other']
        self.assertEqual(other.retry_at, self.target().retry_at)
        targets.update([_ROW])
        targets.update([_ROW, attrs.evolve(_ROW, name='again')])
        again = targets.by_name['again']
        self.assertEqual(again.retry_at, other.retry_at)

    @parameterized.expand(
        [
            ('no header', '', 0),
            ('of the earlier incarnation', f'{_ADDRESS}-1', 1),
            ('of a later incarnation', f'{_ADDRESS}-3', 1),
            ('no incarnation', 'true', 1),
        ]
    )
    async def test_other_headers_mark_nothing(self, _what, header, polls):
        """A restarted host doesn't stay unused for good.

        Incarnation 2 reports; a delayed response of incarnation 1, or one
        whose header was copied or forged, says that it leaves. Such a header
        must not mark the current incarnation.
        """
        self.host.start = 2
        await self.watches[0].poller.poll(self.target())
        self.client.asked.clear()
        for _ in range(3):
            await self.answer(header)
        self.assertFalse(self.target().leaving)
        self.assertEqual(self.target().leaving_incarnations, set())
        self.assertEqual(len(self.client.asked), polls)

    @parameterized.expand(
        [
            ('later incarnation', 2, True),
            ('unknown incarnation', 1, True),
            ('later incarnation, only in responses', 2, False),
            ('unknown incarnation, only in responses', 1, False),
        ]
    )
    async def test_unknown_incarnation_is_polled(self, _what, start, reports):
        """The announcement of an unknown incarnation isn't lost.

        An incarnation that no report has shown yet announces its leaving. If
        the header were ignored, requests would be sent to the host until the
        next round of polls.
        """
        if start > 1:
            await self.watches[0].poller.poll(self.target())
        self.host.start = start
        self.host.leaving = reports
        await self.answer(self.host.incarnation)
        self.assertTrue(self.target(0).leaving)
        self.assertTrue(self.target(1).leaving)
