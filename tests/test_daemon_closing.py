"""Tests of daemons that share the callers' port."""

import asyncio
import time
import unittest

from balsamreach.config.reader import check_ports, read_settings
from tests.deployment import Deployment

_GET = b'GET /healthz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n'
_CALLERS = 40


class SharedPortTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons on one port, one of which leaves."""

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

    async def ask(self):
        host, port = self.address.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_GET)
        received = await reader.read()
        writer.close()
        return received

    async def ask_while_one_leaves(self):
        """Return the answers to callers as the first daemon leaves."""
        first = self.deployment.routers.pop(0)
        asking = [asyncio.create_task(self.ask()) for _ in range(_CALLERS)]
        leaving = asyncio.create_task(first.leave())
        for _ in range(_CALLERS):
            await asyncio.sleep(0)
            asking.append(asyncio.create_task(self.ask()))
        answers = await asyncio.gather(*asking)
        await leaving
        return answers

    async def test_leaving_daemon_resets_nobody(self):
        """A restart of one daemon breaks connections of callers.

        Symptom: callers see reset connections whenever one of the daemons
        on a port is restarted. Events: the kernel completes connections
        for a daemon; it closes its socket before it has accepted them.
        Cause: what a closing socket has not accepted is reset, also where
        others listen on the port.
        """
        answers = await self.ask_while_one_leaves()
        for answer in answers:
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertTrue((await self.ask()).startswith(b'HTTP/1.1 200'))

    async def test_leaving_daemon_that_stood_still(self):
        """A restart on a busy host breaks connections of callers.

        Symptom: the same, or connections closed without an answer, where
        the host is busy. Events: the daemon stands still as it leaves;
        connections are let in and their requests lie unread. Cause: such a
        connection was taken for an idle one and closed.
        """
        loop = asyncio.get_running_loop()
        for delay in (0, 0.3):
            loop.call_later(delay, time.sleep, 0.4)
        answers = await self.ask_while_one_leaves()
        self.assertEqual({answer[:12] for answer in answers}, {b'HTTP/1.1 200'})

    async def test_check_of_the_port_takes_no_connection(self):
        """A daemon's start breaks connections of those that run.

        Symptom: callers see reset connections whenever a daemon starts on
        a shared port. Events: the start checks its ports by listening and
        closing. Cause: the kernel sends that socket its part.
        """
        cfg = self.deployment.settings('router-c')
        asking = []
        for _ in range(_CALLERS):
            asking.append(asyncio.create_task(self.ask()))
            await asyncio.sleep(0)
            self.assertIsNone(check_ports(cfg))
        answers = await asyncio.gather(*asking)
        self.assertEqual({answer[:12] for answer in answers}, {b'HTTP/1.1 200'})

    async def test_port_is_not_shared_unless_asked(self):
        port = self.address.rpartition(':')[2]
        cfg = read_settings(
            None,
            ('host.zone=zone-a', f'callers.port={port}'),
        )
        self.assertIn('callers', str(check_ports(cfg)))
