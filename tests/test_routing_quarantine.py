"""Tests of the quarantine of requests that crash targets."""

import asyncio
import unittest

from balsamreach.routing.faults import QUARANTINED, SUSPECTED
from balsamreach.routing.slot import Verdict
from tests.fake_net import FakeNet
from tests.routing_node import Node
from tests.support import FakeClock

_CULPRIT = 'culprit'


class QuarantineCase(unittest.IsolatedAsyncioTestCase):
    """Three routers with the same targets."""

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet()
        self.nodes = [
            Node(net=self.net.join(f'router-{number}'), clock=self.clock)
            for number in range(3)
        ]

    async def crash(self, node, fingerprint=_CULPRIT, others_at_target=()):
        """Let a request crash its target and return the target's name."""
        slot = await node.send(fingerprint=fingerprint)
        name = slot.target.name
        node.end(slot, Verdict.BROKEN)
        for other in others_at_target:
            if other.target.name == name:
                node.end(other, Verdict.BROKEN)
        node.quarantine.record_refused_connection(name)
        await self.net.settle()
        return name

    async def _break_connection(self, node):
        slot = await node.send(fingerprint=_CULPRIT)
        node.end(slot, Verdict.BROKEN)


class CrashingRequestTest(QuarantineCase):
    """A request crashes at most two targets, whichever routers it uses."""

    async def test_request_is_refused_at_all_routers_after_two_crashes(self):
        """All routers refuse a request that has crashed two targets.

        A request crashes its engine, and its caller sends the same body under
        another key through a second and a third router. If each router or key
        counted on its own, it would crash one engine after another.
        """
        first = await self.crash(self.nodes[0])
        second = await self.crash(self.nodes[1])
        self.assertNotEqual(first, second)
        for node in self.nodes:
            refusal = await node.routing.acquire_slot(node.ask(_CULPRIT))
            self.assertEqual(refusal, QUARANTINED)
        innocent = await self.nodes[2].send(fingerprint='innocent')
        self.nodes[2].end(innocent)

    async def test_two_unexplained_breaks_refuse_a_request(self):
        """Two unexplained breaks suffice to refuse a request.

        Connections to two targets break, and the caller retries before a
        refused connection or a report confirms a crash. If only confirmed
        crashes counted, a third engine would be lost within a second.
        """
        node = self.nodes[0]
        for _ in range(2):
            await self._break_connection(node)
        refusal = await node.routing.acquire_slot(node.ask(_CULPRIT))
        self.assertEqual(refusal, SUSPECTED)
        self.assertGreater(refusal.retry_after, 0)

    async def test_new_incarnation_in_a_report_confirms_a_crash(self):
        """A new incarnation in a load report confirms a crash.

        An engine that restarts at once refuses no connection, so its crash
        would otherwise go unnoticed.
        """
        node = self.nodes[0]
        slot = await node.send(fingerprint=_CULPRIT)
        slot.incarnation = 'start-1'
        node.end(slot, Verdict.BROKEN)
        node.quarantine.handle_report(slot.target.name, 'start-1')
        suspects = node.quarantine.suspects
        self.assertFalse(suspects.is_suspect(_CULPRIT))
        node.quarantine.handle_report(slot.target.name, 'start-2')
        self.assertTrue(suspects.is_suspect(_CULPRIT))

    async def test_lift_reaches_all_routers_and_outlasts_old_suspicions(
        self,
    ):
        """A lifted quarantine is not restored by older suspicions.

        An operator lifts it, then a suspicion of an earlier crash arrives late
        from a router that was cut off. Suspicions arrive in no particular
        order.
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
                await quarantine.handle_suspicion(sender, message)
            self.assertEqual(quarantine.quarantined_requests(), ())
            self.assertIsNone(quarantine.check(_CULPRIT))


class InnocentRequestTest(QuarantineCase):
    """Requests that ran next to the culprit are not quarantined."""

    async def test_other_request_at_a_crash_runs_alone_and_is_cleared(self):
        """Presence at one crash does not keep a request out.

        A culprit and other requests run at a target that crashes, and the
        others are retried. They run alone and are cleared when they complete,
        instead of being refused like the culprit.
        """
        node = Node(clock=self.clock, options=('routing.policy=round_robin',))
        others_at_target = [
            await node.send(fingerprint=f'n{num}') for num in range(8)
        ]
        await self.crash(node, others_at_target=others_at_target)
        quarantine = node.quarantine
        suspects = [
            slot.ask.fingerprint
            for slot in others_at_target
            if quarantine.must_run_alone(slot.ask.fingerprint)
        ]
        self.assertEqual(len(suspects), 2)
        for slot in others_at_target:
            if slot.ask.fingerprint not in suspects:
                node.end(slot)
        for name in suspects:
            alone = await node.send(fingerprint=name)
            self.assertEqual(alone.state.slots_held, 1)
            self.assertEqual(alone.state.reserved_for, name)
            node.end(alone)
            self.assertFalse(quarantine.must_run_alone(name))
        await self.crash(node)
        self.assertEqual(
            [held.fingerprint for held in quarantine.quarantined_requests()],
            [_CULPRIT],
        )

    async def test_suspect_waits_until_its_target_is_idle(self):
        """A suspect does not share a target.

        All targets are busy when a suspect is retried. If it shared one, the
        same innocent requests would be present at each crash.
        """
        node = self.nodes[0]
        await self.crash(node)
        busy = [await node.send(fingerprint=f'n{num}') for num in range(20)]
        waiting = asyncio.create_task(
            node.routing.retry(node.ask(_CULPRIT), frozenset()),
        )
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        for slot in busy:
            node.end(slot)
        alone = await waiting
        self.assertEqual(alone.state.slots_held, 1)

    async def test_normal_end_of_another_request_refutes_a_crash(self):
        """A break is no crash if another request at the target ends normally.

        One of two connections to a target breaks, as in a middlebox; the other
        request was sent before and ends normally. Otherwise requests would be
        held back without a crash.
        """
        node = Node(rows=None, options=('routing.policy=round_robin',))
        slots = [await node.send(fingerprint=f'n{num}') for num in range(5)]
        self.assertIs(slots[0].target, slots[4].target)
        node.end(slots[0], Verdict.BROKEN)
        self.assertTrue(node.quarantine.must_run_alone('n0'))
        node.end(slots[4])
        self.assertFalse(node.quarantine.must_run_alone('n0'))

    async def test_mass_break_makes_no_request_run_alone(self):
        """Breaks at many targets at once do not make requests run alone.

        A zone is cut off, and connections to all targets break within a
        second. If each request had to run alone, most would be refused as
        overloaded.
        """
        node = Node(options=('routing.policy=round_robin',))
        slots = [await node.send(fingerprint=f'n{num}') for num in range(4)]
        for slot in slots:
            node.end(slot, Verdict.BROKEN)
        quarantine = node.quarantine
        self.assertFalse(any(map(quarantine.must_run_alone, ('n0', 'n3'))))

    async def test_unexplained_break_of_a_peer_expires(self):
        """An unexplained break reported by a peer expires.

        One router's connection breaks and peers are informed. The target is
        up, but a peer in another zone never sends there, so none of its
        requests can refute the break. The request would run alone forever.
        """
        slot = await self.nodes[0].send(fingerprint='n0')
        self.nodes[0].end(slot, Verdict.BROKEN)
        await self.net.settle()
        peer = self.nodes[1]
        self.assertTrue(peer.quarantine.must_run_alone('n0'))
        self.clock.advance(60)
        peer.routing.tick()
        self.assertFalse(peer.quarantine.must_run_alone('n0'))

    def test_number_of_records_is_bounded(self):
        suspects = self.nodes[0].quarantine.suspects
        for number in range(12000):
            crash = f'target-{number}@1'
            suspects.record_crash(
                f'f{number}', 'team', crash, self.clock.wall()
            )
        self.assertLessEqual(len(suspects.by_fingerprint), 2000)
