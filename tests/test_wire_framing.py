"""Tests of frames on a socket pair."""

import asyncio
import socket
import unittest

from tornado.iostream import IOStream

from balsamreach.wire.faults import CLOSED, TOO_LARGE
from balsamreach.wire.framing import FrameReader, frame, read_frame, write

_LIMIT = 64


class FramingTest(unittest.IsolatedAsyncioTestCase):
    """Frames arrive complete, and their size is limited."""

    async def asyncSetUp(self):
        near, far = socket.socketpair()
        self.near = IOStream(near)
        self.far = IOStream(far)
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)

    async def test_frames_arrive_in_order(self):
        for octets in (b'one', b'', b'two'):
            await write(self.near, frame(octets))
        arrived = [await read_frame(self.far, _LIMIT) for _ in range(3)]
        self.assertEqual(arrived, [b'one', b'', b'two'])

    async def test_oversized_frame_is_refused_by_its_length(self):
        """A length prefix alone must not make the reader allocate memory.

        A peer announces a frame of gigabytes; a reader that trusts the
        length would exhaust the memory of the router.
        """
        await write(self.near, (2**31).to_bytes(4))
        fault = await read_frame(self.far, _LIMIT)
        self.assertEqual(fault, TOO_LARGE)
        self.assertIn('2147483648', fault.reason)

    async def test_connection_closed_within_a_frame(self):
        await write(self.near, frame(b'whole')[:-1])
        self.near.close()
        self.assertEqual(await read_frame(self.far, _LIMIT), CLOSED)

    async def test_write_to_a_closed_connection(self):
        self.near.close()
        self.assertEqual(await write(self.near, frame(b'late')), CLOSED)

    async def test_reader_joins_pieces_and_splits_batches(self):
        reader = FrameReader(self.far, _LIMIT)
        octets = b''.join(frame(text) for text in (b'one', b'', b'two'))
        await write(self.near, octets[:5])
        await write(self.near, octets[5:])
        arrived = [await reader.next() for _ in range(3)]
        self.assertEqual(arrived, [b'one', b'', b'two'])

    async def test_reader_reports_progress_of_partial_frames(self):
        """A frame that arrives slowly must not count as silence."""
        pieces = asyncio.Queue()
        reader = FrameReader(
            self.far,
            _LIMIT,
            progress=lambda: pieces.put_nowait('some'),
        )
        arriving = asyncio.create_task(reader.next())
        for octet in frame(b'whole'):
            await write(self.near, bytes((octet,)))
            await pieces.get()
        self.assertEqual(await arriving, b'whole')
        self.assertTrue(pieces.empty())

    async def test_reader_refuses_oversized_frame_by_its_length(self):
        reader = FrameReader(self.far, _LIMIT)
        await write(self.near, frame(b'one') + (2**31).to_bytes(4))
        self.assertEqual(await reader.next(), b'one')
        self.assertEqual(await reader.next(), TOO_LARGE)

    async def test_reader_meets_end_of_connection_within_a_frame(self):
        reader = FrameReader(self.far, _LIMIT)
        await write(self.near, frame(b'one') + frame(b'whole')[:-1])
        self.near.close()
        self.assertEqual(await reader.next(), b'one')
        self.assertEqual(await reader.next(), CLOSED)
