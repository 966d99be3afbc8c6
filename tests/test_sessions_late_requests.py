"""Sessions with requests that come late while a router is being stopped."""

import asyncio
import unittest
from functools import partial

from parameterized import parameterized

from tests.deployment import SECRET, SERVICE, Deployment, parse_answer, until

_LEAVE_TIMEOUT_S = 2
_SETTINGS = (f'callers.leave_timeout={_LEAVE_TIMEOUT_S}s',)
_DELAY_MS = 600
#: Callers, whose bodies end one after the other until the router is gone.
_CALLERS = 14
_PAUSE_S = 0.15
_HEAD = '\r\n'.join(
    (
        f'POST /services/{SERVICE}/report HTTP/1.1',
        'Host: router',
        f'Authorization: Bearer {SECRET}',
        'Content-Length: 4',
        'Connection: close',
        '',
        '',
    )
).encode()
#: Stands for a connection that closes without an answer.
_NOTHING = b'HTTP/1.1 0 Nothing\r\n\r\n'


async def _end(reader, writer):
    writer.write(b'body')
    received = await reader.read()
    writer.close()
    return parse_answer(received or _NOTHING)


class LateRequestsTest(unittest.IsolatedAsyncioTestCase):
    """A planned stop of one router of `serve`, in calm."""

    async def asyncSetUp(self):
        self.deployment = Deployment(_SETTINGS)
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        self.service = self.deployment.service.core
        self.service.cfg.delay_ms = _DELAY_MS
        self.is_closing = False

    async def begin(self):
        """Send all of a request but the end of its body."""
        host, port = self.deployment.callers.rsplit(':', 1)
        streams = await asyncio.open_connection(host, port)
        streams[1].write(_HEAD)
        return streams

    async def close_connections(self, close):
        """Close them once the router has read what was sent before."""
        self.is_closing = True
        await asyncio.sleep(_PAUSE_S)
        await close()

    @parameterized.expand((('known', True), ('unknown', False)))
    async def test_planned_stop(self, _, is_known):
        """Guards against late requests that are cut off, and run for nothing.

        The router takes them until its time to leave is over. What it has
        received before it closes the connections must be answered.
        """
        address = self.deployment.service.address
        self.assertTrue(await until(lambda: address))
        served = int(is_known)
        if is_known:
            answer = await _end(*await self.begin())
            self.assertEqual(answer.status, 200)
        callers = [await self.begin() for _ in range(_CALLERS)]
        ends = [asyncio.ensure_future(_end(*await self.begin()))]
        router = self.deployment.routers.pop()
        server = router.callers.server
        server.close_all_connections = partial(
            self.close_connections, server.close_all_connections
        )
        self.assertTrue(await until(lambda: router.parts.dispatcher.running))
        left = asyncio.ensure_future(router.leave())
        for streams in callers:
            await asyncio.sleep(_PAUSE_S)
            if self.is_closing:
                streams[1].close()
            else:
                ends.append(asyncio.ensure_future(_end(*streams)))
        answers = await asyncio.gather(*ends)
        await left
        statuses = [answer.status for answer in answers]
        self.assertGreater(len(statuses), 3)
        self.assertLessEqual(set(statuses), {200, 503})
        served += statuses.count(200)
        self.assertEqual(self.service.runs['/report'], served)


if __name__ == '__main__':
    unittest.main()
