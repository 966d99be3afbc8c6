"""Tests that an attempt leaves for a target once at most."""

import asyncio
import contextlib
import socket
import unittest

import attrs

from balsamreach.config.reader import read_settings
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.upstream import BROKEN, NOT_SENT, Attempt, Intake
from balsamreach.gateway.curl_upstream import CurlUpstream
from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import TargetRow, TeamRow
from balsamreach.targets.registry import Target

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class _Taken(Intake):
    """Takes an answer and keeps nothing of it."""

    def start(self, status, headers):
        """Take the head."""

    def write(self, chunk):
        """Take a part of the body."""


@attrs.define
class _DyingTarget:
    """Answers the first request; reads the second and closes."""

    seen: list = attrs.field(factory=list)

    async def serve(self, reader, writer):
        """Serve one connection."""
        await self._take(reader)
        writer.write(_ANSWER)
        with contextlib.suppress(asyncio.IncompleteReadError):
            await self._take(reader)
        writer.close()

    async def _take(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(2)
        self.seen.append(head)


class ResendTest(unittest.IsolatedAsyncioTestCase):
    """The client's own habit of sending again is held off."""

    async def test_request_on_a_dying_connection_leaves_once(self):
        """A POST met on a pooled connection that closes is not re-sent.

        Symptom: one attempt runs twice at its target.
        Sequence: the target answers a request and keeps the connection; it
        takes the next one on it and closes without an answer.
        Cause: curl takes the connection for stale and sends again by itself.
        """
        target = _DyingTarget()
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        upstream = CurlUpstream(_settings())
        self.addCleanup(server.close)
        self.addCleanup(upstream.close)
        first = await upstream.send(_attempt(port), _Taken())
        again = _Taken()
        fault = await upstream.send(_attempt(port), again)
        self.assertIsNone(first)
        self.assertEqual(fault, BROKEN)
        self.assertTrue(again.sent)
        self.assertEqual(len(target.seen), 2)

    async def test_refused_connection_counts_as_not_sent(self):
        """Nothing listens, so no byte of the request can have left."""
        with socket.create_server(('127.0.0.1', 0)) as closed:
            port = closed.getsockname()[1]
        upstream = CurlUpstream(_settings())
        self.addCleanup(upstream.close)
        taken = _Taken()
        fault = await upstream.send(_attempt(port), taken)
        self.assertEqual(fault, NOT_SENT)
        self.assertFalse(taken.sent)


def _settings():
    return read_settings(None, ('host.zone=zone-a',))


def _attempt(port):
    row = TargetRow(
        name='desk-0',
        address=f'127.0.0.1:{port}',
        zone='zone-a',
        service='desk',
        kind='service',
    )
    call = Call(
        req=RequestId('team', 'key', minted=False, fingerprint='f'),
        team=TeamRow(name='team'),
        kind='service',
        name='desk',
        method='POST',
        path='/book',
        headers={},
        body=b'{}',
        stream=False,
        # One that is not idempotent goes on a new connection and can't meet
        # a dying one.
        idempotent=True,
        most_tokens=1,
        deadline=0,
    )
    return Attempt('attempt-1', call, Target(row))
