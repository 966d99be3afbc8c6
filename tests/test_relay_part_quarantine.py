"""Tests of how routers find parts of prompts that crash targets together."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.dispatch.upstream import BROKEN
from balsamreach.placement.prompts import Part
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.relay.faults import PART_QUARANTINED, QUARANTINED
from balsamreach.relay.part_quarantine import PartQuarantine
from balsamreach.relay.quarantine import make_quarantine
from balsamreach.routing.part_suspects import PartBreak
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.part_reports import QUARANTINED as TOLD
from balsamreach.wire.part_reports import PartReports
from tests import relay_samples
from tests.fake_net import FakeNet
from tests.relay_harness import RelayHarness
from tests.relay_samples import ENGINES, ONE_RUN, STREAM, entry
from tests.relay_scripts import Unresponsive, answer
from tests.support import FakeClock

_CRASHING = ('aaaa', 'dead', 'own')
_SOUND = ('aaaa', 'own')
_EVENT = b'id: 1\ndata: x\n\n'
_CRASH = Unresponsive(attrs.evolve(BROKEN, closed_by_target=True))
_ROUTERS = 3


def _call(parts, number=0, route=ONE_RUN):
    """Return a request that differs from those with other numbers."""
    call = relay_samples.call(route)
    prompt = attrs.evolve(
        call.prompt, parts=tuple(Part(part, 20) for part in parts)
    )
    return attrs.evolve(call, prompt=prompt, body=str(number).encode())


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Each router sees some of the crashes."""

    #: Crashes that make up for the lost reports.
    crashes_after_loss = 1

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet()
        self.routers = []
        self.numbers = iter(range(100))
        for _ in range(_ROUTERS):
            self.add_router()

    def add_router(self, zone='zone-a'):
        """Add a router that knows nothing yet."""
        net = self.net.join(f'router-{len(self.routers)}', zone)
        self.routers.append(make_quarantine(2, self.clock, Metrics(), net))
        return self.routers[-1]

    async def crash(self, router, parts=_CRASHING, call=None):
        """Let a new request crash a target of its own."""
        await self.advance(1)
        number = next(self.numbers)
        call = call or _call(parts, number)
        now = self.clock.now()
        broken = PartBreak(
            f'target-{number}', call.fingerprint, now - 0.05, now
        )
        router.record_break(call, broken, is_answered=False)
        await self.net.settle()
        return broken.target

    async def answer(self, router, parts=_SOUND):
        """Let a target answer a request."""
        router.record_answer(_call(parts))
        await self.net.settle()

    async def advance(self, seconds):
        """Let time pass, and all routers send what they have held back."""
        self.clock.advance(seconds)
        for router in self.routers:
            router.parts.run_round()
        await self.net.settle()

    async def quarantine(self):
        """Let three requests crash targets, and others be answered."""
        for router in self.routers[:3]:
            await self.crash(router)
            for one in self.routers:
                await self.answer(one)
        await self.advance(1)

    async def test_crashes_seen_by_different_routers(self):
        """Guards against three crashes at each router."""
        await self.quarantine()
        for router in self.routers:
            fault = router.check(_call(_CRASHING, 99))
            self.assertEqual(fault, PART_QUARANTINED)
            self.assertTrue(fault.not_run)
            self.assertIsNone(router.check(_call(_SOUND, 98)))

    async def test_router_that_joins_later(self):
        """Guards against crashes through a router that has restarted."""
        await self.quarantine()
        router = self.add_router()
        await self.advance(0.2)
        self.assertEqual(router.check(_call(_CRASHING, 99)), PART_QUARANTINED)

    async def test_lost_message(self):
        """Guards against a router that never learns of a crashing part."""
        self.net.lost[PartReports] = 4
        await self.quarantine()
        for _ in range(self.crashes_after_loss):
            await self.crash(self.routers[0])
        await self.advance(1)
        for router in self.routers:
            self.assertEqual(
                router.check(_call(_CRASHING, 99)), PART_QUARANTINED
            )

    async def test_doubled_message(self):
        """Guards against counting one crash twice."""
        self.net.doubled[PartReports] = 2
        await self.crash(self.routers[0])
        self.assertIsNone(self.routers[1].check(_call(_CRASHING, 99)))

    async def test_answer_at_another_router(self):
        """Guards against suspecting what another router sees answered."""
        for _ in range(3):
            await self.answer(self.routers[1], _CRASHING)
            await self.crash(self.routers[0])
            await self.advance(0.2)
        for router in self.routers:
            self.assertIsNone(router.check(_call(_CRASHING, 99)))

    async def test_one_trial_in_the_fleet(self):
        """Guards against a trial at each router."""
        for router in self.routers[:2]:
            await self.crash(router)
        await self.advance(3)
        admitted = 0
        for number, router in enumerate(self.routers):
            call = _call(_CRASHING, 90 + number)
            admitted += router.begin_attempt(call) is None
            await self.net.settle()
        self.assertEqual(admitted, 1)

    async def test_bystanders_are_no_suspects(self):
        """Guards against refusing what was broken off beside the cause."""
        bystander = _call(_SOUND, 50)
        for router in self.routers[:3]:
            target = await self.crash(router)
            now = self.clock.now()
            broken = PartBreak(target, bystander.fingerprint, now, now)
            router.record_break(bystander, broken, is_answered=False)
            router.record_refused(RelayTarget(entry(target, ENGINES)))
            for one in self.routers:
                await self.answer(one)
        await self.advance(1)
        for router in self.routers:
            self.assertIsNone(router.check(bystander))

    async def test_thousands_of_parts(self):
        """Guards against the cost of prompts that name thousands of parts."""
        call = _call([str(number) for number in range(5000)])
        now = self.clock.now()
        broken = PartBreak('target', call.fingerprint, now, now)
        self.routers[0].record_break(call, broken, is_answered=False)
        reports = sum(
            len(message.reports)
            for message in self.net.sent
            if isinstance(message, PartReports)
        )
        self.assertLessEqual(reports, 100)

    async def test_unknown_outcome(self):
        """Guards against routers of later versions that report more."""
        sender = self.routers[0].parts.net
        await self.quarantine()
        message = next(
            one
            for one in reversed(self.net.sent)
            if isinstance(one, PartReports) and one.reports[0].outcome == TOLD
        )
        later = attrs.evolve(message.reports[0], outcome='later')
        sender.broadcast(PartReports((later,)))
        await self.net.settle()
        self.assertEqual(
            self.routers[1].check(_call(_CRASHING, 99)), PART_QUARANTINED
        )

    @parameterized.expand([('resumable', STREAM, None), ('not', ONE_RUN, 1)])
    async def test_stream_that_was_answered(self, _name, route, refused):
        """Guards against suspecting streams that crashes cut off midway."""
        call = _call(_SOUND, route=route)
        for number in range(2):
            now = self.clock.now()
            target = f'target-{number}'
            broken = PartBreak(target, call.fingerprint, now - 2, now)
            self.routers[0].record_break(call, broken, is_answered=True)
        fault = self.routers[0].check(call)
        self.assertEqual(fault, refused and QUARANTINED)


class LargeFleetTest(FleetTest):
    """The same with hubs, one of which keeps what is seen of a part."""

    crashes_after_loss = 3

    def setUp(self):
        self.clock = FakeClock()
        self.net = FakeNet(hubs_per_zone=2)
        self.routers = []
        self.numbers = iter(range(100))
        # The third one of each zone is no hub.
        for zone in ('zone-a', 'zone-a', 'zone-b', 'zone-b') * 2:
            self.add_router(zone)

    async def test_cost_of_a_crash(self):
        """Guards against telling all routers of each part at a crash."""
        await self.crash(self.routers[-1])
        sent = [one for one in self.net.sent if isinstance(one, PartReports)]
        # Two suspected parts, one way or two to a keeper each.
        self.assertLessEqual(len(sent), 4)

    async def test_keeper_dies(self):
        """Guards against a suspicion that ends with one router."""
        for router in self.routers[:2]:
            await self.crash(router)
        for router in self.routers:
            await self.answer(router)
        self.net.kill('router-0')
        self.routers.pop(0)
        await self.advance(4)
        await self.crash(self.routers[-1])
        await self.advance(1)
        for router in self.routers:
            self.assertEqual(
                router.check(_call(_CRASHING, 99)), PART_QUARANTINED
            )


class AttemptsTest(unittest.TestCase):
    """One router; its targets crash on a part."""

    def setUp(self):
        self.harness = RelayHarness()
        for number in range(3, 9):
            new = entry(f'{ENGINES}-{number}', ENGINES)
            self.harness.chooser.places.put(new)
        self.quarantine = self.harness.parts.quarantine

    def run_call(self, call, *scripts):
        """Process a request a second after the last one."""
        self.harness.clock.advance(1)
        deadline = self.harness.clock.now() + 5
        call = attrs.evolve(call, deadline=deadline)
        return self.harness.run(call, *scripts)

    def run_sound(self):
        """Let a target answer a sound request."""
        end = answer(200, _EVENT, transfer_encoding='chunked')
        self.run_call(_call(_SOUND), end)

    def crash(self, times):
        """Let requests with the part crash targets, beside sound ones."""
        sent, places = self.harness.exchange.sent, self.harness.chooser.places
        for _ in range(times):
            self.run_call(_call(_CRASHING, len(sent)), _CRASH)
            places.remove(sent[-1].target.target_id)
            self.run_sound()

    def test_no_two_requests_alike(self):
        """Guards against crashing one target after the other."""
        self.crash(3)
        sent = len(self.harness.exchange.sent)
        response = self.run_call(_call(_CRASHING, 99))
        self.assertEqual(response.status, 503)
        self.assertEqual(len(self.harness.exchange.sent), sent)
        self.assertGreaterEqual(float(response.headers['retry-after']), 30)

    def test_checked_before_each_attempt(self):
        """Guards against further attempts of one that was admitted before."""
        self.crash(2)
        self.harness.clock.advance(5)
        call = _call(_CRASHING, 9, STREAM)
        response = self.run_call(call, _CRASH, _CRASH)
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.harness.exchange.scripts), 1)

    @parameterized.expand(
        [
            ('declined', answer(503, not_executed='1')),
            ('misdirected', answer(421)),
            ('failed', answer(500)),
            ('undelimited', answer(200, _EVENT)),
        ]
    )
    def test_no_answer(self, _name, script):
        """Guards against responses that don't show that a part is harmless."""
        self.crash(2)
        self.harness.clock.advance(5)
        self.run_call(_call(_CRASHING, 97), script)
        self.crash(1)
        self.harness.clock.advance(1)
        fault = self.quarantine.check(_call(_CRASHING, 99))
        self.assertEqual(fault, PART_QUARANTINED)

    @parameterized.expand(
        [
            ('within_event', answer(200, _EVENT, _EVENT[:6]), 502),
            ('before_first_event', answer(200), 502),
            ('complete', answer(200, _EVENT), 200),
            ('complete_without_ids', answer(200, b'data: x\n\n'), 200),
            ('framed', answer(200, transfer_encoding='chunked'), 200),
        ]
    )
    def test_response_without_a_length(self, _name, script, status):
        """Guards against a crash that looks like the end of a response."""
        response = self.run_call(_call(_CRASHING), script)
        self.assertEqual(502 if response.aborted else response.status, status)
        crashes = self.quarantine.quarantine.crash_detector
        self.assertEqual(bool(crashes.unexplained_targets()), status != 200)

    def test_short_streams_without_a_length(self):
        """Guards against blaming parts whose answers have no certain end."""
        for _ in range(4):
            self.crash(1)
            answered = answer(200, _EVENT, _EVENT.replace(b'1', b'2'))
            self.run_call(_call(_CRASHING, 97), answered)
        self.assertIsNone(self.quarantine.check(_call(_CRASHING, 99)))

    def test_forwarded_by_another_router(self):
        """Guards against crashes on the longer way."""
        self.crash(3)
        fault = self.quarantine.check_forwarded(_call(_CRASHING, 99))
        self.assertEqual(fault, PART_QUARANTINED)


class NoPeersTest(unittest.TestCase):
    """A router by itself."""

    def test_nothing_is_suspected(self):
        """Guards against cost on days without crashes."""
        metrics, clock = Metrics(), FakeClock()
        parts = PartQuarantine(clock, metrics)
        self.assertIsNone(parts.check(_call(_CRASHING)))
        self.assertTrue(parts.suspects.is_empty())
        parts.run_round()
