"""Tests of the greeting: strangers and old versions are refused."""

import asyncio
import socket
import unittest

import attrs
from parameterized import parameterized
from tornado.iostream import IOStream

from balsamreach.config.reader import read_settings
from balsamreach.peers import counters
from balsamreach.peers.connector import Connector
from balsamreach.peers.faults import STRANGER
from balsamreach.peers.greeting import MOST_GREETING, greet
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.takers import Takers
from balsamreach.peers.tally import Tally
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


class GreetingTest(unittest.IsolatedAsyncioTestCase):
    """Only routers of this fleet that speak a known version get a link."""

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
            tally=Tally(self.metrics),
            take=Takers().take,
        )
        self.connector = Connector(context, lambda: _ME)

    @parameterized.expand(
        (
            ('old_version', _framed(attrs.evolve(_OTHER, version=0))),
            ('other_fleet', _framed(attrs.evolve(_OTHER, fleet='x'))),
            ('itself', _framed(_ME)),
            ('no_greeting', _framed(Heartbeat())),
            ('no_greeting', frame(b'\xff' * 9)),
            ('no_greeting', (MOST_GREETING + 1).to_bytes(4)),
            ('no_greeting', b'GET / HTTP/1.1\r\n\r\n'),
        ),
    )
    async def test_stranger_is_told_refused_and_counted(self, code, octets):
        """A process that doesn't belong here connects.

        Symptom: odd members, or a router busy with rubbish. Sequence: an
        old release, another fleet's router or a port scanner connects.
        Cause: taking in whoever connects.
        """
        await self.far.write(octets)
        link = await self.connector.accept(self.near, '10.0.0.9:9')
        self.assertIsNone(link)
        told = decode(await read_frame(self.far, MOST_GREETING)).message
        self.assertEqual(told.code, code)
        self.assertTrue(told.reason)
        counted = self.metrics.counted(counters.REFUSED, reason=code)
        self.assertEqual(counted, 1)
        self.assertTrue(self.near.closed())

    async def test_router_of_the_fleet_gets_a_link(self):
        accepting = asyncio.create_task(
            self.connector.accept(self.near, '10.0.0.9:9'),
        )
        self.assertEqual(await greet(self.far, _OTHER), _ME)
        await self.far.write(_framed(Heartbeat()))
        link = await accepting
        self.assertIsInstance(link, Link)
        self.assertEqual(link.peer, _OTHER.member)

    async def test_unconfirmed_greeting_gives_no_link(self):
        """Only what this router sends is lost on the way.

        Symptom: a peer that calls this router dead counts as alive here for
        as long as it goes on trying; what it is asked finds no answer.
        Sequence: its greeting arrives, the answer to it doesn't; it gives
        up, and comes again. Cause: a link that one end alone holds for open.
        """
        accepting = asyncio.create_task(
            self.connector.accept(self.near, '10.0.0.9:9'),
        )
        await self.far.write(_framed(_OTHER))
        while not accepting.done():
            await asyncio.sleep(0)
            self.clock.advance(_CFG.heartbeat)
        self.assertIsNone(await accepting)
        counted = self.metrics.counted(counters.REFUSED, reason='no_greeting')
        self.assertEqual(counted, 1)

    async def test_refused_router_learns_why(self):
        greeting = asyncio.create_task(greet(self.near, _ME))
        await read_frame(self.far, MOST_GREETING)
        await self.far.write(_framed(Refused('old_version', 'too old')))
        fault = await greeting
        self.assertEqual(fault, STRANGER)
        self.assertIn('too old', fault.reason)

    async def test_half_open_connection_is_given_up(self):
        """Somebody connects and says nothing.

        Symptom: connections pile up. Sequence: a paused or cut-off process
        connects, its greeting never comes. Cause: waiting without a bound.
        """
        accepting = asyncio.create_task(
            self.connector.accept(self.near, '10.0.0.9:9'),
        )
        while not accepting.done():
            await asyncio.sleep(0)
            self.clock.advance(_CFG.heartbeat)
        self.assertIsNone(await accepting)
        self.assertTrue(self.near.closed())
