"""Tests of requests that crash targets, and of those beside them."""

import asyncio
import unittest

from balsamreach.routing.faults import QUARANTINED, SUSPECTED
from balsamreach.routing.slot import Verdict
from tests.fake_net import FakeNet
from tests.routing_node import Node
from tests.support import FakeClock

_CULPRIT = 'culprit'


class QuarantineCase(unittest.IsolatedAsyncioTestCase):
    """Three routers that see the same targets."""

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet()
        self.nodes = [
            Node(net=self.net.join(f'router-{number}'), clock=self.clock)
            for number in range(3)
        ]

    async def crash(self, node, fingerprint=_CULPRIT, beside=()):
        """Let a request crash its target; return the target's name."""
        slot = await node.send(fingerprint=fingerprint)
        name = slot.target.name
        node.end(slot, Verdict.BROKEN)
        for other in beside:
            if other.target.name == name:
                node.end(other, Verdict.BROKEN)
        node.quarantine.refused(name)
        await self.net.settle()
        return name

    async def _break(self, node):
        slot = await node.send(fingerprint=_CULPRIT)
        node.end(slot, Verdict.BROKEN)


class CrashTest(QuarantineCase):
    """At most two targets are lost, whatever way the request comes."""

    async def test_sent_again_through_other_routers_it_is_refused(self):
        """A request that crashes targets is kept out after two.

        Symptom: one engine after another dies.
        Sequence: a request crashes its engine; the caller sends the same
        body under a new key through another router, and a third one.
        Cause: each router and each key saw only one crash.
        """
        first = await self.crash(self.nodes[0])
        second = await self.crash(self.nodes[1])
        self.assertNotEqual(first, second)
        for node in self.nodes:
            refusal = await node.routing.enter(node.ask(_CULPRIT))
            self.assertEqual(refusal, QUARANTINED)
        innocent = await self.nodes[2].send(fingerprint='innocent')
        self.nodes[2].end(innocent)

    async def test_crashes_not_yet_explained_stop_a_third_run(self):
        """Two breaks are enough to stop, before anybody knows the cause.

        Symptom: a third engine is lost within a second.
        Sequence: the connection to two targets breaks; the caller retries
        before any refused connection or report shows that they crashed.
        Cause: only confirmed crashes counted.
        """
        node = self.nodes[0]
        for _ in range(2):
            await self._break(node)
        refusal = await node.routing.enter(node.ask(_CULPRIT))
        self.assertEqual(refusal, SUSPECTED)
        self.assertGreater(refusal.retry_after, 0)

    async def test_new_incarnation_in_a_report_confirms_a_crash(self):
        """A target that restarts faster than anybody connects is seen.

        Symptom: crashes go unnoticed where engines restart at once.
        Sequence: the connection breaks; the next report has another
        incarnation; no connection was ever refused.
        Cause: only refused connections counted as proof.
        """
        node = self.nodes[0]
        slot = await node.send(fingerprint=_CULPRIT)
        slot.incarnation = 'start-1'
        node.end(slot, Verdict.BROKEN)
        node.quarantine.reported(slot.target.name, 'start-1')
        suspects = node.quarantine.suspects
        self.assertFalse(suspects.is_suspect(_CULPRIT))
        node.quarantine.reported(slot.target.name, 'start-2')
        self.assertTrue(suspects.is_suspect(_CULPRIT))

    async def test_lift_reaches_all_routers_and_old_reports_do_not_undo_it(
        self,
    ):
        """An operator's lift holds.

        Symptom: a lifted quarantine comes back by itself.
        Sequence: an operator lifts it; a report of an older crash arrives
        late from a router that was cut off.
        Cause: reports carry no order of their own.
        """
        await self.crash(self.nodes[0])
        await self.crash(self.nodes[1])
        late = [
            one for one in self.net.sent if type(one).__name__ == 'Suspicion'
        ]
        sender = self.net.nets['router-0'].me
        self.clock.advance(1)
        self.assertTrue(self.nodes[2].quarantine.lift(_CULPRIT))
        await self.net.settle()
        for node in self.nodes:
            quarantine = node.quarantine
            for message in late:
                await quarantine.take(sender, message)
            self.assertEqual(quarantine.listed(), ())
            self.assertIsNone(quarantine.check(_CULPRIT))


class InnocentTest(QuarantineCase):
    """Requests that shared a target with the culprit go on."""

    async def test_neighbour_is_suspected_runs_alone_and_is_cleared(self):
        """Being there at one crash does not keep a request out.

        Symptom: callers of harmless requests are refused after a crash.
        Sequence: a culprit and other requests share a target that
        crashes; the others are retried.
        Cause: all that were there look alike.
        """
        node = Node(clock=self.clock, options=('routing.policy=round_robin',))
        beside = [await node.send(fingerprint=f'n{num}') for num in range(8)]
        await self.crash(node, beside=beside)
        quarantine = node.quarantine
        suspects = [
            slot.ask.fingerprint
            for slot in beside
            if quarantine.must_run_alone(slot.ask.fingerprint)
        ]
        self.assertEqual(len(suspects), 2)
        for slot in beside:
            if slot.ask.fingerprint not in suspects:
                node.end(slot)
        for name in suspects:
            alone = await node.send(fingerprint=name)
            self.assertEqual(alone.state.held, 1)
            self.assertEqual(alone.state.reserved_for, name)
            node.end(alone)
            self.assertFalse(quarantine.must_run_alone(name))
        await self.crash(node)
        self.assertEqual(
            [held.fingerprint for held in quarantine.listed()],
            [_CULPRIT],
        )

    async def test_suspect_waits_until_its_target_is_empty(self):
        """A suspect never shares a target again.

        Symptom: the same innocent requests are at each crash.
        Sequence: all targets are busy when a suspect is retried.
        Cause: it was sent to a target that ran others.
        """
        node = self.nodes[0]
        await self.crash(node)
        busy = [await node.send(fingerprint=f'n{num}') for num in range(20)]
        waiting = asyncio.create_task(
            node.routing.again(node.ask(_CULPRIT), frozenset()),
        )
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        for slot in busy:
            node.end(slot)
        alone = await waiting
        self.assertEqual(alone.state.held, 1)

    async def test_break_beside_a_request_that_ends_well_is_no_crash(self):
        """A connection that breaks alone accuses nobody.

        Symptom: requests are held back after a middlebox lost connections.
        Sequence: one of two connections to a target breaks; the other
        request, sent before, ends well.
        Cause: a break was taken for a crash.
        """
        node = Node(rows=None, options=('routing.policy=round_robin',))
        slots = [await node.send(fingerprint=f'n{num}') for num in range(5)]
        self.assertIs(slots[0].target, slots[4].target)
        node.end(slots[0], Verdict.BROKEN)
        self.assertTrue(node.quarantine.must_run_alone('n0'))
        node.end(slots[4])
        self.assertFalse(node.quarantine.must_run_alone('n0'))

    async def test_many_targets_broken_at_once_close_no_target(self):
        """A cut zone does not set off a wave of requests that run alone.

        Symptom: most requests are refused as overloaded after a cut.
        Sequence: connections to all targets break within a second.
        Cause: each broken request was to run alone at its next target.
        """
        node = Node(options=('routing.policy=round_robin',))
        slots = [await node.send(fingerprint=f'n{num}') for num in range(4)]
        for slot in slots:
            node.end(slot, Verdict.BROKEN)
        quarantine = node.quarantine
        self.assertFalse(any(map(quarantine.must_run_alone, ('n0', 'n3'))))

    async def test_a_peers_break_that_nobody_explains_is_forgotten(self):
        """A request runs alone for good after a peer lost a connection.

        Symptom: requests wait although targets have room. Sequence: one
        router's connection to a target breaks and peers are told; the
        target lives on, but a peer of another zone never sends there.
        Cause: only own requests at that target showed that it lived.
        """
        slot = await self.nodes[0].send(fingerprint='n0')
        self.nodes[0].end(slot, Verdict.BROKEN)
        await self.net.settle()
        peer = self.nodes[1]
        self.assertTrue(peer.quarantine.must_run_alone('n0'))
        self.clock.advance(60)
        peer.routing.tick()
        self.assertFalse(peer.quarantine.must_run_alone('n0'))

    def test_records_are_bounded(self):
        suspects = self.nodes[0].quarantine.suspects
        for number in range(12000):
            crash = f'target-{number}@1'
            suspects.blame(f'f{number}', 'team', crash, self.clock.wall())
        self.assertLessEqual(len(suspects.by_print), 2000)
