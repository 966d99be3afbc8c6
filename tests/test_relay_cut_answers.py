"""Tests of targets that close their connection before an answer is whole."""

import asyncio
import itertools
import unittest

import attrs
from parameterized import parameterized

from balsamreach.dispatch.upstream import BROKEN
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.relay.exchange import Outgoing
from balsamreach.relay.response_intakes import AnswerIntake
from balsamreach.relay.run import RelayRun
from tests import cut_targets as samples
from tests import relay_samples
from tests.cut_targets import OWN, WHOLE, CutTarget
from tests.relay_harness import RelayHarness
from tests.relay_samples import ONE_RUN, PLAIN, REQUEST, STREAM, UNSAFE, entry
from tests.relay_scripts import RecordingResponse

_ENDINGS = {'closed': False, 'reset': True}
_REPEATABLE = {'plain': PLAIN, 'stream': STREAM}
_ONCE = {'plain_once': UNSAFE, 'stream_once': ONE_RUN}
_ANY_BYTE = [
    (f'{form}_{ending}', answer, reset)
    for form, answer in WHOLE.items()
    for ending, reset in _ENDINGS.items()
]
#: Seconds within which each request must be answered.
_MAX_WAIT_S = 20


def _cases(routes, forms):
    cases = itertools.product(routes.items(), forms.items(), _ENDINGS.items())
    for (name, route), (form, answer), (ending, reset) in cases:
        yield f'{name}_{form}_{ending}', route, answer, reset


class CutRequestCase(unittest.IsolatedAsyncioTestCase):
    """A router with two targets of each service on sockets."""

    async def asyncSetUp(self):
        self.curl = RelayCurl(_MAX_WAIT_S)
        self.addCleanup(self.curl.close)
        self.harness = RelayHarness(exchange=self.curl)

    async def start_targets(self, answer, *, reset=False):
        """Start targets, the first of which to be asked gives an answer."""
        self.target = CutTarget([answer], reset)
        self.addCleanup(self.target.stop)
        for service in (relay_samples.ENGINES, relay_samples.DESK):
            for number in (1, 2):
                new = entry(f'{service}-{number}', service, version=1)
                address = await self.target.start()
                self.harness.chooser.places.put(
                    attrs.evolve(new, address=address)
                )

    async def request(self, route, answer, *, reset, method='POST'):
        """Send a request that gets an answer, and return its response."""
        await self.start_targets(answer, reset=reset)
        response = RecordingResponse()
        call = attrs.evolve(relay_samples.call(route), method=method)
        run = RelayRun(self.harness.parts, call, response)
        async with asyncio.timeout(_MAX_WAIT_S):
            await run.run()
        return response

    def assert_whole(self, response):
        """Check that the caller has the whole answer of a target."""
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, OWN)
        self.assertTrue(response.complete)


class CutHeadTest(CutRequestCase):
    """An answer whose head isn't whole, whatever it says, is no answer."""

    @parameterized.expand(_cases(_REPEATABLE, samples.CUT_HEADS))
    async def test_goes_on_elsewhere(self, _, route, head, reset):
        """Guards against an empty answer framed as whole."""
        self.assert_whole(await self.request(route, head, reset=reset))
        self.assertEqual(self.target.requests, 2)

    @parameterized.expand(_cases(_ONCE, samples.CUT_HEADS))
    async def test_may_have_run(self, _, route, head, reset):
        """Guards against a promise that a request has not run."""
        response = await self.request(route, head, reset=reset)
        self.assertEqual(response.status, 502)
        self.assertEqual(self.target.requests, 1)


class CutBodyTest(CutRequestCase):
    """An answer that ends before its length or its last chunk."""

    @parameterized.expand(_cases(_REPEATABLE, samples.CUT_BODIES))
    async def test_goes_on_elsewhere(self, _, route, answer, reset):
        """Guards against a short answer framed as whole."""
        body, _events = answer
        self.assert_whole(await self.request(route, body, reset=reset))
        self.assertEqual(self.target.requests, 2)

    @parameterized.expand(_cases(_ONCE, samples.CUT_BODIES))
    async def test_looks_incomplete(self, _, route, answer, reset):
        """Guards against a stream that passes for whole, or is run again."""
        body, events = answer
        response = await self.request(route, body, reset=reset)
        if route.streams and events:
            self.assertEqual(response.status, 200)
            self.assertTrue(response.aborted)
            self.assertFalse(response.complete)
        else:
            self.assertEqual(response.status, 502)
        self.assertEqual(self.target.requests, 1)

    @parameterized.expand(_cases(_REPEATABLE | _ONCE, {'whole': None}))
    async def test_without_length(self, _, route, _body, reset):
        """A body without a length is whole if its connection ends in order."""
        response = await self.request(route, samples.TO_CLOSE, reset=reset)
        if reset and route is ONE_RUN:
            self.assertFalse(response.complete)
        elif reset and route is UNSAFE:
            self.assertEqual(response.status, 502)
        else:
            self.assert_whole(response)

    async def test_plain_without_length_ends_within(self):
        """Nothing shows that such a body is cut."""
        cut = samples.TO_CLOSE[:-5]
        response = await self.request(PLAIN, cut, reset=False)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, OWN[:-5])

    async def test_stream_without_length_ends_within(self):
        """Guards against a stream that ends within an event as whole."""
        cut = samples.TO_CLOSE[:-5]
        self.assert_whole(await self.request(STREAM, cut, reset=False))
        self.assertEqual(self.target.requests, 2)


class EmptyBodyTest(CutRequestCase):
    """Successes without a length whose connection ends behind the head."""

    @parameterized.expand(_REPEATABLE.items())
    async def test_goes_on_elsewhere(self, _, route):
        """Guards against an empty answer framed as whole.

        A target writes its head first, and often crashes as it begins to
        answer.
        """
        answer = b'%b\r\n' % samples.HEAD
        self.assert_whole(await self.request(route, answer, reset=False))
        self.assertEqual(self.target.requests, 2)

    @parameterized.expand(_ONCE.items())
    async def test_may_have_run(self, _, route):
        """Guards against the same where no other attempt may follow."""
        answer = b'%b\r\n' % samples.HEAD
        response = await self.request(route, answer, reset=False)
        self.assertEqual(response.status, 502)
        self.assertEqual(self.target.requests, 1)

    @parameterized.expand(
        (
            ('head', 'HEAD', samples.HEAD),
            ('no_content', 'POST', samples.HEAD.replace(b'200', b'204')),
        )
    )
    async def test_has_no_body(self, _, method, head):
        """Guards against refusing answers that never have a body."""
        response = await self.request(
            PLAIN, b'%b\r\n' % head, reset=False, method=method
        )
        self.assertTrue(response.complete)
        self.assertEqual(response.body, b'')
        self.assertEqual(self.target.requests, 1)


class AnyByteTest(unittest.IsolatedAsyncioTestCase):
    """Exchanges that end behind any byte of an answer."""

    async def start(self, script, *, reset):
        """Start a target with its answers."""
        self.codec = RelayHarness().parts.codec
        self.target = CutTarget(list(script), reset)
        self.addCleanup(self.target.stop)
        self.address = await self.target.start()

    async def exchange(self, *, method='GET', repeats=1):
        """Send attempts with one client, and return the ends and the heads."""
        outgoing = Outgoing(
            target=attrs.evolve(entry('i', 's'), address=self.address),
            method=method,
            path='/a',
            headers=(),
        )
        curl = RelayCurl(_MAX_WAIT_S)
        intakes = [AnswerIntake(self.codec, REQUEST) for _ in range(repeats)]
        async with asyncio.timeout(_MAX_WAIT_S):
            ends = [await curl.send(outgoing, intake) for intake in intakes]
        curl.close()
        return ends, [intake.head for intake in intakes]

    @parameterized.expand(_ANY_BYTE)
    async def test_is_broken(self, _, answer, reset):
        """Guards against an answer that passes for whole."""
        script = samples.beginnings(answer)
        await self.start(script, reset=reset)
        for sent in script:
            ends, _heads = await self.exchange()
            with self.subTest(sent=sent):
                self.assertEqual(ends, [BROKEN])
        self.assertEqual(self.target.requests, len(script))

    @parameterized.expand(_ANY_BYTE)
    async def test_reused_connection(self, _, answer, reset):
        """Guards against a request that curl sends twice by itself."""
        cuts = samples.beginnings(answer)
        script = itertools.chain.from_iterable((None, cut) for cut in cuts)
        await self.start(script, reset=reset)
        for sent in cuts:
            ends, _heads = await self.exchange(repeats=2)
            with self.subTest(sent=sent):
                self.assertEqual(ends, [None, BROKEN])
        self.assertEqual(self.target.requests, 2 * len(cuts))

    @parameterized.expand(_ENDINGS.items())
    async def test_head_request(self, _, reset):
        """Guards against an answer to HEAD from a part of its head."""
        head, _end, _body = WHOLE['length'].partition(OWN)
        script = [*samples.beginnings(head), head]
        await self.start(script, reset=reset)
        for sent in script:
            ends, heads = await self.exchange(method='HEAD')
            with self.subTest(sent=sent):
                self.assertEqual(ends, [None if sent == head else BROKEN])
                self.assertEqual(heads[0] is None, sent != head)


if __name__ == '__main__':
    unittest.main()
