"""Tests of polling, sharing, health and marks among several routers."""

import asyncio
import itertools
import random
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.dispatch.attempt_sender import AttemptSender
from balsamreach.dispatch.upstream import Attempt
from balsamreach.services.base import HostEntry
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.rows import TargetRow
from balsamreach.targets.registry import Targets
from balsamreach.targets.watch import WatchParts, make_watch
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.loads import TargetLoad, TargetLoads
from balsamreach.wire.marks import InFlight, TargetMark
from tests.fake_net import FakeNet
from tests.fake_targets import FakeHost, FakeTargets, VirtualClock

_ZONES = ('zone-a', 'zone-a', 'zone-a', 'zone-b')


def _row(number):
    return TargetRow(
        name=f'engine-{number}',
        address=f'127.0.0.1:{8000 + number}',
        zone='zone-a',
        service='llm',
    )


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """Three routers of zone-a and one of zone-b watch twelve targets."""

    def setUp(self):
        self.clock = VirtualClock()
        self.client = FakeTargets(self.clock)
        self.metrics = Metrics()
        self.rows = []
        for number in range(12):
            self.add_row(number)
        self.platform = MemoryPlatform.start(self.clock)
        self.net = FakeNet()
        self.watches = [
            self.open(f'r{index}', zone) for index, zone in enumerate(_ZONES)
        ]

    def add_row(self, number):
        row = _row(number)
        self.rows.append(row)
        self.client.hosts[row.address] = FakeHost(row.address)

    def open(self, name, zone):
        targets = Targets(warm_time=30)
        targets.update(self.rows)
        return make_watch(
            WatchParts(
                cfg=read_settings(None, (f'host.zone={zone}',)),
                targets=targets,
                client=self.client,
                net=self.net.join(name, zone),
                hosts=self.platform.hosts,
                clock=self.clock,
                rng=random.Random(1),
                metrics=self.metrics,
            )
        )

    def target(self, router, number=0):
        targets = self.watches[router].marks.targets
        return targets.by_name[f'engine-{number}']

    async def run_round(self, seconds=1):
        for watch in self.watches:
            await self.poll(watch.poller.poll_once())
        await self.net.settle()
        await self.clock.advance(seconds)

    async def poll(self, polls):
        """Advance until all polls end; return the count after each step."""
        polling = asyncio.create_task(polls)
        started = []
        await self.clock.advance(0)
        while not polling.done():
            started.append(len(self.client.asked))
            await self.clock.advance(0.005)
        return [*started, len(self.client.asked)]

    async def test_each_target_is_polled_once_for_its_zone(self):
        for _ in range(20):
            await self.run_round()
        polls = len(self.client.asked)
        self.client.asked.clear()
        self.client.hosts['127.0.0.1:8003'].running = 3
        await self.run_round()
        self.assertEqual(len(self.client.asked), len(self.rows))
        self.assertLessEqual(polls, 2 * 20 * len(self.rows))
        seen = [self.target(router, 3).report.running for router in range(4)]
        self.assertEqual(seen, [3, 3, 3, 0])

    async def test_round_does_not_block_event_loop(self):
        """A round of polls doesn't delay open streams.

        If all polls of a round started in one iteration of the event loop,
        the time between tokens would have a tail in zones of many targets.
        """
        for number in range(12, 40):
            self.add_row(number)
        watch = self.open('alone', 'zone-c')
        targets = tuple(watch.marks.targets.by_name.values())
        seen = [0, *await self.poll(watch.poller.poll_all(targets))]
        started = [after - before for before, after in itertools.pairwise(seen)]
        self.assertEqual(sum(started), 40)
        self.assertLessEqual(max(started), 8)

    async def test_silent_pooled_connection_is_no_failure(self):
        """A healthy target isn't suspended for a dead pooled connection.

        A middlebox drops the pooled connection, and polls on it time out. One
        attempt on a new connection distinguishes this from a dead target.
        """
        self.client.stale.add('127.0.0.1:8000')
        await self.run_round()
        self.assertEqual(self.target(0).failures, 0)
        name = 'balsamreach_target_stale_connections_total'
        self.assertGreaterEqual(self.metrics.counted(name), 1)

    async def test_dead_target_is_suspended_then_warmed_up(self):
        await self.run_round()
        host = self.client.hosts['127.0.0.1:8000']
        host.up = False
        await self.run_round()
        await self.run_round()
        for router in range(3):
            target = self.target(router)
            self.assertGreater(target.suspended_until, self.clock.now() - 2)
            self.assertGreater(target.failures, 0)
        host.up = True
        for _ in range(10):
            await self.run_round()
        for router in range(3):
            target = self.target(router)
            self.assertEqual(target.failures, 0)
            self.assertLess(target.effective_weight(self.clock.now()), 1)
            later = self.clock.now() + 30
            self.assertEqual(target.effective_weight(later), 1)

    async def test_late_report_of_past_incarnation_is_not_applied(self):
        """A router doesn't take a restarted host for the earlier incarnation.

        A router of the zone pauses with a report of incarnation 1 in its
        buffer; incarnation 2 starts; a router that never saw incarnation 1
        gets the report. The age in a message doesn't include its time in
        transit, so the report looks current.
        """
        await self.run_round()
        self.client.hosts['127.0.0.1:8000'].start = 2
        await self.run_round()
        await self.run_round()
        watch = self.watches[0]
        stale = TargetLoad('engine-0', '127.0.0.1:8000-1', 9, reachable=True)
        peer = self.net.nets['r1'].me
        sharing = watch.poller.parts.sharing
        await sharing.receive_loads(peer, TargetLoads((stale,)))
        report = self.target(0).report
        self.assertEqual(report.incarnation, '127.0.0.1:8000-2')
        self.assertEqual(report.running, 0)

    async def test_each_source_marks_at_all_routers(self):
        await self.run_round()
        await self.run_round()
        entry = HostEntry(
            '127.0.0.1:8001', 'llm', 'zone-a', 'leaving', '127.0.0.1:8001-1'
        )
        self.platform.hosts.replace((entry,))
        await self.watches[0].hosts.read_once()
        self.client.hosts['127.0.0.1:8002'].leaving = True
        await self.run_round()
        await self.net.settle()
        for router in range(3):
            leaving = [
                self.target(router, number).leaving for number in (0, 1, 2)
            ]
            self.assertEqual(leaving, [False, True, True], router)
        # The other zone has no report yet; a mark alone stops its requests.
        self.assertTrue(self.target(3, 1).leaving)

    async def test_leaving_target_is_marked_in_other_zones(self):
        """Routers of other zones stop sending to a host that leaves.

        The host reports its leaving to the routers that poll it; routers of
        another zone don't. If applying the report marked the incarnation
        first, the mark would not be new and not be sent to them.
        """
        await self.run_round()
        self.client.hosts['127.0.0.1:8002'].leaving = True
        await self.run_round()
        await self.net.settle()
        self.assertTrue(self.target(3, 2).leaving)
        name = 'balsamreach_target_marks_total'
        self.assertEqual(self.metrics.counted(name, source='target'), 1)

    async def test_other_zone_notices_restart_of_marked_target(self):
        """A host that left and restarted is used by other zones again.

        Incarnation 1 is marked everywhere; incarnation 2 starts. Routers of
        another zone poll only targets with requests of theirs, and a marked
        target gets none, so without further polls they would never send to it
        again.
        """
        self.watches.append(self.open('r4', 'zone-b'))
        host = self.client.hosts['127.0.0.1:8002']
        for router, watch in enumerate(self.watches):
            await watch.poller.poll(self.target(router, 2))
        host.leaving = True
        await self.run_round()
        self.assertTrue(self.target(3, 2).leaving)
        host.start = 2
        host.leaving = False
        for _ in range(60):
            await self.run_round()
        for router in range(5):
            self.assertFalse(self.target(router, 2).leaving, router)

    async def test_outdated_list_does_not_mark_next_incarnation(self):
        """A restarted host is used while the host list is outdated.

        Incarnation 1 leaves; incarnation 2 reports; the list still shows
        incarnation 1 as leaving, and a peer's mark of incarnation 1 arrives
        late. Marks must apply only to the incarnation they name.
        """
        await self.run_round()
        self.client.hosts['127.0.0.1:8001'].start = 2
        await self.run_round()
        await self.run_round()
        entry = HostEntry(
            '127.0.0.1:8001', 'llm', 'zone-a', 'leaving', '127.0.0.1:8001-1'
        )
        nameless = attrs.evolve(entry, incarnation='')
        self.watches[0].marks.mark_listed((entry, nameless))
        await self.net.settle()
        for router in range(3):
            self.assertFalse(self.target(router, 1).leaving)

    async def test_restarted_router_gets_marks_from_peers(self):
        """A restarted router sends no requests to a leaving host.

        A router restarts while the host list is outdated. Marks are only in
        memory, so its neighbours have to send them again.
        """
        await self.run_round()
        self.watches[0].marks.send_to_new_neighbours()
        self.watches[0].marks.mark(self.target(0), '127.0.0.1:8000-1', 'test')
        self.net.kill('r1')
        await self.net.settle()
        self.watches[0].marks.send_to_new_neighbours()
        self.watches[1] = self.open('r1-again', 'zone-a')
        self.assertFalse(self.target(1).leaving)
        self.watches[0].marks.send_to_new_neighbours()
        await self.net.settle()
        self.assertTrue(self.target(1).leaving)
        await self.run_round()
        self.assertTrue(self.target(1).leaving)

    async def test_router_is_closed_only_for_known_incarnation(self):
        """A host isn't switched off under a request sent a moment later.

        Incarnation 2 is marked; a router that still knows incarnation 1
        reports that it has no requests there, and then sends one to the
        address. Only a router that knows the marked incarnation is closed.
        """
        await self.run_round()
        await self.run_round()
        ask = TargetMark('engine-0', '127.0.0.1:8000-2')
        net = self.net.nets['r0']
        self.assertEqual(
            await net.ask('r1', ask), InFlight('engine-0', 0, closed=False)
        )
        self.client.hosts['127.0.0.1:8000'].start = 2
        for _ in range(3):
            await self.run_round()
        self.target(1).in_flight = 2
        self.assertEqual(
            await net.ask('r1', ask), InFlight('engine-0', 2, closed=True)
        )

    async def test_leaving_is_noticed_without_list_and_peers(self):
        """A host that leaves gets no requests after 2 s.

        In a zone of 370 targets a host announces its leaving only in its
        report; the host list is outdated; the other zone is cut off and sends
        requests that end between two polls. If targets were polled only as
        often as the zone shares loads, the host would get requests for 9 s;
        if targets of other zones were polled only while a request is in
        progress, it would get their requests for good.
        """
        self.rows = [_row(number) for number in range(370)]
        for row in self.rows:
            self.client.hosts[row.address] = FakeHost(row.address)
        running = []
        for watch in self.watches:
            watch.marks.targets.update(self.rows)
            running.append(asyncio.create_task(watch.poller.run()))
        await self.clock.advance(20)
        self.net.cut(('r0', 'r1', 'r2'), ('r3',))
        host = self.client.hosts['127.0.0.1:8005']
        host.leaving = True
        attempts = AttemptSender(mock.AsyncMock(), self.clock, mock.Mock())
        call = mock.Mock(deadline=self.clock.now() + 60)
        away = Attempt('attempt', call, self.target(3, 5))
        await attempts.exchange(away, mock.Mock())
        self.assertEqual(away.target.in_flight, 0)
        await self.clock.advance(2)
        await self.net.settle()
        for router in range(4):
            self.assertTrue(self.target(router, 5).leaving, router)
        for task in running:
            task.cancel()

    @parameterized.expand([(1, 1.0), (11, 1.43), (370, 1.5)])
    def test_round_interval_is_bounded(self, own, interval):
        loads = self.watches[3].poller
        rows = [attrs.evolve(_row(n), zone='zone-b') for n in range(own)]
        loads.parts.marks.targets.update(rows)
        self.assertAlmostEqual(loads.round_interval(), interval)

    def test_share_interval_grows_with_zone(self):
        loads = self.watches[0].poller
        self.assertEqual(loads.share_interval(), 1)
        rows = [_row(number) for number in range(370)]
        targets = self.watches[0].marks.targets
        targets.update(rows)
        self.assertAlmostEqual(loads.share_interval(), 370 * 76 / 3072)
