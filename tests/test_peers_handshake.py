"""Tests of the handshake: foreign routers and old versions are refused."""

import asyncio
import socket
import unittest

import attrs
from parameterized import parameterized
from tornado.iostream import IOStream

from balsamreach.config.reader import read_settings
from balsamreach.peers import metric_names
from balsamreach.peers.connector import Connector
from balsamreach.peers.faults import HELLO_REFUSED
from balsamreach.peers.handlers import HandlerRegistry
from balsamreach.peers.handshake import MAX_HELLO_BYTES, initiate_handshake
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.peer_counters import PeerCounters
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.codec import Envelope, decode, encode
from balsamreach.wire.framing import frame, read_frame
from balsamreach.wire.membership import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Member,
)
from balsamreach.wire.replies import Refused
from tests.support import FakeClock

_ME = Hello(
    PROTOCOL_VERSION,
    'fleet',
    Member('me', 'host-me', '10.0.0.1:1', 'zone-a'),
)
_OTHER = attrs.evolve(_ME, member=attrs.evolve(_ME.member, incarnation='o'))
_CFG = read_settings(None, ('host.zone=zone-a',)).peers


def _framed(message):
    return frame(encode(Envelope(message)))


class HandshakeTest(unittest.IsolatedAsyncioTestCase):
    """Only routers of this fleet with a supported version get a link."""

    async def asyncSetUp(self):
        near, far = socket.socketpair()
        self.near = IOStream(near)
        self.far = IOStream(far)
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.metrics = Metrics()
        self.clock = FakeClock()
        context = LinkContext(
            cfg=_CFG,
            clock=self.clock,
            counters=PeerCounters(self.metrics),
            handle=HandlerRegistry().handle,
        )
        self.connector = Connector(context, lambda: _ME)

    @parameterized.expand(
        (
            ('old_version', _framed(attrs.evolve(_OTHER, version=0))),
            ('other_fleet', _framed(attrs.evolve(_OTHER, fleet='x'))),
            ('itself', _framed(_ME)),
            ('no_greeting', _framed(Heartbeat())),
            ('no_greeting', frame(b'\xff' * 9)),
            ('no_greeting', (MAX_HELLO_BYTES + 1).to_bytes(4)),
            ('no_greeting', b'GET / HTTP/1.1\r\n\r\n'),
        ),
    )
    async def test_refusal_is_sent_and_counted(self, code, octets):
        """A process that doesn't belong to the fleet connects.

        Guards against unknown members, and against load from invalid messages
        of an old release, a router of another fleet or a port scanner.
        """
        await self.far.write(octets)
        link = await self.connector.accept(self.near, '10.0.0.9:9')
        self.assertIsNone(link)
        refused = decode(await read_frame(self.far, MAX_HELLO_BYTES)).message
        self.assertEqual(refused.code, code)
        self.assertTrue(refused.reason)
        counted = self.metrics.counted(metric_names.REFUSED, reason=code)
        self.assertEqual(counted, 1)
        self.assertTrue(self.near.closed())

    async def test_router_of_the_fleet_gets_a_link(self):
        accepting = asyncio.create_task(
            self.connector.accept(self.near, '10.0.0.9:9'),
        )
        self.assertEqual(await initiate_handshake(self.far, _OTHER), _ME)
        await self.far.write(_framed(Heartbeat()))
        link = await accepting
        self.assertIsInstance(link, Link)
        self.assertEqual(link.peer, _OTHER.member)

    async def test_unconfirmed_handshake_gives_no_link(self):
        """Only outgoing packets of this router are lost.

        Guards against a peer that declared this router dead but counts as alive
        here as long as it retries, while requests to it time out. Its Hello
        arrives, the answer doesn't, and it gives up and connects again; a link
        would be open at one end only.
        """
        accepting = asyncio.create_task(
            self.connector.accept(self.near, '10.0.0.9:9'),
        )
        await self.far.write(_framed(_OTHER))
        while not accepting.done():
            await asyncio.sleep(0)
            self.clock.advance(_CFG.heartbeat)
        self.assertIsNone(await accepting)
        counted = self.metrics.counted(
            metric_names.REFUSED, reason='no_greeting'
        )
        self.assertEqual(counted, 1)

    async def test_refused_router_gets_the_reason(self):
        handshake = asyncio.create_task(initiate_handshake(self.near, _ME))
        await read_frame(self.far, MAX_HELLO_BYTES)
        await self.far.write(_framed(Refused('old_version', 'too old')))
        fault = await handshake
        self.assertEqual(fault, HELLO_REFUSED)
        self.assertIn('too old', fault.reason)

    async def test_connection_without_hello_is_closed(self):
        """A paused or partitioned process connects and sends nothing.

        Guards against connections that pile up without a handshake timeout.
        """
        accepting = asyncio.create_task(
            self.connector.accept(self.near, '10.0.0.9:9'),
        )
        while not accepting.done():
            await asyncio.sleep(0)
            self.clock.advance(_CFG.heartbeat)
        self.assertIsNone(await accepting)
        self.assertTrue(self.near.closed())
