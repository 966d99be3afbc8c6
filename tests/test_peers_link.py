"""Tests of one connection: answers, limits, silence and pauses."""

import asyncio
import socket
import unittest

from parameterized import parameterized
from tornado.iostream import IOStream

from balsamreach.config.reader import read_settings
from balsamreach.peers import inbound, metric_names
from balsamreach.peers.base import LARGE_ANSWER_GAPS
from balsamreach.peers.faults import (
    LINK_CLOSED,
    LINK_MALFORMED,
    LINK_RELEASED,
    LINK_SILENT,
    NO_ANSWER,
    PEER_REFUSED,
)
from balsamreach.peers.handlers import HandlerRegistry
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.outbox import Outbox
from balsamreach.peers.peer_counters import PeerCounters
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.codec import MAX_MESSAGE_BYTES, Envelope, decode, encode
from balsamreach.wire.framing import frame, read_frame
from balsamreach.wire.marks import InFlight, InFlightAsk, TargetMark
from balsamreach.wire.membership import Heartbeat, Member
from balsamreach.wire.replies import Done, Refused
from balsamreach.wire.schema import load_schema
from tests.support import FakeClock

_PEER = Member('peer', 'host-peer', '10.0.0.2:1', 'zone-a')
_CFG = read_settings(None, ('host.zone=zone-a',)).peers
_LOOP_YIELDS = 10
_LARGE_BYTES = 10_000
#: Pieces of a message that takes twice the gap timeout to arrive.
_PIECES = 2 * round(_CFG.gap_timeout / _CFG.heartbeat)


def _framed(message, ask=0, answers=0):
    return frame(encode(Envelope(message, ask, answers)))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link whose other end is a plain socket controlled by the test."""

    async def asyncSetUp(self):
        near, far = socket.socketpair()
        self.far = IOStream(far)
        self.metrics = Metrics()
        self.clock = FakeClock()
        self.handled = []
        self.handler_gate = asyncio.Event()
        self.handler_gate.set()
        self.registry = HandlerRegistry()
        self.registry.on(InFlightAsk, self.handle_target)
        self.registry.on(TargetMark, self.handle_target)
        context = LinkContext(
            cfg=_CFG,
            clock=self.clock,
            counters=PeerCounters(self.metrics),
            handle=self.registry.handle,
        )
        self.link = Link(context, IOStream(near), _PEER, dialled=True)
        self.running = asyncio.create_task(self.link.run())
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        self.far.close()

    async def handle_target(self, _member, message):
        await self.handler_gate.wait()
        self.handled.append(message.target)
        return InFlight(message.target, len(self.handled))

    async def settle(self):
        for _ in range(_LOOP_YIELDS):
            await asyncio.sleep(0)

    async def next_message(self):
        while True:
            envelope = decode(await read_frame(self.far, MAX_MESSAGE_BYTES))
            if not isinstance(envelope.message, Heartbeat):
                return envelope

    async def ask(self, target, gaps=1):
        """Send a request over the link; return its task and its number."""
        asking = self.link.ask(InFlightAsk(target), gaps)
        asked = asyncio.create_task(asking)
        return asked, (await self.next_message()).ask


class AnswerTest(LinkTest):
    """Each request gets its own answer, or none."""

    async def test_answers_out_of_order_and_duplicated(self):
        """Answers arrive late, twice and in another order.

        Guards against matching by order of arrival, where a caller gets the
        answer to another request: the second of two requests is answered first,
        then again.
        """
        first, one = await self.ask('a')
        second, two = await self.ask('b')
        for number, target in ((two, 'b'), (two, 'x'), (one, 'a')):
            await self.far.write(
                _framed(InFlight(target, 1), answers=number),
            )
        self.assertEqual(await second, InFlight('b', 1))
        self.assertEqual(await first, InFlight('a', 1))
        self.assertEqual(self.dropped('late_answer'), 1)

    async def test_late_answer_is_dropped(self):
        asked, number = await self.ask('a')
        start = self.clock.now()
        await self.send_heartbeats_until(asked.done)
        self.assertEqual(await asked, NO_ANSWER)
        self.assertEqual(self.clock.now() - start, _CFG.gap_timeout)
        await self.far.write(_framed(InFlight('a', 1), answers=number))
        await self.send_heartbeats_until(lambda: self.dropped('late_answer'))

    async def test_late_large_answer(self):
        """Guards against dropping a complete answer that arrives late."""
        asked, number = await self.ask('a', LARGE_ANSWER_GAPS)
        for _ in range(_PIECES):
            await self.exchange_heartbeat()
        await self.far.write(_framed(InFlight('a', 1), answers=number))
        self.assertEqual(await asked, InFlight('a', 1))
        self.assertEqual(self.dropped('late_answer'), 0)

    async def test_large_answer_times_out(self):
        """Guards against waiting for ever on a link that stays alive."""
        asked, _ = await self.ask('a', LARGE_ANSWER_GAPS)
        start = self.clock.now()
        await self.send_heartbeats_until(asked.done)
        self.assertEqual(await asked, NO_ANSWER)
        waited = self.clock.now() - start
        self.assertEqual(waited, LARGE_ANSWER_GAPS * _CFG.gap_timeout)
        self.assertFalse(self.running.done())

    async def test_silent_link_fails_a_request_for_a_large_answer(self):
        """Guards against waiting too long for the answer of a silent peer."""
        asked, _ = await self.ask('a', LARGE_ANSWER_GAPS)
        start = self.clock.now()
        while not asked.done():
            await self.settle()
            self.clock.advance(_CFG.heartbeat)
            await self.settle()
        self.assertEqual(await asked, NO_ANSWER)
        waited = self.clock.now() - start
        self.assertEqual(waited, _CFG.gap_timeout + _CFG.heartbeat)

    async def test_refusal_and_end_of_the_link(self):
        refused, number = await self.ask('a')
        lost, _ = await self.ask('b')
        await self.far.write(_framed(Refused('no'), answers=number))
        self.assertEqual(await refused, PEER_REFUSED)
        self.far.close()
        self.assertEqual(await lost, NO_ANSWER)
        self.assertEqual(await self.running, LINK_CLOSED)
        self.assertFalse(self.link.tell(Done()))

    async def test_slow_handler_does_not_block_other_messages(self):
        """A handler waits for a platform that is unavailable.

        Guards against healthy links that end as silent: if the reader waited
        for the handler, heartbeats would stay unread.
        """
        self.handler_gate.clear()
        await self.far.write(_framed(TargetMark('slow', 'x')))
        await self.far.write(_framed(InFlightAsk('slow'), ask=1))
        asked, number = await self.ask('a')
        await self.far.write(_framed(InFlight('a', 1), answers=number))
        self.assertEqual(await asked, InFlight('a', 1))
        self.handler_gate.set()
        self.assertEqual((await self.next_message()).answers, 1)

    async def test_too_many_concurrent_requests_are_refused(self):
        self.handler_gate.clear()
        for number in range(1, inbound.MAX_OPEN_REQUESTS + 2):
            await self.far.write(_framed(InFlightAsk('a'), ask=number))
        answer = await self.next_message()
        self.assertEqual(answer.message.code, 'busy')
        self.assertEqual(answer.answers, inbound.MAX_OPEN_REQUESTS + 1)

    async def test_failing_handler_does_not_end_the_link(self):
        self.registry.on(Done, self.raise_error)
        await self.far.write(_framed(Done(), ask=1))
        self.assertEqual((await self.next_message()).message.code, 'failed')
        self.assertFalse(self.running.done())

    async def raise_error(self, _member, _message):
        raise ValueError('an error of the handler')

    async def send_heartbeats_until(self, check):
        """Advance the clock while the peer keeps sending heartbeats."""
        while not check():
            await self.exchange_heartbeat()

    async def exchange_heartbeat(self):
        await self.far.write(_framed(Heartbeat()))
        await self.settle()
        self.clock.advance(_CFG.heartbeat)
        await self.settle()

    def dropped(self, reason):
        return self.metrics.counted(metric_names.DROPPED, reason=reason)


class LinkEndTest(LinkTest):
    """Which events end a link, and which don't."""

    @parameterized.expand(
        (
            ('garbage', frame(b'\xff' * 20)),
            ('nothing', frame(b'')),
            ('oversized', (MAX_MESSAGE_BYTES + 1).to_bytes(4)),
            ('another protocol', b'GET / HTTP/1.1\r\n\r\n'),
        ),
    )
    async def test_malformed_bytes_end_the_link(self, _name, octets):
        """Nothing after an invalid frame can be read."""
        await self.far.write(octets)
        self.assertEqual(await self.running, LINK_MALFORMED)

    async def test_unknown_kind_does_not_end_the_link(self):
        """A newer release sends a kind of message unknown to this one."""
        builder = load_schema().Envelope.new_message(ask=1)
        await self.far.write(frame(builder.to_bytes_packed()))
        await self.far.write(_framed(InFlightAsk('a'), ask=2))
        self.assertEqual((await self.next_message()).answers, 2)
        refused = self.metrics.counted(
            metric_names.REFUSED,
            reason='wire_unknown_kind',
        )
        self.assertEqual(refused, 1)

    async def test_silent_link_ends_after_the_gap_timeout(self):
        """The other end keeps the connection open and sends nothing.

        Guards against a dead peer that counts as alive while its connection is
        open, so that requests to it time out one by one.
        """
        for _ in range(round(_CFG.gap_timeout / _CFG.heartbeat)):
            await self.pass_heartbeat()
        self.assertFalse(self.running.done())
        await self.pass_heartbeat()
        self.assertEqual(await self.running, LINK_SILENT)

    async def test_slow_large_message_keeps_the_link(self):
        """Guards against ending a link while a frame arrives slowly."""
        octets = _framed(TargetMark('large', 'x' * _LARGE_BYTES))
        part = len(octets) // _PIECES
        for start in range(0, len(octets), part):
            await self.far.write(octets[start : start + part])
            await self.pass_heartbeat()
        self.assertFalse(self.running.done())
        self.assertEqual(self.handled, ['large'])

    async def test_incomplete_message_does_not_keep_the_link(self):
        """Guards against a partial frame that keeps a link open for ever."""
        await self.far.write(_framed(TargetMark('large', 'x'))[:-1])
        await self.pass_heartbeat()
        while not self.running.done():
            await self.pass_heartbeat()
        self.assertEqual(await self.running, LINK_SILENT)
        self.assertEqual(self.handled, [])

    async def test_other_messages_replace_heartbeats(self):
        await self.settle()
        self.assertEqual(self.heartbeats_sent(), 1)
        await self.pass_heartbeat()
        self.assertEqual(self.heartbeats_sent(), 2)
        self.link.tell(Done())
        await self.pass_heartbeat()
        self.assertEqual(self.heartbeats_sent(), 2)
        await self.pass_heartbeat()
        self.assertEqual(self.heartbeats_sent(), 3)

    def heartbeats_sent(self):
        return self.metrics.counted(
            metric_names.MESSAGES,
            way='out',
            kind='Heartbeat',
        )

    async def test_pause_of_this_process_does_not_end_the_link(self):
        """The process is paused for longer than the gap timeout.

        Guards against counting its own pause as silence of its peers: it looks
        at the clock before it reads the data that waits, so all links would end
        at once and all peers would be declared dead.
        """
        await self.settle()
        self.clock.advance(10 * _CFG.gap_timeout)
        await self.settle()
        self.assertFalse(self.running.done())
        self.assertEqual(self.metrics.counted(metric_names.OWN_PAUSES), 1)

    async def test_messages_before_a_release_are_handled(self):
        self.handler_gate.clear()
        await self.far.write(_framed(TargetMark('last', 'x')))
        await self.far.write(_framed(Refused('parted')))
        await self.settle()
        self.handler_gate.set()
        self.assertEqual(await self.running, LINK_RELEASED)
        self.assertEqual(self.handled, ['last'])

    async def pass_heartbeat(self):
        await self.settle()
        self.clock.advance(_CFG.heartbeat)
        await self.settle()


class OutboxTest(unittest.IsolatedAsyncioTestCase):
    """The queue of bytes to be written is bounded."""

    async def test_full_queue_rejects_frames(self):
        """Guards against memory that grows while a peer has stopped reading."""
        outbox = Outbox(max_bytes=5)
        self.assertTrue(outbox.put(b'abc'))
        self.assertFalse(outbox.put(b'def'))
        self.assertTrue(outbox.put(b'gh'))
        self.assertEqual(await outbox.get(), b'abcgh')
        self.assertTrue(outbox.put(b'def'))
