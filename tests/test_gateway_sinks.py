"""Tests of HandlerSink over real connections."""

import asyncio
import unittest

from parameterized import parameterized
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from balsamreach.clock import SystemClock
from balsamreach.gateway.sinks import HandlerSink

_CHUNKS = [b'data: %d\n\n' % number for number in range(20)]
_MIB = 1024 * 1024


async def _wait_until(check) -> bool:
    for _ in range(5000):
        if check():
            return True
        await asyncio.sleep(0.001)
    return False


class _Handler(RequestHandler):
    """Writes the test's chunks through a sink."""

    async def get(self) -> None:
        sink = HandlerSink(self, SystemClock())
        sink.start(200, {'content-type': 'text/event-stream'})
        self.application.settings['sinks'].append(sink)
        for chunk in self.application.settings['chunks']:
            sink.write(chunk)
            await asyncio.sleep(0)
        await self.application.settings['go_on'].wait()
        sink.flush()
        try:
            self.finish(b'end')
        except StreamClosedError:
            return


class SinkTest(unittest.IsolatedAsyncioTestCase):
    """A server whose handler writes through a sink."""

    async def serve(self, chunks: list[bytes]) -> int:
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.sinks: list[HandlerSink] = []
        app = Application(
            [('/', _Handler)],
            chunks=chunks,
            sinks=self.sinks,
            go_on=self.go_on,
            log_function=lambda _handler: None,
        )
        server = HTTPServer(app)
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        return sockets[0].getsockname()[1]

    async def read(self, port: int, version: str) -> bytes:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        head = f'GET / HTTP/{version}\r\nHost: x\r\nConnection: close\r\n\r\n'
        writer.write(head.encode())
        answer = await reader.read()
        writer.close()
        return answer

    @parameterized.expand((('1.1', True), ('1.0', False)))
    async def test_body_is_framed_once(self, version, chunked) -> None:
        port = await self.serve(_CHUNKS)
        answer = await self.read(port, version)
        head, _gap, body = answer.partition(b'\r\n\r\n')
        self.assertEqual(b'Transfer-Encoding: chunked' in head, chunked)
        sent = [*_CHUNKS, b'end']
        framed = [b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in sent]
        expected = b''.join([*framed, b'0\r\n\r\n'] if chunked else sent)
        self.assertEqual(body, expected)

    async def test_slow_caller_causes_backlog(self) -> None:
        """A caller that stops reading causes a backlog, and loses no data."""
        port = await self.serve([b'x' * _MIB for _ in range(20)])
        self.go_on.clear()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
        await reader.readexactly(10)
        self.assertTrue(await _wait_until(lambda: self.sinks[0].backlog))
        self.go_on.set()
        answer = await reader.read()
        writer.close()
        self.assertGreater(len(answer), 20 * _MIB)
        self.assertTrue(answer.endswith(b'3\r\nend\r\n0\r\n\r\n'))

    async def test_disconnect_clears_backlog(self) -> None:
        port = await self.serve([b'x' * _MIB for _ in range(20)])
        _reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        self.assertTrue(
            await _wait_until(lambda: self.sinks and self.sinks[0].backlog),
        )
        writer.transport.abort()
        self.assertTrue(await _wait_until(lambda: not self.sinks[0].backlog))
