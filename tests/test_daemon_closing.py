"""Tests of daemons that share one port for callers."""

import asyncio
import time
import unittest

from balsamreach.config.reader import check_ports, read_settings
from tests.deployment import Deployment

_HEALTH_REQUEST = (
    b'GET /healthz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n'
)
_CALLERS = 40


class SharedPortTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons share a port, and one of them shuts down."""

    async def asyncSetUp(self):
        self.deployment = Deployment(
            ('callers.reuse_port=yes', 'callers.leave_delay=0s'),
        )
        await self.deployment.start()
        self.address = self.deployment.callers
        port = self.address.rpartition(':')[2]
        self.deployment.overrides += (f'callers.port={port}',)
        await self.deployment.add_router('router-b')

    async def asyncTearDown(self):
        await self.deployment.stop()

    async def request_health(self):
        host, port = self.address.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_HEALTH_REQUEST)
        received = await reader.read()
        writer.close()
        return received

    async def request_during_shutdown(self):
        """Shut the first daemon down; return the responses meanwhile."""
        first = self.deployment.routers.pop(0)
        requests = [
            asyncio.create_task(self.request_health()) for _ in range(_CALLERS)
        ]
        shutdown = asyncio.create_task(first.leave())
        for _ in range(_CALLERS):
            await asyncio.sleep(0)
            requests.append(asyncio.create_task(self.request_health()))
        answers = await asyncio.gather(*requests)
        await shutdown
        return answers

    async def test_shutdown_resets_no_connection(self):
        """Shutting down one daemon resets no connection.

        Guards against resets when one of the daemons on a port restarts: the
        kernel resets connections that a closing socket has not accepted,
        even if other daemons listen on the port.
        """
        answers = await self.request_during_shutdown()
        for answer in answers:
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertTrue(
            (await self.request_health()).startswith(b'HTTP/1.1 200')
        )

    async def test_pause_during_shutdown_breaks_no_connection(self):
        """A pause of the daemon during its shutdown breaks no connection.

        Guards against connections that are reset or closed without a
        response on a busy host: during the pause, requests arrive on accepted
        connections and are not read. Such a connection was taken for idle
        and closed.
        """
        loop = asyncio.get_running_loop()
        for delay in (0, 0.3):
            loop.call_later(delay, time.sleep, 0.4)
        answers = await self.request_during_shutdown()
        self.assertEqual({answer[:12] for answer in answers}, {b'HTTP/1.1 200'})

    async def test_port_check_takes_no_connection(self):
        """Checking the port of a new daemon resets no connection.

        Guards against resets when a daemon starts on a shared port: if the
        check listens and closes again, the kernel assigns some of the new
        connections to that socket.
        """
        cfg = self.deployment.settings('router-c')
        requests = []
        for _ in range(_CALLERS):
            requests.append(asyncio.create_task(self.request_health()))
            await asyncio.sleep(0)
            self.assertIsNone(check_ports(cfg))
        answers = await asyncio.gather(*requests)
        self.assertEqual({answer[:12] for answer in answers}, {b'HTTP/1.1 200'})

    async def test_port_is_not_shared_by_default(self):
        port = self.address.rpartition(':')[2]
        cfg = read_settings(
            None,
            ('host.zone=zone-a', f'callers.port={port}'),
        )
        self.assertIn('callers', str(check_ports(cfg)))
