"""Tests of targets whose answers have no end."""

import asyncio
import itertools
import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.catalogue.entries import Route
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.relay.run import RelayRun
from tests import endless_targets as samples
from tests import relay_samples
from tests.deployment import until
from tests.endless_targets import OWN, Endless, EndlessTarget, max_taken
from tests.relay_harness import RelayHarness
from tests.relay_samples import ONE_RUN, PLAIN, STREAM, UNSAFE, entry
from tests.relay_scripts import RecordingResponse

_PLAIN_FORMS = samples.ANY | samples.BODIES | samples.ERRORS
_STREAM_FORMS = samples.ANY | samples.ERRORS | samples.EVENTS
#: The largest of the router's limits, that of a plain answer.
_MAX_TAKEN_BYTES = max_taken(8 << 20)
#: Time limit of the requests in seconds, far beyond any wait of a test.
_DEADLINE_S = 60
#: Seconds within which each request must be answered.
_MAX_WAIT_S = 40
#: The same for a stream that goes on to its time limit.
_SHORT_DEADLINE_S = 1
_SPEEDS = {'fast': False, 'slow': True}
_SEEDS = 3
_SEEDED_REQUESTS = 24


def _cases(forms: dict[str, Endless], **routes: Route):
    cases = itertools.product(routes.items(), forms.items(), _SPEEDS.items())
    for (name, route), (form, endless), (speed, slow) in cases:
        yield f'{name}_{form}_{speed}', route, endless, slow


class FullResponse(RecordingResponse):
    """The response to a caller that reads nothing after the first bytes."""

    @property
    def should_pause(self) -> bool:
        """Whether the caller has got bytes."""
        return bool(self.body)


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    """A router with two targets of each service on sockets."""

    async def asyncSetUp(self):
        self.curl = RelayCurl(_MAX_WAIT_S)
        self.addCleanup(self.curl.close)
        self.harness = RelayHarness(exchange=self.curl)

    async def start(self, *script):
        """Start the targets."""
        self.target = EndlessTarget(list(script))
        self.addCleanup(self.target.stop)
        for service in (relay_samples.ENGINES, relay_samples.DESK):
            for number in (1, 2):
                new = entry(f'{service}-{number}', service, version=1)
                address = await self.target.start()
                self.harness.chooser.places.put(
                    attrs.evolve(new, address=address)
                )

    async def request(self, route, response=None, seconds=_DEADLINE_S):
        """Send a request, and return the response that its caller gets."""
        call = relay_samples.call(route, seconds=seconds)
        response = response or RecordingResponse()
        run = RelayRun(self.harness.parts, call, response)
        async with asyncio.timeout(_MAX_WAIT_S):
            await run.run()
        return response

    async def assert_dropped(self):
        """Check that the connection is closed, and few bytes were taken."""
        self.assertTrue(await until(lambda: not self.target.open_answers))
        self.assertLess(self.target.written, _MAX_TAKEN_BYTES)

    def failures(self):
        """Return how many targets have failed."""
        places = self.harness.chooser.places
        return sum(
            place.breaker.consecutive_failures
            for service in (relay_samples.ENGINES, relay_samples.DESK)
            for place in places.of_service(service)
        )


class CrashEvidenceTest(EndlessCase):
    """Bytes that are no answer don't show that a target has crashed."""

    @parameterized.expand(list(samples.NO_ANSWERS.items()))
    async def test_is_no_crash(self, _, endless):
        """Guards against refusing all prompts that share a part.

        The router closes the connections; the targets are up.
        """
        await self.start((endless, False), (endless, False))
        response = await self.request(STREAM)
        self.assertEqual(response.status, 502)
        self.assertEqual(self.target.requests, 2)
        quarantine = self.harness.parts.quarantine
        self.assertTrue(quarantine.parts.suspects.is_empty())
        await self.assert_dropped()


class RepeatableTest(EndlessCase):
    """A request that may be repeated goes on at another target."""

    @parameterized.expand(
        itertools.chain(
            _cases(_PLAIN_FORMS, plain=PLAIN),
            _cases(_STREAM_FORMS, stream=STREAM),
        )
    )
    async def test_goes_on_elsewhere(self, _, route, endless, slow):
        """Guards against requests held to their time limit, or lost."""
        await self.start((endless, slow))
        response = await self.request(route)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, OWN)
        self.assertTrue(response.complete)
        self.assertEqual(self.target.requests, 2)
        self.assertEqual(self.failures(), 1)
        await self.assert_dropped()


class RepeatedEventTest(EndlessCase):
    """A stream that repeats an event is no answer to its caller."""

    @parameterized.expand(tuple(_SPEEDS.items()))
    async def test_goes_on_elsewhere(self, _, slow):
        """Guards against a caller that gets nothing up to its time limit."""
        await self.start((samples.REPEATED, slow))
        response = await self.request(STREAM)
        self.assertEqual(response.body, OWN)
        self.assertTrue(response.complete)
        self.assertEqual(self.target.requests, 2)
        self.assertTrue(await until(lambda: not self.target.open_answers))


class OnceTest(EndlessCase):
    """A request that may not be repeated is answered."""

    @parameterized.expand(
        itertools.chain(
            _cases(_PLAIN_FORMS, plain=UNSAFE),
            _cases(_STREAM_FORMS, stream=ONE_RUN),
        )
    )
    async def test_is_answered(self, _, route, endless, slow):
        """Guards against requests held to their time limit, or run twice."""
        await self.start((endless, slow))
        response = await self.request(route)
        if response.status == 200:
            self.assertTrue(response.aborted)
            self.assertFalse(response.complete)
        else:
            self.assertEqual(response.status, 502)
        self.assertEqual(self.target.requests, 1)
        self.assertEqual(self.failures(), 1)
        await self.assert_dropped()


class StreamTest(EndlessCase):
    """A stream that always has a next event ends with its time limit."""

    @parameterized.expand(_cases(samples.STREAMS, again=STREAM, once=ONE_RUN))
    async def test_looks_incomplete(self, _, route, endless, slow):
        """Guards against a stream that passes for whole, or is run again."""
        await self.start((endless, slow))
        response = await self.request(route, seconds=_SHORT_DEADLINE_S)
        self.assertEqual(response.status, 200)
        self.assertTrue(response.aborted)
        self.assertFalse(response.complete)
        self.assertEqual(self.target.requests, 1)
        self.assertTrue(await until(lambda: not self.target.open_answers))

    @parameterized.expand(list(samples.STREAMS.items()))
    async def test_slow_caller(self, _, endless):
        """Guards against a stream that piles up for a caller that stops."""
        await self.start((endless, False))
        response = await self.request(
            STREAM, FullResponse(), seconds=_SHORT_DEADLINE_S
        )
        self.assertTrue(response.aborted)
        await self.assert_dropped()


class BehindTest(EndlessCase):
    """Bytes behind a whole answer belong to no request."""

    @parameterized.expand(
        _cases(
            {'behind': samples.BEHIND},
            plain=PLAIN,
            plain_once=UNSAFE,
            stream=STREAM,
            stream_once=ONE_RUN,
        )
    )
    async def test_is_answered(self, _, route, endless, slow):
        """Guards against passing such bytes on, now or to the next request."""
        await self.start((endless, slow))
        await self.assert_answered(route)
        await self.assert_answered(route)
        self.assertEqual(self.target.requests, 2)
        await self.assert_dropped()

    async def assert_answered(self, route):
        """Send a request, and check that its caller gets the answer."""
        response = await self.request(route)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, OWN)
        self.assertTrue(response.complete)


class SeededTest(EndlessCase):
    """Many requests at once, of which some get bytes without end."""

    @parameterized.expand([(seed,) for seed in range(_SEEDS)])
    async def test_verdict(self, seed):
        """Guards against mixed answers and forgotten connections."""
        rng = random.Random(seed)
        forms = [None, None, *(_PLAIN_FORMS | _STREAM_FORMS).values()]
        await self.start(
            *(
                (rng.choice(forms), rng.choice((False, True)))
                for _request in range(_SEEDED_REQUESTS)
            )
        )
        routes = rng.choices(
            (PLAIN, UNSAFE, STREAM, ONE_RUN), k=_SEEDED_REQUESTS
        )
        responses = await asyncio.gather(*map(self.request, routes))
        for response in responses:
            if response.status == 200 and not response.aborted:
                self.assertEqual(response.body, OWN)
                self.assertTrue(response.complete)
            elif response.status != 200:
                self.assertIn(response.status, (502, 503))
            else:
                self.assertFalse(response.complete)
        self.assertTrue(await until(lambda: not self.target.open_answers))


class UnseenTest(EndlessCase):
    """Bytes within a line, of which curl tells nothing."""

    @parameterized.expand(_cases(samples.UNSEEN, stream=STREAM))
    async def test_stream_goes_on_elsewhere(self, _, route, endless, slow):
        """Guards against a stream that waits up to its time limit."""
        await self.start((endless, slow))
        response = await self.request(route)
        self.assertEqual(response.body, OWN)
        self.assertEqual(self.target.requests, 2)
        self.assertTrue(await until(lambda: not self.target.open_answers))

    @parameterized.expand(_cases(samples.UNSEEN, plain=PLAIN))
    async def test_plain_ends_with_time_limit(self, _, route, endless, slow):
        """Guards against a request that outlasts its time limit."""
        await self.start((endless, slow))
        response = await self.request(route, seconds=_SHORT_DEADLINE_S)
        self.assertIn(response.status, (200, 504))
        self.assertTrue(await until(lambda: not self.target.open_answers))


class RejectionTest(EndlessCase):
    """A target's own refusal is a promise, whatever follows its head."""

    @parameterized.expand(
        _cases(
            {'rejection': samples.REJECTION},
            plain=PLAIN,
            plain_once=UNSAFE,
            stream=STREAM,
        )
    )
    async def test_goes_on_elsewhere(self, _, route, endless, slow):
        """Guards against losing a request that has run nowhere."""
        await self.start((endless, slow))
        response = await self.request(route)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, OWN)
        self.assertEqual(self.target.requests, 2)
        await self.assert_dropped()


if __name__ == '__main__':
    unittest.main()
