"""Tests of targets that answer a long upload at once, and reset it."""

import asyncio
import itertools
import socket
import struct
import unittest

import attrs
from parameterized import parameterized

from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.relay.run import RelayRun
from tests import relay_samples
from tests.cut_targets import HEAD, OWN, WHOLE
from tests.relay_harness import RelayHarness
from tests.relay_samples import DESK, ENGINES, ONE_RUN, PLAIN, STREAM, UNSAFE
from tests.relay_scripts import RecordingResponse

_UPLOAD = b'x' * (4 << 20)
_RECEIVE_BYTES = 16 * 1024
_NO_LINGER = struct.pack('ii', 1, 0)
#: Seconds between a part of the answer and the reset, in which the router
#: reads it.
_PAUSE_S = 0.05
_MAX_WAIT_S = 20
_REPEATABLE = {'plain': PLAIN, 'stream': STREAM}
_ONCE = {'plain_once': UNSAFE, 'stream_once': ONE_RUN}
_METHODS = ('POST', 'PUT')
#: Parts of a success without a length.
_PARTS = {
    'head': b'%b\r\n' % HEAD,
    'part_of_body': b'%b\r\n%b' % (HEAD, OWN[:-5]),
    'body': b'%b\r\n%b' % (HEAD, OWN),
}


def _cases(routes):
    cases = itertools.product(routes.items(), _METHODS, _PARTS.items())
    for (name, route), method, (part, answer) in cases:
        yield f'{name}_{method}_{part}', route, method, answer


@attrs.define(eq=False)
class EarlyTarget:
    """Answers its first upload before it has read it, the others whole.

    Parameters
    ----------
    answer : bytes
        What it writes before it resets the connection.
    requests : int
        Requests that it received.
    """

    answer: bytes
    requests: int = 0
    servers: list[asyncio.Server] = attrs.field(factory=list)

    async def start(self) -> str:
        """Start to listen at one more address, and return it."""
        listener = socket.socket()
        # The upload is still being written when the answer comes.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        listener.bind(('127.0.0.1', 0))
        self.servers.append(
            await asyncio.start_server(self._serve, sock=listener)
        )
        host, port = listener.getsockname()
        return f'{host}:{port}'

    def stop(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        if self.requests > 1:
            await reader.readexactly(len(_UPLOAD))
            writer.write(WHOLE['length'])
            writer.close()
            return
        writer.write(self.answer)
        await writer.drain()
        await asyncio.sleep(_PAUSE_S)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        writer.transport.abort()


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A part of an answer is no answer, also if it comes early."""

    async def asyncSetUp(self):
        self.curl = RelayCurl(_MAX_WAIT_S)
        self.addCleanup(self.curl.close)
        self.harness = RelayHarness(exchange=self.curl)

    async def request(self, route, method, answer):
        """Send an upload, and return the response that its caller gets."""
        self.target = EarlyTarget(answer)
        self.addCleanup(self.target.stop)
        for service in (ENGINES, DESK):
            for number in (1, 2):
                new = relay_samples.entry(
                    f'{service}-{number}', service, version=1
                )
                address = await self.target.start()
                self.harness.chooser.places.put(
                    attrs.evolve(new, address=address)
                )
        call = attrs.evolve(
            relay_samples.call(route), method=method, body=_UPLOAD
        )
        response = RecordingResponse()
        async with asyncio.timeout(_MAX_WAIT_S):
            await RelayRun(self.harness.parts, call, response).run()
        return response

    @parameterized.expand(_cases(_REPEATABLE))
    async def test_goes_on_elsewhere(self, _, route, method, answer):
        """Guards against a part that passes for a complete answer."""
        response = await self.request(route, method, answer)
        self.assertEqual(response.body, OWN)
        self.assertTrue(response.complete)
        self.assertEqual(self.target.requests, 2)

    @parameterized.expand(_cases(_ONCE))
    async def test_looks_incomplete(self, _, route, method, answer):
        """Guards against the same where no other attempt may follow."""
        response = await self.request(route, method, answer)
        self.assertFalse(response.complete and response.status == 200)
        self.assertEqual(self.target.requests, 1)


if __name__ == '__main__':
    unittest.main()
