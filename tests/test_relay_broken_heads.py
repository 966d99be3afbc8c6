"""Tests of targets that answer with a head that is none."""

import itertools
import unittest

import attrs
from parameterized import parameterized
from tornado.testing import bind_unused_port

from balsamreach.clock import SystemClock
from balsamreach.daemon.listeners import GuardedServer
from balsamreach.gateway.relay_server import RelayServer
from balsamreach.relay.run import RelayRun
from tests import broken_heads, relay_samples
from tests.cut_targets import OWN
from tests.deployment import exchange, parse_answer
from tests.guard_samples import make_guard
from tests.relay_samples import ONE_RUN, PLAIN, STREAM, UNSAFE
from tests.test_relay_cut_answers import CutRequestCase

_REPEATABLE = {'plain': PLAIN, 'stream': STREAM}
_ONCE = {'plain_once': UNSAFE, 'stream_once': ONE_RUN}
_BROKEN = broken_heads.ALL | broken_heads.JOINED
_GET = b'GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'


def _cases(routes, forms):
    cases = itertools.product(routes.items(), forms.items())
    for (name, route), (form, answer) in cases:
        yield f'{name}_{form}', route, answer


class BrokenHeadTest(CutRequestCase):
    """A head that isn't one makes no answer of what follows it."""

    @parameterized.expand(_cases(_REPEATABLE, _BROKEN))
    async def test_goes_on_elsewhere(self, _, route, answer):
        """Guards against a body that is not the target's."""
        response = await self.request(route, answer, reset=False)
        self.assert_whole(response)
        self.assertEqual(self.target.requests, 2)

    @parameterized.expand(_cases(_ONCE, _BROKEN))
    async def test_may_have_run(self, _, route, answer):
        """Guards against running a request twice, or promising no run."""
        response = await self.request(route, answer, reset=False)
        self.assertEqual(response.status, 502)
        self.assertTrue(response.complete)
        self.assertEqual(self.target.requests, 1)
        parts = self.harness.parts.quarantine.parts
        self.assertTrue(parts.suspects.is_empty())

    @parameterized.expand(_cases(_ONCE, _BROKEN))
    async def test_refusal_is_no_promise(self, _, route, answer):
        """Guards against a promise that is read from such a head."""
        refusal = answer.replace(
            b'Response-Stamp: s', b'Not-Executed: 1'
        ).replace(b' 200 ', b' 503 ')
        response = await self.request(route, refusal, reset=False)
        self.assertEqual(response.status, 502)
        self.assertEqual(self.target.requests, 1)


class SoundHeadTest(CutRequestCase):
    """Heads that are unusual."""

    @parameterized.expand(_cases(_REPEATABLE | _ONCE, broken_heads.SOUND))
    async def test_is_whole(self, _, route, answer):
        """Guards against refusing what HTTP allows."""
        response = await self.request(route, answer, reset=False)
        self.assert_whole(response)
        self.assertEqual(self.target.requests, 1)


class OnTheWireTest(CutRequestCase):
    """The bytes that a caller gets on its connection."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        relay = RelayServer(self.answer, SystemClock())
        listener, port = bind_unused_port()
        server = GuardedServer(make_guard(relay))
        server.add_sockets([listener])
        self.addCleanup(server.stop)
        self.address = f'127.0.0.1:{port}'

    async def answer(self, request, caller_response):
        """Run the test's request for each request."""
        call = attrs.evolve(self.call, method=request.method)
        await RelayRun(self.harness.parts, call, caller_response).run()

    async def fetch(self, route, answer, method='GET'):
        """Have a target answer, and return what a caller of a route gets."""
        await self.start_targets(answer)
        self.call = relay_samples.call(route)
        sent = _GET.replace(b'GET', method.encode())
        return await exchange(self.address, sent)

    @parameterized.expand(_cases(_ONCE, _BROKEN))
    async def test_broken_head(self, _, route, answer):
        """Guards against a connection that closes without an answer."""
        received = parse_answer(await self.fetch(route, answer))
        self.assertEqual(received.status, 502)

    @parameterized.expand(_cases(_REPEATABLE | _ONCE, broken_heads.SOUND))
    async def test_sound_head(self, _, route, answer):
        """Guards against framing a body by what its target said of it."""
        received = await self.fetch(route, answer)
        parsed = parse_answer(received.replace(b'\xe9', b'e'))
        self.assertEqual((parsed.status, parsed.body), (200, OWN))

    @parameterized.expand(
        (
            ('no_content', 'POST', b'HTTP/1.1 204 None\r\n', 204),
            ('not_modified', 'GET', b'HTTP/1.1 304 Same\r\n', 304),
            ('head', 'HEAD', b'HTTP/1.1 200 OK\r\n', 200),
        )
    )
    async def test_length_without_body(self, _, method, line, status):
        """Guards against a connection that closes within such an answer."""
        head = broken_heads.SOUND['no_reason'].partition(b'\r\n')[2]
        answer = b'%b%b' % (line, head.removesuffix(OWN))
        received = await self.fetch(PLAIN, answer, method)
        self.assertTrue(received.startswith(b'HTTP/1.1 %d ' % status))
        self.assertTrue(received.endswith(b'\r\n\r\n'), received)
        self.assertEqual(self.target.requests, 1)

    async def test_connection_options(self):
        """Guards against passing on what concerns the target's connection."""
        named = b'Connection: X-Hop, close\r\nX-Hop: 1\r\nX-End: 1\r\n'
        answer = broken_heads.SOUND['no_reason'].replace(
            b'Attempt-Id', b'%bAttempt-Id' % named
        )
        received = parse_answer(await self.fetch(PLAIN, answer))
        self.assertEqual(received.body, OWN)
        self.assertEqual(received.header('X-End'), '1')
        self.assertFalse(received.header('X-Hop'))


if __name__ == '__main__':
    unittest.main()
