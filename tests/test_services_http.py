"""Tests of the platform's HTTP clients against a simulated platform."""

import asyncio
import socket
import unittest

import pycurl
from parameterized import parameterized
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from balsamreach.clock import SystemClock
from balsamreach.curl_tls import CurlTls
from balsamreach.services.base import (
    Check,
    Commit,
    HostEntry,
    Page,
    Row,
    Scan,
    Write,
)
from balsamreach.services.faults import (
    CONFLICT,
    INVALID,
    MISSING,
    UNAVAILABLE,
    UNKNOWN,
    UNREACHABLE,
    PlatformFault,
)
from balsamreach.services.hosts_http import HttpHostList, HttpWeightStore
from balsamreach.services.http import Call, PlatformClient, _Transfer
from balsamreach.services.objects_http import HttpObjectStore
from balsamreach.services.table_http import HttpTableService
from balsamreach.standins.serve import PlatformSettings, start_platform

_TIMEOUT_S = 60
_COMMIT = Commit((Write('a', {'n': 1}),))


class StatusLineServer(TCPServer):
    """Answers the first request of a connection with a bare status.

    Without a status it closes the connection.
    """

    status = b''

    async def handle_stream(self, stream, address) -> None:
        await stream.read_until(b'\r\n\r\n')
        if self.status:
            head = b'HTTP/1.1 %s x\r\nContent-Length: 0\r\n\r\n' % self.status
            await stream.write(head)
        stream.close()


class StallingServer(TCPServer):
    """Never completes an answer; ``sends_part`` sends the start of one."""

    sends_part = True

    def on_request(self) -> None:
        """Handle the arrival of a request; tests replace it."""

    def on_close(self) -> None:
        """Handle the end of a connection; tests replace it."""

    async def handle_stream(self, stream, address) -> None:
        await stream.read_until(b'\r\n\r\n')
        self.on_request()
        if self.sends_part:
            await stream.write(b'HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n')
            await stream.write(b'some')
        await stream.read_until_close()
        self.on_close()


class TrickleServer(TCPServer):
    """Sends an answer byte by byte with pauses."""

    byte_count = 12
    pause_s = 0.02

    async def handle_stream(self, stream, address) -> None:
        await stream.read_until(b'\r\n\r\n')
        head = f'HTTP/1.1 200 x\r\nContent-Length: {self.byte_count}\r\n\r\n'
        await stream.write(head.encode())
        for _ in range(self.byte_count):
            await asyncio.sleep(self.pause_s)
            await stream.write(b'x')


class SlowAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Timeouts of slow and incomplete answers."""

    async def asyncSetUp(self) -> None:
        self.server = StallingServer()
        sockets = bind_sockets(0, '127.0.0.1')
        self.server.add_sockets(sockets)
        self.addCleanup(self.server.stop)
        port = sockets[0].getsockname()[1]
        self.client = PlatformClient(
            f'http://127.0.0.1:{port}',
            request_timeout=0.05,
        )
        self.addCleanup(self.client.close)

    async def read(self) -> None:
        outcome = await self.client.send(Call('GET', '/'))
        self.assertEqual(outcome, UNKNOWN)

    async def test_slow_answer_is_not_aborted(self) -> None:
        """A slow answer is read to its end while bytes arrive.

        Otherwise it would be aborted and requested again each time.
        """
        answer = await self.send_to_trickle_server(Call('GET', '/'))
        self.assertEqual(answer, b'x' * TrickleServer.byte_count)

    async def test_slow_answer_to_write_times_out(self) -> None:
        """A slow answer to a write does not extend its timeout.

        Requests would otherwise wait for a draw long after their deadline.
        """
        call = Call('POST', '/', b'', writes=True)
        self.assertEqual(await self.send_to_trickle_server(call), UNKNOWN)

    async def send_to_trickle_server(self, call: Call) -> bytes | PlatformFault:
        """Send a call whose answer takes longer than the timeout."""
        server = TrickleServer()
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        port = sockets[0].getsockname()[1]
        client = PlatformClient(
            f'http://127.0.0.1:{port}',
            request_timeout=TrickleServer.pause_s * 8,
        )
        self.addCleanup(client.close)
        return await client.send(call)

    async def test_silent_connection(self) -> None:
        await self.read()
        self.server.sends_part = False
        await self.read()

    @parameterized.expand([('silent', False), ('cancelled', True)])
    async def test_abandoned_call_is_aborted(self, _, cancelled) -> None:
        """A call is aborted once nobody waits for it.

        Its answer would otherwise go on using the link.
        """
        begun = asyncio.Event()
        ended = asyncio.Event()
        self.server.on_request = begun.set
        self.server.on_close = ended.set
        reading = asyncio.ensure_future(self.read())
        await begun.wait()
        if cancelled:
            reading.cancel()
        await asyncio.wait({reading})
        await asyncio.wait_for(ended.wait(), _TIMEOUT_S)


class HttpTest(unittest.IsolatedAsyncioTestCase):
    """Base class with a simulated platform on a free port and clients."""

    async def asyncSetUp(self) -> None:
        self.running = await start_platform(PlatformSettings())
        self.client = PlatformClient(self.running.url)
        self.weather = self.running.core.weather
        self.table = HttpTableService(self.client)
        self.objects = HttpObjectStore(self.client)
        self.hosts = HttpHostList(self.client)
        self.weights = HttpWeightStore(self.client)

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.running.stop()


class ServicesTest(HttpTest):
    """Successful calls to each service."""

    async def test_table(self) -> None:
        self.assertEqual(await self.table.commit(_COMMIT), 1)
        rows = await self.table.read(('a', 'b'))
        written = Row('a', 1, {'n': 1})
        self.assertEqual(rows, (written, Row('b', 0, None)))
        page = await self.table.scan(Scan('a'))
        self.assertEqual(page, Page((written,), 1))
        deletion = Commit((Write('a', None),))
        await self.table.commit(deletion)
        page = await self.table.scan(Scan('', since=1))
        self.assertEqual(page.rows, (Row('a', 2, None),))

    async def test_objects(self) -> None:
        name = 'a b/ü?&'
        self.assertIsNone(await self.objects.put(name, b'\x00\xff'))
        self.assertEqual(await self.objects.get(name), b'\x00\xff')
        self.assertEqual(await self.objects.names('a b/'), (name,))
        self.assertIsNone(await self.objects.delete(name))
        self.assertEqual(await self.objects.get(name), MISSING)

    async def test_hosts_and_weights(self) -> None:
        host = HostEntry('127.0.0.1:1', 'router', 'zone-a')
        self.running.core.hosts.replace((host,))
        self.assertEqual(await self.hosts.hosts(), (host,))
        power = self.hosts.power('127.0.0.1:1', on=False, fence=3)
        self.assertIsNone(await power)
        self.assertEqual(await self.hosts.hosts(), ())
        self.assertEqual(await self.weights.reserve('m'), 0)


class FaultsTest(HttpTest):
    """Faults that the clients return."""

    async def test_conflict(self) -> None:
        await self.table.commit(_COMMIT)
        stale = Commit(_COMMIT.writes, (Check('a', 0),))
        self.assertEqual(await self.table.commit(stale), CONFLICT)

    async def test_invalid(self) -> None:
        empty = await self.table.commit(Commit(()))
        self.assertEqual(empty, INVALID)
        page = await self.table.scan(Scan('', limit=0))
        self.assertEqual(page, INVALID)

    async def test_down(self) -> None:
        """Status 503 or 429 gives UNAVAILABLE: nothing was applied."""
        self.weather.down = True
        self.assertEqual(await self.table.commit(_COMMIT), UNAVAILABLE)
        self.assertEqual(await self.table.read(('a',)), UNAVAILABLE)
        self.assertEqual(await self.objects.put('x', b''), UNAVAILABLE)
        self.assertEqual(await self.weights.reserve('m'), UNAVAILABLE)

    async def test_old_fence(self) -> None:
        self.weather.refuse_old_fences = True
        await self.hosts.power('127.0.0.1:1', on=True, fence=2)
        outcome = await self.hosts.power('127.0.0.1:1', on=True, fence=1)
        self.assertEqual(outcome, CONFLICT)

    @parameterized.expand([('fresh', 0), ('reused', 1)])
    async def test_lost_answer(self, _, commits_before) -> None:
        """A commit whose answer is lost gives UNKNOWN, not a conflict.

        When a reused connection closes without an answer, curl takes it for
        an idle one that timed out and resends the request. The resent commit
        would conflict with its own first write.
        """
        for _ in range(commits_before):
            await self.table.commit(_COMMIT)
        self.weather.lose_answers = 1
        check = Check('b', 0)
        change = Commit((Write('b', {}),), (check,))
        self.assertEqual(await self.table.commit(change), UNKNOWN)
        rows = await self.table.read(('b',))
        self.assertEqual(rows[0].version, commits_before + 1)
        self.assertEqual(self.weather.writes, commits_before + 1)

    async def test_stopped_service(self) -> None:
        """Calls give UNREACHABLE after the service has stopped.

        Pooled connections from earlier calls exist, and a new connection is
        refused.
        """
        await self.table.read(('a',))
        await self.running.stop()
        self.assertEqual(await self.table.read(('a',)), UNREACHABLE)
        self.assertEqual(await self.table.commit(_COMMIT), UNREACHABLE)

    async def test_no_answer_in_time(self) -> None:
        """A service that hangs after accepting a call gives UNKNOWN."""
        silent = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(silent.close)
        port = silent.getsockname()[1]
        client = PlatformClient(
            f'http://127.0.0.1:{port}', request_timeout=0.05
        )
        outcome = await HttpTableService(client).commit(_COMMIT)
        client.close()
        self.assertEqual(outcome, UNKNOWN)

    async def test_restarted_service(self) -> None:
        """Calls succeed after a restart of the service.

        They would go on failing if a dead pooled connection were reused.
        """
        await self.table.read(('a',))
        port = int(self.running.address.rpartition(':')[2])
        await self.running.stop()
        settings = PlatformSettings(port=port, clock=SystemClock())
        self.running = await start_platform(settings)
        rows = await self.table.read(('a',))
        self.assertEqual(rows, (Row('a', 0, None),))


class StatusTest(unittest.IsolatedAsyncioTestCase):
    """Fault for each HTTP status."""

    @parameterized.expand(
        [
            ('400', INVALID),
            ('404', MISSING),
            ('409', CONFLICT),
            ('429', UNAVAILABLE),
            ('503', UNAVAILABLE),
            ('500', UNKNOWN),
            ('502', UNKNOWN),
            ('504', UNKNOWN),
            ('200', UNKNOWN),
            ('', UNKNOWN),
        ]
    )
    async def test_commit(self, status, fault) -> None:
        server = StatusLineServer()
        server.status = status.encode()
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        client = PlatformClient(f'http://127.0.0.1:{port}')
        outcome = await HttpTableService(client).commit(_COMMIT)
        client.close()
        server.stop()
        await asyncio.sleep(0)
        self.assertEqual(outcome, fault)


class AbandonedCallTest(unittest.TestCase):
    """Calls that are abandoned before they are sent."""

    @parameterized.expand([('read', False), ('change', True)])
    def test_abandoned_call_is_not_sent(self, _, writes) -> None:
        """An abandoned call is not sent.

        Its caller may have been told that nothing was sent, and a write could
        be applied nevertheless.
        """
        transfer = _Transfer(Call('POST', '/', writes=writes), CurlTls())
        transfer.is_abandoned = True
        self.assertEqual(transfer.before_send(), pycurl.PREREQFUNC_ABORT)
