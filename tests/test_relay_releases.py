"""Tests of streams whose service has targets of several releases."""

import asyncio
import unittest
from functools import partial

import attrs
from parameterized import parameterized

from balsamreach.dispatch.upstream import BROKEN, NOT_SENT
from balsamreach.relay import faults
from balsamreach.relay.forwarded_intake import RELEASE
from balsamreach.relay.stream_releases import stream_key
from tests import relay_samples
from tests.relay_harness import RelayHarness
from tests.relay_samples import ENGINES, STREAM, entry, event
from tests.relay_scripts import Unresponsive, answer, unreachable
from tests.test_relay_forwarding import ForwardingCase, passed_on, refusing

_BEGUN = answer(200, event(1), event(2), end=BROKEN)
_REST = answer(200, event(3))
_WHOLE = answer(200, event(1), event(2), event(3))
_HALF_AN_EVENT = answer(200, event(1)[:9], end=BROKEN)
_LEAVING = entry('engines-3', ENGINES, release='v2', leaving=True)
#: Seconds for which a caller may return.
_KEEP_S = 60
_REFUSED = unreachable(NOT_SENT.because('refused'))


def _from_release(release, script):
    """Return a router that passes on the response of a release's target."""
    passed = passed_on(script)
    headers = passed.headers | {RELEASE.lower(): release}
    return attrs.evolve(passed, headers=headers)


class BrokenStreamTest(unittest.TestCase):
    """A stream goes on at the release that began it."""

    def setUp(self):
        self.harness = RelayHarness()
        self.put('engines-1', 'v1', 2)
        self.put('engines-2', 'v2', 2)

    def put(self, name, release, version=0):
        places = self.harness.chooser.places
        places.put(entry(name, ENGINES, release=release, version=version))

    def run_stream(self, *scripts):
        return self.harness.run(relay_samples.call(STREAM), *scripts)

    def sent_releases(self):
        return [one.target.release for one in self.harness.exchange.sent]

    def test_no_target_of_its_release(self):
        """Guards against going on at another release for want of targets."""
        caller_response = self.run_stream(_BEGUN)
        self.assertTrue(caller_response.aborted)
        self.assertEqual(caller_response.body, event(1) + event(2))

    def test_other_target_of_its_release(self):
        """Guards against breaking off a stream that could go on."""
        self.put('engines-3', 'v1')
        self.put('engines-4', 'v2')
        caller_response = self.run_stream(_BEGUN, _REST)
        self.assertTrue(caller_response.complete)
        first, second = self.sent_releases()
        self.assertEqual(first, second)

    @parameterized.expand(
        (
            ('refused', _REFUSED),
            ('broken', Unresponsive(BROKEN)),
            ('half_an_event', _HALF_AN_EVENT),
        )
    )
    def test_caller_without_events(self, _, script):
        """Guards against refusing what any release may still begin."""
        caller_response = self.run_stream(script, _WHOLE)
        self.assertTrue(caller_response.complete)
        self.assertEqual(sorted(self.sent_releases()), ['v1', 'v2'])


class OutdatedListTest(unittest.TestCase):
    """A stream is taken up whose release has no target in the list."""

    def setUp(self):
        self.harness = RelayHarness()
        self.places = self.harness.chooser.places
        for name in ('engines-1', 'engines-2'):
            self.places.put(entry(name, ENGINES, release='v1', version=2))

    async def confirm(self, is_confirmed, found, _max_wait):
        """Read targets from the store, and return what is asked for."""
        await asyncio.sleep(0)
        for target in found:
            self.places.put(target)
        return is_confirmed

    def take_up(self, *, is_current, is_confirmed, found=()):
        """Return the response to a caller of a stream of v2."""
        self.places.releases.is_current = lambda: is_current
        self.places.releases.confirm = partial(
            self.confirm, is_confirmed, found
        )
        call = relay_samples.call(STREAM, last_event='2')
        call = attrs.evolve(call, resumes='first')
        records = self.harness.releases.records
        records.put(stream_key(call), 'v2', _KEEP_S)
        return self.harness.run(call, _REST)

    @parameterized.expand(
        (
            ('not_listed_yet', False, False, False, True),
            ('not_listed_confirmed', False, False, True, False),
            ('not_listed_though_current', False, True, False, True),
            ('leaving_in_current_list', True, True, False, False),
            ('leaving_in_outdated_list', True, False, False, True),
            ('leaving_confirmed', True, False, True, False),
        )
    )
    def test_refusal(self, _, is_listed, is_current, is_confirmed, may_return):
        """Guards against giving up a stream whose target isn't read yet."""
        if is_listed:
            self.places.put(_LEAVING)
        refused = self.take_up(is_current=is_current, is_confirmed=is_confirmed)
        self.assertEqual(refused.status, 503)
        self.assertEqual('retry-after' in refused.headers, may_return)

    @parameterized.expand(((True,), (False,)))
    def test_target_found_meanwhile(self, is_confirmed):
        """Guards against a refusal though the list has the target now."""
        caller_response = self.take_up(
            is_current=True,
            is_confirmed=is_confirmed,
            found=[entry('engines-3', ENGINES, release='v2')],
        )
        self.assertEqual(caller_response.status, 200)


class ForwardedStreamTest(ForwardingCase):
    """The release is kept on the way through another router."""

    def setUp(self):
        super().setUp()
        places = self.harness.chooser.places
        places.put(entry('engines-3', ENGINES, release='v1'))
        places.put(entry('engines-4', ENGINES, release='v2'))

    def test_release_of_first_events(self):
        """Guards against a helping router that chooses any release."""
        begun = _from_release('v1', _BEGUN)
        caller_response = self.run_call(
            STREAM, begun, _from_release('v1', _REST)
        )
        self.assertTrue(caller_response.complete)
        releases = [message.releases for message in self.client.messages]
        self.assertEqual(releases, [(), ('v1',)])

    def test_events_of_another_release(self):
        """Guards against passing on what a helping router sends wrongly."""
        begun = _from_release('v1', _BEGUN)
        caller_response = self.run_call(
            STREAM, begun, _from_release('v2', _REST)
        )
        self.assertTrue(caller_response.aborted)
        self.assertEqual(caller_response.body, event(1) + event(2))

    def test_release_unknown_to_helping_router(self):
        """Guards against an unclear end of a request that has not run."""
        refusals = [refusing(faults.RELEASE_GONE) for _ in range(4)]
        caller_response = self.run_call(STREAM, *refusals, release='v1')
        self.assertEqual(caller_response.status, 503)

    def test_older_routers(self):
        """Guards against asking a router that ignores the release."""
        for router in ('near-1', 'near-2', 'far-1'):
            self.change(router, binds_releases=False)
        forwarder = self.make_forwarder()
        self.assertIsNone(forwarder.choose(relay_samples.call(STREAM)))
