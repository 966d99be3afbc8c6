"""Tests of polling, sharing, health and marks among several routers."""

import asyncio
import itertools
import random
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.dispatch.attempts import Attempts
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
            self.open(f'r{place}', zone) for place, zone in enumerate(_ZONES)
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

    async def round(self, seconds=1):
        for watch in self.watches:
            await self.poll(watch.loads.poll_once())
        await self.net.settle()
        await self.clock.advance(seconds)

    async def poll(self, polls):
        """Let time pass until all polls are over; return how many began."""
        polling = asyncio.create_task(polls)
        begun = []
        await self.clock.advance(0)
        while not polling.done():
            begun.append(len(self.client.asked))
            await self.clock.advance(0.005)
        return [*begun, len(self.client.asked)]

    async def test_each_target_is_polled_once_and_its_zone_knows(self):
        for _ in range(20):
            await self.round()
        polls = len(self.client.asked)
        self.client.asked.clear()
        self.client.hosts['127.0.0.1:8003'].running = 3
        await self.round()
        self.assertEqual(len(self.client.asked), len(self.rows))
        self.assertLessEqual(polls, 2 * 20 * len(self.rows))
        seen = [self.target(router, 3).report.running for router in range(4)]
        self.assertEqual(seen, [3, 3, 3, 0])

    async def test_a_round_leaves_the_loop_to_others(self):
        """Each round of polls stalls open streams.

        Symptom: the time between tokens has a tail in zones of many targets.
        Events: a round begins while streams are open. Cause: all of its
        polls began in one turn of the event loop.
        """
        for number in range(12, 40):
            self.add_row(number)
        watch = self.open('alone', 'zone-c')
        targets = tuple(watch.marks.targets.by_name.values())
        seen = [0, *await self.poll(watch.loads.poll_all(targets))]
        begun = [after - before for before, after in itertools.pairwise(seen)]
        self.assertEqual(sum(begun), 40)
        self.assertLessEqual(max(begun), 8)

    async def test_silent_pooled_connection_does_not_kill_a_target(self):
        """A healthy target is called dead.

        Symptom: no work for a target that answers everyone else.
        Sequence: a middlebox forgets the pooled connection; polls on it
        time out.
        Cause: one try on a new connection tells this from a dead target.
        """
        self.client.stale.add('127.0.0.1:8000')
        await self.round()
        self.assertEqual(self.target(0).failures, 0)
        name = 'balsamreach_target_stale_connections_total'
        self.assertGreaterEqual(self.metrics.counted(name), 1)

    async def test_dead_target_is_suspended_then_warmed(self):
        await self.round()
        host = self.client.hosts['127.0.0.1:8000']
        host.up = False
        await self.round()
        await self.round()
        for router in range(3):
            target = self.target(router)
            self.assertGreater(target.suspended_until, self.clock.now() - 2)
            self.assertGreater(target.failures, 0)
        host.up = True
        for _ in range(10):
            await self.round()
        for router in range(3):
            target = self.target(router)
            self.assertEqual(target.failures, 0)
            self.assertLess(target.effective_weight(self.clock.now()), 1)
            later = self.clock.now() + 30
            self.assertEqual(target.effective_weight(later), 1)

    async def test_peers_late_report_of_a_past_start_is_only_looked_into(self):
        """An old start comes back to life at one router.

        Symptom: one router takes a restarted host for the earlier start.
        Sequence: a router of the zone pauses with a report of start 1 in
        its buffer; start 2 comes up; a router that never saw start 1 gets
        the report.
        Cause: the age in a message leaves out how long it was under way.
        """
        await self.round()
        self.client.hosts['127.0.0.1:8000'].start = 2
        await self.round()
        await self.round()
        watch = self.watches[0]
        stale = TargetLoad('engine-0', '127.0.0.1:8000-1', 9, reachable=True)
        peer = self.net.nets['r1'].me
        sharing = watch.loads.parts.sharing
        await sharing.take_loads(peer, TargetLoads((stale,)))
        report = self.target(0).report
        self.assertEqual(report.incarnation, '127.0.0.1:8000-2')
        self.assertEqual(report.running, 0)

    async def test_host_list_target_and_peer_each_mark_everywhere(self):
        await self.round()
        await self.round()
        entry = HostEntry(
            '127.0.0.1:8001', 'llm', 'zone-a', 'leaving', '127.0.0.1:8001-1'
        )
        self.platform.hosts.replace((entry,))
        await self.watches[0].hosts.read_once()
        self.client.hosts['127.0.0.1:8002'].leaving = True
        await self.round()
        await self.net.settle()
        for router in range(3):
            leaving = [
                self.target(router, number).leaving for number in (0, 1, 2)
            ]
            self.assertEqual(leaving, [False, True, True], router)
        # The other zone has no report yet; with a mark it sends nothing.
        self.assertTrue(self.target(3, 1).leaving)

    async def test_target_that_leaves_is_told_to_other_zones(self):
        """Routers of other zones go on sending to a host that leaves.

        Symptom: requests arrive at a host long after it said it leaves.
        Sequence: the host tells the routers that poll it; those of another
        zone poll none of its zone. Cause: taking the report in marked the
        start first, so that the mark was no news and told to nobody.
        """
        await self.round()
        self.client.hosts['127.0.0.1:8002'].leaving = True
        await self.round()
        await self.net.settle()
        self.assertTrue(self.target(3, 2).leaving)
        name = 'balsamreach_target_marks_total'
        self.assertEqual(self.metrics.counted(name, source='target'), 1)

    async def test_other_zone_learns_that_a_marked_target_started_again(self):
        """A host that left and came back stays unused by other zones.

        Symptom: other zones never send to it again. Sequence: start 1 is
        marked everywhere; start 2 comes up; routers of another zone, which
        poll only where they have requests, have none there.
        Cause: a marked target gets no requests, so nobody there looked.
        """
        self.watches.append(self.open('r4', 'zone-b'))
        host = self.client.hosts['127.0.0.1:8002']
        for router, watch in enumerate(self.watches):
            await watch.loads.poll(self.target(router, 2))
        host.leaving = True
        await self.round()
        self.assertTrue(self.target(3, 2).leaving)
        host.start = 2
        host.leaving = False
        for _ in range(60):
            await self.round()
        for router in range(5):
            self.assertFalse(self.target(router, 2).leaving, router)

    async def test_lagging_list_does_not_mark_the_next_start(self):
        """A restarted host stays unused while the host list lags.

        Symptom: a returning host gets no work for as long as the list lags.
        Sequence: start 1 leaves; start 2 reports; the list still shows
        start 1 as leaving, a peer's mark of start 1 comes late.
        Cause: marks name the start.
        """
        await self.round()
        self.client.hosts['127.0.0.1:8001'].start = 2
        await self.round()
        await self.round()
        entry = HostEntry(
            '127.0.0.1:8001', 'llm', 'zone-a', 'leaving', '127.0.0.1:8001-1'
        )
        nameless = attrs.evolve(entry, incarnation='')
        self.watches[0].marks.take_hosts((entry, nameless))
        await self.net.settle()
        for router in range(3):
            self.assertFalse(self.target(router, 1).leaving)

    async def test_restarted_router_learns_marks_from_peers(self):
        """A restarted router sends work to a leaving host.

        Symptom: new work on a host after its mark, from one router only.
        Sequence: a router restarts while the host list lags.
        Cause: marks live in memory; neighbours tell them anew.
        """
        await self.round()
        self.watches[0].marks.catch_up()
        self.watches[0].marks.mark(self.target(0), '127.0.0.1:8000-1', 'test')
        self.net.kill('r1')
        await self.net.settle()
        self.watches[0].marks.catch_up()
        self.watches[1] = self.open('r1-again', 'zone-a')
        self.assertFalse(self.target(1).leaving)
        self.watches[0].marks.catch_up()
        await self.net.settle()
        self.assertTrue(self.target(1).leaving)
        await self.round()
        self.assertTrue(self.target(1).leaving)

    async def test_count_is_closed_only_for_the_start_believed_in(self):
        """A host is switched off under a request sent a moment later.

        Symptom: a request is cut right after all routers reported idle.
        Sequence: start 2 is marked; a router that still believes in start 1
        answers that it has nothing there, then sends to the address.
        Cause: only a router that believes in the marked start is closed.
        """
        await self.round()
        await self.round()
        ask = TargetMark('engine-0', '127.0.0.1:8000-2')
        net = self.net.nets['r0']
        self.assertEqual(
            await net.ask('r1', ask), InFlight('engine-0', 0, closed=False)
        )
        self.client.hosts['127.0.0.1:8000'].start = 2
        for _ in range(3):
            await self.round()
        self.target(1).in_flight = 2
        self.assertEqual(
            await net.ask('r1', ask), InFlight('engine-0', 2, closed=True)
        )

    async def test_leaving_is_heard_soon_without_list_and_peers(self):
        """A host that leaves gets new work for as long as loads may lag.

        Symptom: requests begin at a host 9 s after it said that it leaves;
        those of another zone go on for good. Sequence: a zone of 370
        targets; the host list lags; the other zone is cut off and sends
        requests that end between two polls; the host says that it leaves in
        its report alone.
        Cause: looks were as rare as the zone may tell loads; and targets of
        other zones were asked only where a request was in progress.
        """
        self.rows = [_row(number) for number in range(370)]
        for row in self.rows:
            self.client.hosts[row.address] = FakeHost(row.address)
        running = []
        for watch in self.watches:
            watch.marks.targets.update(self.rows)
            running.append(asyncio.create_task(watch.loads.run()))
        await self.clock.advance(20)
        self.net.cut(('r0', 'r1', 'r2'), ('r3',))
        host = self.client.hosts['127.0.0.1:8005']
        host.leaving = True
        attempts = Attempts(mock.AsyncMock(), self.clock, mock.Mock())
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
    def test_pause_bounds_polls_and_the_time_to_hear_of_leaving(
        self, own, pause
    ):
        loads = self.watches[3].loads
        rows = [attrs.evolve(_row(n), zone='zone-b') for n in range(own)]
        loads.parts.marks.targets.update(rows)
        self.assertAlmostEqual(loads.pause(), pause)

    def test_interval_grows_with_the_zone(self):
        loads = self.watches[0].loads
        self.assertEqual(loads.interval(), 1)
        rows = [_row(number) for number in range(370)]
        targets = self.watches[0].marks.targets
        targets.update(rows)
        self.assertAlmostEqual(loads.interval(), 370 * 76 / 3072)
