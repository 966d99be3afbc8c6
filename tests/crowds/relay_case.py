"""A relay router process beside a crowd of clients."""

import asyncio
import unittest
from collections.abc import Awaitable
from http import HTTPStatus

from tests.crowds.clients import Crowd, send_crowd
from tests.crowds.usage import Usage
from tests.deployment import exchange, parse_answer
from tests.listed_fleet import ORDER
from tests.soak_fleet import SoakFleet

MEMORY_MIB = 160
#: Descriptors of a host, and those of them that are for files.
_MAX_FDS, _FILES = 3075, 200
_MAX_SOCKETS = _MAX_FDS - _FILES
_HOST_LIMITS = f"""[limits]
memory_mb = {MEMORY_MIB}
max_fds = {_MAX_FDS}
"""
MAX_BODY = 2 << 20
_CALLER_LIMITS = {
    'max_body_bytes': MAX_BODY,
    'max_header_bytes': 16_384,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 10_000,
}
READY, CALLERS, FORWARDING, PEERS = 8220, 8227, 7340, 8229
#: Times that a caller sends its request again when it is told to, and the most
#: that it waits before.
_MAX_RETRIES = 10
_MAX_RETRY_WAIT_S = 5.0
_HANG_S = 60
PATH = f'/{ORDER}/1'


def make_head(*headers: str, path: str = PATH) -> bytes:
    """Return the head of a request of the crowd."""
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: host.example',
        'Authorization: Bearer key-a',
        'Attempt-Id: crowd',
        'Deadline-Ms: 20000',
        *headers,
    )
    return '\r\n'.join((*lines, '', '')).encode()


class RelayCrowdCase(unittest.IsolatedAsyncioTestCase):
    """One router process, a store, and targets in the test's process."""

    async def asyncSetUp(self):
        self.fleet = SoakFleet(
            seed=1,
            is_first_start=True,
            host_limits=_HOST_LIMITS,
            caller_limits=_CALLER_LIMITS,
            repeated_share=0,
            broken_share=0,
        )
        self.addAsyncCleanup(self.fleet.stop)

    async def start(self):
        """Start the router, when its targets are listed."""
        await self.fleet.start(routers=1)
        self.router = self.fleet.routers[0]

    async def check_crowd(self, port: int, crowd: Crowd):
        """Check the process beside a crowd at one of its ports."""
        await self.check(send_crowd(f'{self.router.ip}:{port}', crowd))

    async def check(self, crowd: Awaitable[object], path: str = PATH):
        """Check the process beside a crowd, and a request after it."""
        process = self.router.process
        usage = Usage(process.pid, self.router.ip)
        usage.start()
        await crowd
        status = await self.request(path)
        self.assertIsNone(process.returncode)
        await usage.stop()
        self.assertEqual(status, HTTPStatus.OK)
        self.assertLessEqual(usage.memory_mib, MEMORY_MIB)
        self.assertLessEqual(usage.descriptors, _MAX_SOCKETS)

    async def request(self, path: str):
        """Send an ordinary request, and again when told to; return a status."""
        address = f'{self.router.ip}:{CALLERS}'
        body = b'x' * 800
        length = f'Content-Length: {len(body)}'
        # Targets answer a request with this header by a stream.
        tokens = () if path == PATH else ('Token-Counts: 10,5',)
        head = make_head(length, 'Connection: close', *tokens, path=path)
        for _ in range(_MAX_RETRIES):
            async with asyncio.timeout(_HANG_S):
                answer = parse_answer(await exchange(address, head + body))
            wait = float(answer.header('Retry-After') or 0)
            if answer.status != HTTPStatus.SERVICE_UNAVAILABLE or not wait:
                break
            await asyncio.sleep(min(wait, _MAX_RETRY_WAIT_S))
        return answer.status
