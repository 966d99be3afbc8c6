"""Tests of targets that announce their leaving in an answer's head."""

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
    """A router of each of two zones that both send to one target."""

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
        """Let a router take an answer's head and act on it."""
        headers = {'x-leaving': header} if header else {}
        announcements = self.watches[router].announcements
        announcements.take(self.target(router), 200, headers)
        await settle()
        await self.net.settle()


class HeaderTest(AnnouncementCase):
    """What a header may mark, and what it may not."""

    async def test_announced_start_gets_nothing_more_from_anybody(self):
        """A target that says so in its answers still gets new work.

        Symptom: requests begin at a host that announced its leaving.
        Sequence: the host list lags, the load report does not say so yet;
        an answer to the second router, which polls nothing there, names the
        start in its header.
        Cause: answers' headers were not read, or the news was not told.
        """
        for router, watch in enumerate(self.watches):
            await watch.loads.poll(self.target(router))
        await self.answer(self.host.incarnation, router=1)
        self.assertTrue(self.target(0).leaving)
        self.assertTrue(self.target(1).leaving)
        name = 'balsamreach_target_marks_total'
        self.assertEqual(self.metrics.counted(name, source='answer'), 1)
        await self.watches[0].loads.poll(self.target(0))
        self.assertTrue(self.target(0).leaving)
        self.host.start = 2
        await self.watches[0].loads.poll(self.target(0))
        self.assertFalse(self.target(0).leaving)

    async def test_back_off(self):
        """A rejection's time to come back bound nobody but its caller."""
        take = self.watches[0].announcements.take
        for status, seconds in ((200, '9'), (503, '3'), (429, '2')):
            take(self.target(), status, {'retry-after': seconds})
        wait = self.target().retry_at - self.clock.now()
        self.assertEqual(wait, 3)
        self.assertEqual(self.target(1).retry_at, 0)

    async def test_answer_to_a_poll(self):
        """What a target said of itself to a poll kept nobody away."""
        take = self.client.on_head
        take(_ADDRESS, 503, {'retry-after': '3'})
        take('127.0.0.1:1', 503, {'retry-after': '9'})
        take(_ADDRESS, 200, {})
        # The watchers share this client; the last one made has its heads.
        target = self.target(1)
        self.assertEqual(target.retry_at - self.clock.now(), 3)

    async def test_back_off_of_all_rows_of_a_host(self):
        """A host got requests through another row while it backed off."""
        targets = self.watches[0].marks.targets
        targets.update([_ROW, attrs.evolve(_ROW, name='other')])
        announcements = self.watches[0].announcements
        announcements.take(self.target(), 503, {'retry-after': '3'})
        other = targets.by_name['other']
        self.assertEqual(other.retry_at, self.target().retry_at)
        targets.update([_ROW])
        targets.update([_ROW, attrs.evolve(_ROW, name='again')])
        again = targets.by_name['again']
        self.assertEqual(again.retry_at, other.retry_at)

    @parameterized.expand(
        [
            ('no header', '', 0),
            ('of the start before', f'{_ADDRESS}-1', 1),
            ('of a start to come', f'{_ADDRESS}-3', 1),
            ('no start at all', 'true', 1),
        ]
    )
    async def test_other_words_mark_no_start(self, _what, header, polls):
        """A restarted host stays unused for good.

        Symptom: a host that nobody takes out gets no work.
        Sequence: start 2 reports; an answer of start 1 that was held up, or
        one whose header was copied or forged, says that it leaves.
        Cause: a header was taken for the word of whatever start is there.
        """
        self.host.start = 2
        await self.watches[0].loads.poll(self.target())
        self.client.asked.clear()
        for _ in range(3):
            await self.answer(header)
        self.assertFalse(self.target().leaving)
        self.assertEqual(self.target().left, set())
        self.assertEqual(len(self.client.asked), polls)

    @parameterized.expand(
        [
            ('later start', 2, True),
            ('start not known', 1, True),
            ('later start, in answers alone', 2, False),
            ('start not known, in answers alone', 1, False),
        ]
    )
    async def test_unknown_start_is_asked_at_once(self, _what, start, reports):
        """A target's word is lost as its start is news to the router.

        Symptom: requests go on to a host that leaves, until the next round
        of polls. Sequence: a start that no report told of yet announces its
        leaving. Cause: a word that can't be believed was dropped.
        """
        if start > 1:
            await self.watches[0].loads.poll(self.target())
        self.host.start = start
        self.host.leaving = reports
        await self.answer(self.host.incarnation)
        self.assertTrue(self.target(0).leaving)
        self.assertTrue(self.target(1).leaving)
