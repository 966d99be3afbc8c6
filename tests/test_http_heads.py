"""Tests of what is the head of an answer, without input or output."""

import unittest

from parameterized import parameterized

from balsamreach.http_heads import (
    MALFORMED,
    TOO_LARGE,
    HeadReader,
    connection_options,
)
from tests import broken_heads

_BROKEN = broken_heads.ALL | broken_heads.JOINED
#: Heads that only a reader that joins folded lines takes for one.
_FOLDED = 'folded'
_SOUND = [
    (form, answer)
    for form, answer in broken_heads.SOUND.items()
    if form != _FOLDED
]


def _read(received: bytes) -> HeadReader:
    reader = HeadReader()
    for line in received.splitlines(keepends=True):
        reader.read_line(line)
    return reader


def _read_lines(received: bytes) -> HeadReader:
    reader = HeadReader()
    for line in received.split(b'\n'):
        reader.read_line(b'%b\n' % line)
    return reader


class HeadReaderTest(unittest.TestCase):
    """Lines that are a head, or are none."""

    @parameterized.expand(list(_BROKEN.items()))
    def test_broken(self, _, answer):
        """Guards against a part of a malformed head that is used."""
        reader = _read_lines(answer)
        self.assertIsNone(reader.head)
        self.assertEqual(reader.fault, MALFORMED)
        self.assertTrue(reader.fault.reason)

    @parameterized.expand(_SOUND)
    def test_sound(self, _, answer):
        """Guards against refusing what HTTP allows."""
        reader = _read_lines(answer)
        self.assertIsNone(reader.fault)
        self.assertEqual(reader.head.status, 200)
        self.assertEqual(reader.head.headers['response-stamp'], 's')

    @parameterized.expand(_SOUND)
    def test_part(self, _, answer):
        """Guards against a head that ends before its empty line."""
        head, end, _body = answer.rpartition(b'Attempt-Id')
        reader = _read(head + end)
        self.assertIsNone(reader.head)
        self.assertIsNone(reader.fault)

    def test_values(self):
        reader = _read(
            b'HTTP/1.1 103 X\r\nA: 1\r\n\r\nHTTP/1.1 404 Missing\r\n'
            b'a: \t1 \r\nB:\r\nA: 2\r\nA: 2\r\nContent-Length: 05\r\n'
            b'Set-Cookie: x\r\nset-cookie: y\r\n\r\n'
        )
        self.assertEqual(reader.head.status, 404)
        self.assertEqual(
            reader.head.headers,
            {'a': '1, 2, 2', 'b': '', 'content-length': '5', 'set-cookie': 'y'},
        )
        self.assertEqual(reader.head.length, 5)

    @parameterized.expand(
        (
            ('line', b'HTTP/1.1 200 OK\r\nA: ', b'x'),
            ('lines', b'HTTP/1.1 200 OK\r\n', b'A: x\r\n'),
            ('interim', b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
            ('trailers', b'HTTP/1.1 200 OK\r\n\r\n', b'A: x\r\n'),
        )
    )
    def test_endless(self, _, begin, more):
        """Guards against a head that takes all memory."""
        reader = HeadReader()
        for line in (begin + more * (1 << 16)).splitlines(keepends=True):
            reader.read_line(line)
        self.assertEqual(reader.fault, TOO_LARGE)

    @parameterized.expand(
        (
            ('none', '', {''}),
            ('close', 'close', {'close'}),
            ('names', 'X-Hop ,\tkeep-alive', {'x-hop', 'keep-alive'}),
        )
    )
    def test_connection_options(self, _, text, expected):
        self.assertEqual(connection_options({'connection': text}), expected)


if __name__ == '__main__':
    unittest.main()
