"""Tests of requests that go through another router."""

import asyncio
import random
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    SILENT,
    UpstreamFault,
)
from balsamreach.placement.target_access import TargetAccess
from balsamreach.platform.requests import PlatformCodec
from balsamreach.relay import faults
from balsamreach.relay.forwarded_intake import (
    ANSWERED,
    MAY_HAVE_RUN,
    OUTCOME,
    REACHED,
    TARGET,
    ForwardedIntake,
)
from balsamreach.relay.forwarded_run import ForwardedRunner, read_forwarded
from balsamreach.relay.forwarding import Forwarder, ForwardingClient
from balsamreach.relay.response_intakes import AnswerIntake
from tests import relay_samples
from tests.fake_net import FakeNet
from tests.relay_harness import RelayHarness
from tests.relay_samples import (
    DESK,
    ENGINES,
    PLAIN,
    SIGNED,
    STREAM,
    UNSAFE,
    event,
)
from tests.relay_scripts import (
    RecordingResponse,
    Responding,
    Unresponsive,
    answer,
    unreachable,
)


def passed_on(script):
    """Return a router that passes on the response of a target."""
    added = {OUTCOME.lower(): ANSWERED, TARGET.lower(): 'desk-2'}
    return attrs.evolve(script, headers=script.headers | added)


def refusing(fault, *, ran='0'):
    """Return a router that has no response of a target."""
    headers = {
        OUTCOME.lower(): fault.code,
        TARGET.lower(): '',
        MAY_HAVE_RUN.lower(): ran,
        REACHED.lower(): ran,
    }
    return Responding(503, (), None, headers)


_OK = passed_on(answer(200, b'done'))
_LATE = passed_on(answer(200, b'other', attempt_id='another'))
_FAILED = passed_on(answer(500, b'no'))
_UNABLE = refusing(faults.CANNOT_FORWARD)
_NO_TARGET = refusing(faults.NO_TARGET)
_FULL = refusing(faults.TARGETS_FULL)
_TARGET_BROKE = refusing(faults.BROKEN, ran='1')
_DOWN = unreachable(NOT_SENT.because('refused'))
_DIED = Unresponsive(BROKEN)
_FOREIGN = Responding(404, (), None, {})


def make_intake():
    """Return what receives a plain response through another router."""
    codec = PlatformCodec(random.Random(1))
    return ForwardedIntake(AnswerIntake(codec, relay_samples.REQUEST))


class ScriptedClient(ForwardingClient):
    """Runs one script for each request sent to another router."""

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.routers = []
        self.messages = []

    async def send(self, router, call, message, intake):
        """Run the next script."""
        self.routers.append(router.incarnation)
        self.messages.append(message)
        return self.scripts.pop(0)(None, intake)


class ForwardingCase(unittest.TestCase):
    """A router that reaches no target, among three that do."""

    def setUp(self):
        self.harness = RelayHarness()
        self.access = self.harness.chooser.failures.access
        fabric = FakeNet()
        self.net = fabric.join('me')
        for name, zone in (
            ('near-1', 'zone-a'),
            ('near-2', 'zone-a'),
            ('far-1', 'zone-b'),
        ):
            net = fabric.join(name, zone)
            net.me = attrs.evolve(
                net.me, forwarding=f'{name}:1', binds_releases=True
            )
        self.fabric = fabric
        for service in (DESK, ENGINES):
            self.access.conclude(service, reached=False)

    def make_forwarder(self, *scripts):
        self.client = ScriptedClient(scripts)
        return Forwarder(
            self.access,
            self.net,
            'fleet',
            self.client,
            self.harness.clock,
            random.Random(1),
            self.harness.metrics,
        )

    def run_call(self, route, *scripts, **fields):
        """Process a request, and return the caller's response."""
        parts = self.harness.parts
        self.harness.parts = attrs.evolve(
            parts,
            attempt_parts=attrs.evolve(
                parts.attempt_parts, forwarder=self.make_forwarder(*scripts)
            ),
        )
        return self.harness.run(relay_samples.call(route, **fields))

    def change(self, name, **changes):
        """Change a router's entry."""
        net = self.fabric.nets[name]
        net.me = attrs.evolve(net.me, **changes)


class ForwardedResponseTest(ForwardingCase):
    """A request runs as often as allowed, and 'not run' is true."""

    @parameterized.expand(
        (
            ('answered', PLAIN, [_OK], 200, 1),
            ('answered_once', UNSAFE, [_OK], 200, 1),
            ('cut_off_as_well', PLAIN, [_UNABLE, _OK], 200, 2),
            ('cut_off_as_well_once', UNSAFE, [_UNABLE, _OK], 200, 2),
            ('down_once', UNSAFE, [_DOWN, _OK], 200, 2),
            ('target_down_once', UNSAFE, [_NO_TARGET, _OK], 200, 2),
            ('died', PLAIN, [_DIED, _OK], 200, 2),
            ('died_once', UNSAFE, [_DIED], 502, 1),
            ('target_broke', PLAIN, [_TARGET_BROKE, _OK], 200, 2),
            ('late_answer', PLAIN, [_LATE, _OK], 200, 2),
            ('late_answer_once', UNSAFE, [_LATE], 502, 1),
            ('target_broke_once', UNSAFE, [_TARGET_BROKE], 502, 1),
            ('declined_once', UNSAFE, [_FULL, _OK], 200, 2),
            ('failed_once', UNSAFE, [_FAILED], 500, 1),
            ('foreign_listener_once', UNSAFE, [_FOREIGN], 502, 1),
            ('none_can_help', UNSAFE, [_UNABLE, _UNABLE, _UNABLE], 503, 3),
        )
    )
    def test_plain(self, _, route, scripts, status, sent):
        """Guards against running a request twice on the longer way."""
        caller_response = self.run_call(route, *scripts)
        self.assertEqual(caller_response.status, status)
        self.assertEqual(len(self.client.routers), sent)

    def test_no_other_router(self):
        """Guards against time-outs of requests that can't be served."""
        for router in ('near-1', 'near-2', 'far-1'):
            self.change(router, leaving=True)
        self.assertEqual(self.run_call(UNSAFE).status, 503)
        self.assertEqual(self.harness.exchange.sent, [])

    def test_stream_resumes_elsewhere(self):
        """Guards against losing or doubling events when a router dies."""
        begun = passed_on(answer(200, event(1), event(2), end=BROKEN))
        rest = passed_on(answer(200, event(3)))
        caller_response = self.run_call(STREAM, begun, rest)
        self.assertEqual(caller_response.body, event(1) + event(2) + event(3))
        self.assertTrue(caller_response.complete)
        resumed = self.client.messages[1]
        self.assertEqual(resumed.last_event, '2')
        self.assertEqual(resumed.excluded, ('desk-2',))


class ChoiceTest(ForwardingCase):
    """The router that a request goes through."""

    def choose(self, forwarder):
        router = forwarder.choose(relay_samples.call(PLAIN))
        return None if router is None else router.incarnation

    def test_reachable_service(self):
        """Guards against forwarding what can be sent from here."""
        self.access.conclude(DESK, reached=True)
        self.assertIsNone(self.choose(self.make_forwarder()))

    @parameterized.expand(
        (
            ('leaving', {'leaving': True}),
            ('older_release', {'forwarding': ''}),
        )
    )
    def test_unusable_routers(self, _, changes):
        """Guards against sending to routers that accept no requests."""
        self.change('near-1', **changes)
        self.assertEqual(self.choose(self.make_forwarder()), 'near-2')

    def test_zone_of_unable_routers(self):
        """Guards against asking all routers of a zone that is cut off."""
        forwarder = self.make_forwarder(_UNABLE)
        near = forwarder.choose(relay_samples.call(PLAIN))
        self.assertEqual(near.zone, 'zone-a')
        intake = make_intake()
        asyncio.run(
            forwarder.send(near, relay_samples.call(PLAIN), '', (), intake)
        )
        self.assertEqual(self.choose(forwarder), 'far-1')
        self.harness.clock.advance(1)
        self.assertIn(self.choose(forwarder), {'near-1', 'near-2'})


@attrs.define
class _SilentAfterLoss:
    """A target that responds late, after its links have been lost."""

    access: TargetAccess
    end: UpstreamFault | None = None

    def __call__(self, _outgoing, intake):
        """Respond, unless the response is given up."""
        assert intake.may_send()
        self.access.conclude(DESK, reached=False)
        if intake.silence.gives_up(9):
            self.end = SILENT
            return self.end
        intake.start(200, SIGNED)
        return None


@attrs.frozen
class _PausingRouter:
    """Another router, whose target pauses between its two events."""

    target: str

    def __call__(self, _outgoing, intake):
        """Pass the events on, unless the response is given up."""
        added = {OUTCOME.lower(): ANSWERED, TARGET.lower(): self.target}
        assert intake.may_send()
        intake.start(200, SIGNED | added)
        intake.write(event(1))
        if intake.silence.gives_up(2):
            return SILENT
        intake.write(event(2))
        return None


class SilentRouterTest(ForwardingCase):
    """A stream through another router goes on elsewhere or is waited for."""

    @parameterized.expand((('one_target', 1), ('two_targets', 2)))
    def test_stream_is_whole(self, _, count):
        """Guards against a retry for which no target is left."""
        places = self.harness.chooser.places
        if count == 1:
            places.remove(f'{ENGINES}-1')
        rest = passed_on(answer(200, event(2)))
        response = self.run_call(
            STREAM, _PausingRouter(f'{ENGINES}-2'), rest, seconds=5
        )
        self.assertTrue(response.complete)
        self.assertEqual(response.body, event(1) + event(2))
        self.assertEqual(len(self.client.messages), count)


class RecordingLines(RecordingResponse):
    """Records the headers line by line."""

    def start(self, status, headers):
        """Record the status and headers."""
        super().start(status, headers)
        self.lines = tuple(headers)


class RunForOthersTest(unittest.TestCase):
    """A router sends requests to targets for another one."""

    def setUp(self):
        self.harness = RelayHarness()
        self.has_room = True
        parts = self.harness.parts
        self.runner = ForwardedRunner(
            parts.attempt_parts,
            parts.clock,
            parts.log,
            lambda: self.has_room,
        )

    def run_message(self, route, *scripts, response=None, **fields):
        """Run a forwarded request, and return the response."""
        self.harness.exchange.scripts = list(scripts)
        call = attrs.evolve(relay_samples.call(route), **fields)
        message = _describe(call, self.harness)
        response = response or RecordingResponse()
        asyncio.run(self.runner.run(message, b'body', response))
        return response

    @parameterized.expand(
        (
            ('answered', [answer(200, b'done')], ANSWERED, None),
            ('failed', [answer(500)], ANSWERED, None),
            ('declined', [answer(503, not_executed='1')], 'targets_full', '0'),
            ('target_down', [_DOWN], 'no_target', '0'),
            ('broken', [Unresponsive(BROKEN)], 'answer_broken', '1'),
        )
    )
    def test_one_attempt(self, _, scripts, outcome, ran):
        """Guards against a second run, and against a false 'not run'."""
        response = self.run_message(PLAIN, *scripts)
        self.assertEqual(response.headers[OUTCOME.lower()], outcome)
        self.assertEqual(response.headers.get(MAY_HAVE_RUN.lower()), ran)
        self.assertEqual(len(self.harness.exchange.sent), 1)
        self.assertTrue(response.complete)

    @parameterized.expand(
        (
            ('outcome', {'x_forward_outcome': 'targets_full'}),
            ('promise', {'x_forward_ran': '0', 'x_forward_reached': '0'}),
            ('target', {'x_forward_target': 'other'}),
            ('release', {'x_forward_release': 'other'}),
        )
    )
    def test_names_of_its_own(self, _, headers):
        """Guards against a target that speaks in this router's name.

        The other router would take the response for a refusal, and its
        promise that the request has not run for this router's.
        """
        response = RecordingLines()
        script = answer(200, b'done', **headers)
        self.run_message(PLAIN, script, response=response)
        names = [name.lower() for name, _text in response.lines]
        self.assertEqual(names.count(OUTCOME.lower()), 1)
        self.assertNotIn(MAY_HAVE_RUN.lower(), names)
        self.assertEqual(len(names), len(set(names)))

    def test_length_of_head_request(self):
        """Guards against a response without the body that it announces.

        The caller's request has no body in its answer, unlike the request
        that carries it here.
        """
        script = answer(200, content_length='5')
        response = self.run_message(PLAIN, script, method='HEAD')
        self.assertNotIn('content-length', response.headers)
        self.assertTrue(response.complete)

    @parameterized.expand((('no_room', True), ('cut_off', False)))
    def test_unable(self, _, reached):
        """Guards against helping others without the means to."""
        self.has_room = not reached
        access = self.harness.chooser.failures.access
        access.conclude(DESK, reached=reached)
        response = self.run_message(PLAIN)
        self.assertEqual(response.headers[OUTCOME.lower()], 'cannot_forward')
        self.assertEqual(self.harness.exchange.sent, [])

    def test_leaving_targets(self):
        """Guards against sending to targets that leave, for another router."""
        for place in self.harness.chooser.places.of_service(DESK):
            place.entry = attrs.evolve(place.entry, leaving=True)
        response = self.run_message(PLAIN)
        self.assertEqual(response.headers[OUTCOME.lower()], 'no_target')
        self.assertEqual(self.harness.exchange.sent, [])

    @parameterized.expand(((True, 'release_gone'), (False, 'no_target')))
    def test_unlisted_release(self, is_confirmed, outcome):
        """Guards against giving up a stream whose target isn't read yet."""
        releases = self.harness.chooser.places.releases
        releases.confirm = mock.AsyncMock(return_value=is_confirmed)
        response = self.run_message(STREAM, release='v2')
        self.assertEqual(response.headers[OUTCOME.lower()], outcome)
        self.assertEqual(self.harness.exchange.sent, [])

    @parameterized.expand(
        (
            ('retried', PLAIN, SILENT),
            ('run_once', UNSAFE, None),
        )
    )
    def test_links_lost_meanwhile(self, _, route, end):
        """Guards against a response given up though no retry follows."""
        access = self.harness.chooser.failures.access
        script = _SilentAfterLoss(access)
        self.run_message(route, script)
        self.assertEqual(script.end, end)

    def test_broken_stream_is_not_complete(self):
        """Guards against a broken stream that looks complete."""
        script = answer(200, event(1), end=BROKEN)
        response = self.run_message(STREAM, script)
        self.assertTrue(response.aborted)
        self.assertEqual(response.body, event(1))

    def test_request_is_unchanged(self):
        """Guards against a request that changes on the longer way."""
        call = relay_samples.call(STREAM)
        message = _describe(call, self.harness)
        received = read_forwarded(message, call.body, self.harness.clock.now())
        for name in ('request_id', 'method', 'path', 'headers', 'body'):
            self.assertEqual(getattr(received, name), getattr(call, name))
        self.assertEqual(received.prompt, call.prompt)
        self.assertEqual(received.fingerprint, call.fingerprint)
        self.assertAlmostEqual(received.deadline, call.deadline, 2)


def _describe(call, harness):
    client = ScriptedClient([_OK])
    forwarder = Forwarder(
        harness.chooser.failures.access,
        FakeNet().join('sender'),
        'fleet',
        client,
        harness.clock,
        random.Random(1),
        harness.metrics,
    )
    router = FakeNet().join('router').me
    intake = make_intake()
    intake.may_retry = call.repeatable
    asyncio.run(forwarder.send(router, call, '', (), intake))
    return client.messages[0]
