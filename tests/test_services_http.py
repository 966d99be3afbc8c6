"""Tests of the platform's HTTP clients against the stand-in platform."""

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
from balsamreach.services.http import Call, PlatformClient, _Sending
from balsamreach.services.objects_http import HttpObjectStore
from balsamreach.services.table_http import HttpTableService
from balsamreach.standins.serve import PlatformSettings, start_platform

_SECONDS = 60
_CHANGE = Commit((Write('a', {'n': 1}),))


class StatusServer(TCPServer):
    """Answers every connection's first request with one status line."""

    status = b''

    async def handle_stream(self, stream, address) -> None:
        await stream.read_until(b'\r\n\r\n')
        if self.status:
            head = b'HTTP/1.1 %s x\r\nContent-Length: 0\r\n\r\n' % self.status
            await stream.write(head)
        stream.close()


class SlowServer(TCPServer):
    """Begins an answer and never ends it, or answers nothing."""

    begins = True

    def on_begin(self) -> None:
        """Hear that a request came."""

    def on_end(self) -> None:
        """Hear that a connection was closed."""

    async def handle_stream(self, stream, address) -> None:
        await stream.read_until(b'\r\n\r\n')
        self.on_begin()
        if self.begins:
            await stream.write(b'HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n')
            await stream.write(b'some')
        await stream.read_until_close()
        self.on_end()


class SteadyServer(TCPServer):
    """Sends an answer piece by piece, each when it is let."""

    pieces = 12
    pause_s = 0.02

    async def handle_stream(self, stream, address) -> None:
        await stream.read_until(b'\r\n\r\n')
        head = f'HTTP/1.1 200 x\r\nContent-Length: {self.pieces}\r\n\r\n'
        await stream.write(head.encode())
        for _ in range(self.pieces):
            await asyncio.sleep(self.pause_s)
            await stream.write(b'x')


class LargeAnswerTest(unittest.IsolatedAsyncioTestCase):
    """How long an answer is waited for that has begun."""

    async def asyncSetUp(self) -> None:
        self.server = SlowServer()
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

    async def test_starved_by_an_answer_that_is_read_again(self) -> None:
        """A large answer was broken off and read anew while it came."""
        answer = await self.send_steadily(Call('GET', '/'))
        self.assertEqual(answer, b'x' * SteadyServer.pieces)

    async def test_a_change_whose_answer_trickles(self) -> None:
        """Requests waited for a draw long after its time was over."""
        call = Call('POST', '/', b'', writes=True)
        self.assertEqual(await self.send_steadily(call), UNKNOWN)

    async def send_steadily(self, call: Call) -> bytes | PlatformFault:
        """Send a call whose answer takes longer than the timeout."""
        server = SteadyServer()
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        port = sockets[0].getsockname()[1]
        client = PlatformClient(
            f'http://127.0.0.1:{port}',
            request_timeout=SteadyServer.pause_s * 8,
        )
        self.addCleanup(client.close)
        return await client.send(call)

    async def test_a_silent_connection(self) -> None:
        await self.read()
        self.server.begins = False
        await self.read()

    @parameterized.expand([('silent', False), ('cancelled', True)])
    async def test_a_call_that_is_given_up_ends(self, _, cancelled) -> None:
        """What nobody waits for went on to fill the link."""
        begun = asyncio.Event()
        ended = asyncio.Event()
        self.server.on_begin = begun.set
        self.server.on_end = ended.set
        reading = asyncio.ensure_future(self.read())
        await begun.wait()
        if cancelled:
            reading.cancel()
        await asyncio.wait({reading})
        await asyncio.wait_for(ended.wait(), _SECONDS)


class HttpTest(unittest.IsolatedAsyncioTestCase):
    """A stand-in platform on a free port and clients for it."""

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
    """Each service's calls when all is well."""

    async def test_table(self) -> None:
        self.assertEqual(await self.table.commit(_CHANGE), 1)
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
    """What the clients make of each way of failing."""

    async def test_conflict(self) -> None:
        await self.table.commit(_CHANGE)
        stale = Commit(_CHANGE.writes, (Check('a', 0),))
        self.assertEqual(await self.table.commit(stale), CONFLICT)

    async def test_invalid(self) -> None:
        empty = await self.table.commit(Commit(()))
        self.assertEqual(empty, INVALID)
        page = await self.table.scan(Scan('', limit=0))
        self.assertEqual(page, INVALID)

    async def test_down(self) -> None:
        """The platform refuses everything.

        Symptom: UNAVAILABLE. Events: the services answer 503 or 429.
        Cause: an outage or rate limit; nothing was applied.
        """
        self.weather.down = True
        self.assertEqual(await self.table.commit(_CHANGE), UNAVAILABLE)
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
        """A commit's answer is lost, on a new or on a pooled connection.

        Symptom: the caller is told of a conflict with its own write.
        Events: the commit is applied, the connection closes, curl sends the
        commit again by itself because the connection was a reused one.
        Cause: curl takes the close for an idle connection that timed out.
        """
        for _ in range(commits_before):
            await self.table.commit(_CHANGE)
        self.weather.lose_answers = 1
        check = Check('b', 0)
        change = Commit((Write('b', {}),), (check,))
        self.assertEqual(await self.table.commit(change), UNKNOWN)
        rows = await self.table.read(('b',))
        self.assertEqual(rows[0].version, commits_before + 1)
        self.assertEqual(self.weather.writes, commits_before + 1)

    async def test_gone(self) -> None:
        """The service stopped while connections to it were pooled.

        Symptom: UNREACHABLE. Events: calls succeed, the service stops, the
        next connect is refused. Cause: nothing listens any more.
        """
        await self.table.read(('a',))
        await self.running.stop()
        self.assertEqual(await self.table.read(('a',)), UNREACHABLE)
        self.assertEqual(await self.table.commit(_CHANGE), UNREACHABLE)

    async def test_no_answer_in_time(self) -> None:
        """The service takes the call and stays quiet.

        Symptom: UNKNOWN after the request timeout. Events: the connection
        is accepted, the request sent. Cause: the service hangs.
        """
        silent = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(silent.close)
        port = silent.getsockname()[1]
        client = PlatformClient(
            f'http://127.0.0.1:{port}', request_timeout=0.05
        )
        outcome = await HttpTableService(client).commit(_CHANGE)
        client.close()
        self.assertEqual(outcome, UNKNOWN)

    async def test_recovers(self) -> None:
        """A service that comes back on its address is used again.

        Symptom: calls go on failing after a restart. Events: the service
        stops and starts while connections are pooled. Cause: a dead
        connection would be taken for a live one.
        """
        await self.table.read(('a',))
        port = int(self.running.address.rpartition(':')[2])
        await self.running.stop()
        settings = PlatformSettings(port=port, clock=SystemClock())
        self.running = await start_platform(settings)
        rows = await self.table.read(('a',))
        self.assertEqual(rows, (Row('a', 0, None),))


class StatusTest(unittest.IsolatedAsyncioTestCase):
    """How each status of an answer is understood."""

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
        server = StatusServer()
        server.status = status.encode()
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        client = PlatformClient(f'http://127.0.0.1:{port}')
        outcome = await HttpTableService(client).commit(_CHANGE)
        client.close()
        server.stop()
        await asyncio.sleep(0)
        self.assertEqual(outcome, fault)


class GivenUpTest(unittest.TestCase):
    """Calls that are under way when nobody waits for them any more."""

    @parameterized.expand([('read', False), ('change', True)])
    def test_nothing_is_sent_after_it_was_said_so(self, _, writes) -> None:
        """A change took effect that was told never to have been sent."""
        sending = _Sending(Call('POST', '/', writes=writes), CurlTls())
        sending.is_given_up = True
        self.assertEqual(sending.before_send(), pycurl.PREREQFUNC_ABORT)
