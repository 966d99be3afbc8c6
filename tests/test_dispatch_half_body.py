"""Tests that half a body is never taken for a whole one."""

import asyncio
import unittest

from balsamreach.table.rows import TargetRow
from tests.deployment import Deployment, exchange, request

_LENGTH = 2 * 1024 * 1024
_LOOKS = 200
_LOOK_S = 0.02
_SENT = _LENGTH - 100000
_HEAD = f'HTTP/1.1 200 OK\r\nContent-Length: {_LENGTH}\r\n\r\n'.encode()


class HalfBodyTest(unittest.IsolatedAsyncioTestCase):
    """One router before a service that breaks off."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        await self.deployment.start()
        server = await asyncio.start_server(_break_off, '127.0.0.1', 0)
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

    async def test_caller_of_a_long_answer_sees_that_it_is_not_whole(self):
        """A long body that breaks off ends with its connection.

        Symptom: a report with an error message in its middle, taken for
        whole.
        Sequence: a service sends a long body and dies in it.
        Cause: the beginning has been passed on, and an error was added.
        """
        received = await self._ask_once_it_is_known()
        self.assertIn(b' 200 ', received[:20])
        self.assertNotIn(b'answer_broken', received)
        self.assertFalse(received.endswith(b'0\r\n\r\n'))

    async def _ask_once_it_is_known(self):
        sent = request('GET /services/half/report')
        received = b''
        for _ in range(_LOOKS):
            received = await exchange(self.deployment.callers, sent)
            if b' 404 ' not in received[:20]:
                break
            await asyncio.sleep(_LOOK_S)
        return received


async def _break_off(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(_HEAD + bytes(_SENT))
    await writer.drain()
    writer.close()
