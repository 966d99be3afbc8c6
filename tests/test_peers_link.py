"""Tests of one connection: answers, bounds, silence, pauses."""

import asyncio
import socket
import unittest

from parameterized import parameterized
from tornado.iostream import IOStream

from balsamreach.config.reader import read_settings
from balsamreach.peers import counters, incoming
from balsamreach.peers.base import FETCH_GAPS
from balsamreach.peers.faults import (
    LINK_CLOSED,
    LINK_GARBLED,
    LINK_PARTED,
    LINK_SILENT,
    NO_ANSWER,
    PEER_REFUSED,
)
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.outbox import Outbox
from balsamreach.peers.takers import Takers
from balsamreach.peers.tally import Tally
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.codec import MOST_BYTES, Envelope, decode, encode
from balsamreach.wire.framing import frame, read_frame
from balsamreach.wire.marks import InFlight, InFlightAsk, TargetMark
from balsamreach.wire.membership import Heartbeat, Member
from balsamreach.wire.replies import Done, Refused
from balsamreach.wire.schema import load_schema
from tests.support import FakeClock

_PEER = Member('peer', 'host-peer', '10.0.0.2:1', 'zone-a')
_CFG = read_settings(None, ('host.zone=zone-a',)).peers
_PASSES = 10
_LARGE = 10_000
#: Pieces of a message that takes twice the gap timeout to arrive.
_PARTS = 2 * round(_CFG.gap_timeout / _CFG.heartbeat)


def _framed(message, ask=0, answers=0):
    return frame(encode(Envelope(message, ask, answers)))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link whose other end is a plain socket that the test drives."""

    async def asyncSetUp(self):
        near, far = socket.socketpair()
        self.far = IOStream(far)
        self.metrics = Metrics()
        self.clock = FakeClock()
        self.taken = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.takers = Takers()
        self.takers.on(InFlightAsk, self.take)
        self.takers.on(TargetMark, self.take)
        context = LinkContext(
            cfg=_CFG,
            clock=self.clock,
            tally=Tally(self.metrics),
            take=self.takers.take,
        )
        self.link = Link(context, IOStream(near), _PEER, dialled=True)
        self.running = asyncio.create_task(self.link.run())
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        self.far.close()

    async def take(self, _member, message):
        await self.gate.wait()
        self.taken.append(message.target)
        return InFlight(message.target, len(self.taken))

    async def settle(self):
        for _ in range(_PASSES):
            await asyncio.sleep(0)

    async def next_message(self):
        while True:
            envelope = decode(await read_frame(self.far, MOST_BYTES))
            if not isinstance(envelope.message, Heartbeat):
                return envelope

    async def ask(self, target, gaps=1):
        """Ask over the link; return the ask's task and its number."""
        asking = self.link.ask(InFlightAsk(target), gaps)
        asked = asyncio.create_task(asking)
        return asked, (await self.next_message()).ask


class AnswerTest(LinkTest):
    """Each ask gets its own answer, or none."""

    async def test_answers_out_of_order_and_doubled(self):
        """Answers arrive late, twice and in another order.

        Symptom: a caller gets the answer to another's ask. Sequence: two
        asks, the second is answered first, then again. Cause: pairing by
        order of arrival.
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
        await self.beat_until(asked.done)
        self.assertEqual(await asked, NO_ANSWER)
        self.assertEqual(self.clock.now() - start, _CFG.gap_timeout)
        await self.far.write(_framed(InFlight('a', 1), answers=number))
        await self.beat_until(lambda: self.dropped('late_answer'))

    async def test_a_large_answer_comes_late(self):
        """Guards against dropping a whole answer that was long on its way."""
        asked, number = await self.ask('a', FETCH_GAPS)
        for _ in range(_PARTS):
            await self.beat()
        await self.far.write(_framed(InFlight('a', 1), answers=number))
        self.assertEqual(await asked, InFlight('a', 1))
        self.assertEqual(self.dropped('late_answer'), 0)

    async def test_a_large_answer_never_comes(self):
        """Guards against a wait for good on a link that lives."""
        asked, _ = await self.ask('a', FETCH_GAPS)
        start = self.clock.now()
        await self.beat_until(asked.done)
        self.assertEqual(await asked, NO_ANSWER)
        waited = self.clock.now() - start
        self.assertEqual(waited, FETCH_GAPS * _CFG.gap_timeout)
        self.assertFalse(self.running.done())

    async def test_a_silent_link_ends_the_wait_for_a_large_answer(self):
        """Guards against a peer's silence that costs more than the gap."""
        asked, _ = await self.ask('a', FETCH_GAPS)
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

    async def test_slow_taker_holds_up_nothing_else(self):
        """A taker waits for a platform that is away.

        Symptom: healthy links end as silent. Sequence: a taker waits, the
        reader waits for it, heartbeats stay unread. Cause: handing messages
        over in the reader.
        """
        self.gate.clear()
        await self.far.write(_framed(TargetMark('slow', 'x')))
        await self.far.write(_framed(InFlightAsk('slow'), ask=1))
        asked, number = await self.ask('a')
        await self.far.write(_framed(InFlight('a', 1), answers=number))
        self.assertEqual(await asked, InFlight('a', 1))
        self.gate.set()
        self.assertEqual((await self.next_message()).answers, 1)

    async def test_too_many_asks_at_once_are_refused(self):
        self.gate.clear()
        for number in range(1, incoming.MOST_ANSWERING + 2):
            await self.far.write(_framed(InFlightAsk('a'), ask=number))
        answer = await self.next_message()
        self.assertEqual(answer.message.code, 'busy')
        self.assertEqual(answer.answers, incoming.MOST_ANSWERING + 1)

    async def test_failing_taker_does_not_end_the_link(self):
        self.takers.on(Done, self.fail_to_take)
        await self.far.write(_framed(Done(), ask=1))
        self.assertEqual((await self.next_message()).message.code, 'failed')
        self.assertFalse(self.running.done())

    async def fail_to_take(self, _member, _message):
        raise ValueError('a fault of the taker')

    async def beat_until(self, check):
        """Let time pass while the peer keeps sending heartbeats."""
        while not check():
            await self.beat()

    async def beat(self):
        await self.far.write(_framed(Heartbeat()))
        await self.settle()
        self.clock.advance(_CFG.heartbeat)
        await self.settle()

    def dropped(self, reason):
        return self.metrics.counted(counters.DROPPED, reason=reason)


class EndTest(LinkTest):
    """Why links end, and why not."""

    @parameterized.expand(
        (
            ('garbage', frame(b'\xff' * 20)),
            ('nothing', frame(b'')),
            ('oversized', (MOST_BYTES + 1).to_bytes(4)),
            ('another protocol', b'GET / HTTP/1.1\r\n\r\n'),
        ),
    )
    async def test_garbled_bytes_end_the_link(self, _name, octets):
        """A peer sends what is no message: nothing after it can be read."""
        await self.far.write(octets)
        self.assertEqual(await self.running, LINK_GARBLED)

    async def test_unknown_kind_is_refused_and_the_link_goes_on(self):
        """A newer release sends a kind that this one lacks."""
        builder = load_schema().Envelope.new_message(ask=1)
        await self.far.write(frame(builder.to_bytes_packed()))
        await self.far.write(_framed(InFlightAsk('a'), ask=2))
        self.assertEqual((await self.next_message()).answers, 2)
        refused = self.metrics.counted(
            counters.REFUSED,
            reason='wire_unknown_kind',
        )
        self.assertEqual(refused, 1)

    async def test_silent_link_ends_after_the_gap_timeout(self):
        """A dead peer is believed alive for as long as its connection stands.

        Symptom: questions to a peer time out one by one. Sequence: the
        other end keeps the connection open and says nothing.
        Cause: only closed connections counted as ended.
        """
        for _ in range(round(_CFG.gap_timeout / _CFG.heartbeat)):
            await self.pass_heartbeat()
        self.assertFalse(self.running.done())
        await self.pass_heartbeat()
        self.assertEqual(await self.running, LINK_SILENT)

    async def test_a_large_message_comes_slowly(self):
        """Guards against ending a link as silent while a frame trickles in."""
        octets = _framed(TargetMark('large', 'x' * _LARGE))
        part = len(octets) // _PARTS
        for start in range(0, len(octets), part):
            await self.far.write(octets[start : start + part])
            await self.pass_heartbeat()
        self.assertFalse(self.running.done())
        self.assertEqual(self.taken, ['large'])

    async def test_a_large_message_stops_on_its_way(self):
        """Guards against a link that half a frame keeps open for good."""
        await self.far.write(_framed(TargetMark('large', 'x'))[:-1])
        await self.pass_heartbeat()
        while not self.running.done():
            await self.pass_heartbeat()
        self.assertEqual(await self.running, LINK_SILENT)
        self.assertEqual(self.taken, [])

    async def test_other_messages_take_the_place_of_heartbeats(self):
        await self.settle()
        self.assertEqual(self.beats(), 1)
        await self.pass_heartbeat()
        self.assertEqual(self.beats(), 2)
        self.link.tell(Done())
        await self.pass_heartbeat()
        self.assertEqual(self.beats(), 2)
        await self.pass_heartbeat()
        self.assertEqual(self.beats(), 3)

    def beats(self):
        return self.metrics.counted(
            counters.MESSAGES,
            way='out',
            kind='Heartbeat',
        )

    async def test_own_pause_is_not_the_peers_silence(self):
        """The process stands still and goes on.

        Symptom: all links end at once and all peers are called dead.
        Sequence: the process pauses for longer than the gap timeout, then
        looks at its clock before it has read what waits. Cause: counting
        one's own pause as the others' silence.
        """
        await self.settle()
        self.clock.advance(10 * _CFG.gap_timeout)
        await self.settle()
        self.assertFalse(self.running.done())
        self.assertEqual(self.metrics.counted(counters.PAUSES), 1)

    async def test_last_words_before_parting_are_taken(self):
        self.gate.clear()
        await self.far.write(_framed(TargetMark('last', 'x')))
        await self.far.write(_framed(Refused('parted')))
        await self.settle()
        self.gate.set()
        self.assertEqual(await self.running, LINK_PARTED)
        self.assertEqual(self.taken, ['last'])

    async def pass_heartbeat(self):
        await self.settle()
        self.clock.advance(_CFG.heartbeat)
        await self.settle()


class OutboxTest(unittest.IsolatedAsyncioTestCase):
    """What waits to be written is bounded."""

    async def test_full_queue_drops_what_comes_on_top(self):
        """Symptom: memory of a router grows.

        Sequence: a peer stops reading, messages to it go on. Cause: a queue
        without a bound.
        """
        outbox = Outbox(most=5)
        self.assertTrue(outbox.put(b'abc'))
        self.assertFalse(outbox.put(b'def'))
        self.assertTrue(outbox.put(b'gh'))
        self.assertEqual(await outbox.take(), b'abcgh')
        self.assertTrue(outbox.put(b'def'))
