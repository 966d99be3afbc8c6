"""Tests that a truncated body is not taken for a complete one."""

import asyncio
import unittest

from balsamreach.table.rows import TargetRow
from tests.deployment import Deployment, exchange, request

_BODY_BYTES = 2 * 1024 * 1024
_MAX_POLLS = 200
_POLL_S = 0.02
_SENT_BYTES = _BODY_BYTES - 100000
_HEAD = f'HTTP/1.1 200 OK\r\nContent-Length: {_BODY_BYTES}\r\n\r\n'.encode()


class TruncatedBodyTest(unittest.IsolatedAsyncioTestCase):
    """One router with a service that closes its connection in the body."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        await self.deployment.start()
        server = await asyncio.start_server(_send_partial_body, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        row = TargetRow(
            name='half-0',
            address=f'127.0.0.1:{port}',
            zone='zone-a',
            service='half',
            kind='service',
        )
        await self.deployment.put_rows((row,))

    async def asyncTearDown(self):
        await self.deployment.stop()

    async def test_truncated_long_answer_ends_with_its_connection(self):
        """Guards against an error message inside a long body.

        The service dies in the body when its beginning has already been passed
        on. An appended error would make the body look complete.
        """
        received = await self._request_once_listed()
        self.assertIn(b' 200 ', received[:20])
        self.assertNotIn(b'answer_broken', received)
        self.assertFalse(received.endswith(b'0\r\n\r\n'))

    async def _request_once_listed(self):
        sent = request('GET /services/half/report')
        received = b''
        for _ in range(_MAX_POLLS):
            received = await exchange(self.deployment.callers, sent)
            if b' 404 ' not in received[:20]:
                break
            await asyncio.sleep(_POLL_S)
        return received


async def _send_partial_body(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(_HEAD + bytes(_SENT_BYTES))
    await writer.drain()
    writer.close()
