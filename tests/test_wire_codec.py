"""Tests of the encoding: round trips of messages, and invalid bytes."""

import os
import re
import tempfile
import tracemalloc
import unittest
from importlib.resources import files
from pathlib import Path

import attrs
import capnp
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from parameterized import parameterized

from balsamreach import wire
from balsamreach.wire.answers import AnswerPart
from balsamreach.wire.codec import (
    MAX_MESSAGE_BYTES,
    Envelope,
    decode,
    encode,
    message_classes,
)
from balsamreach.wire.faults import (
    MALFORMED,
    TOO_LARGE,
    UNKNOWN_KIND,
    WireFault,
)
from balsamreach.wire.loads import LoadWords
from balsamreach.wire.marks import InFlightAsk
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.plans import MAX_LIST_LENGTH
from balsamreach.wire.schema import load_schema
from balsamreach.wire.tables import TableRow, TableRows

#: Number of fuzz examples; set it higher for a longer run, e.g. 200000.
_EXAMPLES = int(os.environ.get('BALSAMREACH_FUZZ_EXAMPLES', '300'))
_SEED = 20
_MAX_ALLOCATED = 16 * MAX_MESSAGE_BYTES

_TEXTS = st.text(max_size=20)
_NUMBERS = st.integers(0, 2**16 - 1)
_SCALARS = {
    str: _TEXTS,
    int: _NUMBERS,
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
    bytes: st.binary(max_size=50),
    tuple[str, ...]: st.tuples(_TEXTS, _TEXTS),
    tuple[int, ...]: st.tuples(_NUMBERS, _NUMBERS),
}


def _strategy(hint):
    if hint in _SCALARS:
        return _SCALARS[hint]
    if attrs.has(hint):
        return st.builds(hint, **_strategies(hint))
    element = hint.__args__[0]
    return st.lists(_strategy(element), max_size=3).map(tuple)


def _strategies(kind):
    fields = attrs.fields(attrs.resolve_types(kind))
    return {field.name: _strategy(field.type) for field in fields}


_MESSAGES = st.one_of([_strategy(kind) for kind in message_classes().values()])
_ENVELOPES = st.builds(Envelope, _MESSAGES, _NUMBERS, _NUMBERS, _TEXTS)
_TRACEPARENT = f'00-{"4b" * 16}-{"0a" * 8}-01'
_TRACEPARENT_FIELD = 'traceparent @31 :Text;'
#: Matches that field of the envelope and all that were added after it.
_NEWER_FIELDS = re.compile(r'^ +\w+ @(3[1-9]|[4-9]\d) :\w+;$', re.MULTILINE)
#: A question encoded by a release whose envelope had no trace context.
_OLD_RELEASE_ASK = (
    b'\x10\x07P\x02\x01\x01\x07\x01\x18@\x01\x11\x01J\xffengine-0\x00\x00\x00'
)


class CodecTest(unittest.TestCase):
    """Decoding returns the message that was encoded."""

    @seed(_SEED)
    @settings(max_examples=_EXAMPLES, deadline=None, database=None)
    @given(_ENVELOPES)
    def test_round_trip(self, envelope):
        self.assertEqual(decode(encode(envelope)), envelope)

    def test_broadcast_message_is_encoded_once(self):
        """A hub sends one message to each router of its zone.

        Encoding it again for each of them would use most of its CPU time.
        """
        loads = LoadWords('zone', ('engine',), (1,), (2,))
        first = encode(Envelope(loads))
        self.assertIs(encode(Envelope(loads)), first)
        self.assertEqual(decode(encode(Envelope(loads, 7))).ask, 7)
        again = encode(Envelope(loads))
        self.assertEqual(decode(again).message, loads)
        other = attrs.evolve(loads, scope='fleet')
        self.assertEqual(decode(encode(Envelope(other))).message, other)

    @parameterized.expand(
        (
            ('negative number', Heartbeat(-1)),
            ('too large a number', Heartbeat(2**64)),
            ('text for a number', Heartbeat('7')),
            ('number for a text', InFlightAsk(7)),
        ),
    )
    def test_attribute_of_a_wrong_type_is_refused(self, _name, message):
        self.assertEqual(encode(Envelope(message)), MALFORMED)

    def test_too_large_message_is_refused(self):
        part = AnswerPart(known=True, body=b'\1' * MAX_MESSAGE_BYTES)
        self.assertEqual(encode(Envelope(part)), TOO_LARGE)


class ReleasesTest(unittest.TestCase):
    """Releases with and without trace contexts understand each other."""

    def test_ask_of_an_older_release(self):
        ask = InFlightAsk('engine-0')
        self.assertEqual(decode(_OLD_RELEASE_ASK), Envelope(ask, 7))
        # Without a trace the message has no fields the older release lacks.
        self.assertEqual(
            decode(encode(Envelope(ask, 7))), decode(_OLD_RELEASE_ASK)
        )

    def test_older_release_reads_an_ask_with_a_trace(self):
        schema = files(wire).joinpath('messages.capnp').read_text('utf-8')
        self.assertIn(_TRACEPARENT_FIELD, schema)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'messages.capnp'
            path.write_text(_NEWER_FIELDS.sub('', schema), 'utf-8')
            older = capnp.SchemaParser().load(str(path))
        ask = Envelope(InFlightAsk('engine-0'), 7, 0, _TRACEPARENT)
        reader = older.Envelope.from_bytes_packed(encode(ask))
        self.assertFalse(hasattr(reader, 'traceparent'))
        self.assertEqual(reader.ask, 7)
        self.assertEqual(reader.inFlightAsk.target, 'engine-0')


class DecoderTest(unittest.TestCase):
    """Untrusted bytes decode to a message or a fault, never an exception.

    A faulty or hostile peer sends bytes that are not a message. A decoder
    that trusts their lengths and pointers would exhaust the memory or raise
    an error that breaks all connections of the router.
    """

    @seed(_SEED)
    @settings(max_examples=_EXAMPLES, deadline=None, database=None)
    @given(st.binary(max_size=300))
    def test_random_bytes(self, octets):
        self.assertIsInstance(decode(octets), Envelope | WireFault)

    @seed(_SEED)
    @settings(max_examples=_EXAMPLES, deadline=None, database=None)
    @given(_ENVELOPES, st.randoms(use_true_random=False))
    def test_corrupted_messages(self, envelope, rng):
        octets = bytearray(encode(envelope))
        for _ in range(rng.randint(1, 4)):
            octets[rng.randrange(len(octets))] = rng.randrange(256)
        del octets[rng.randint(1, len(octets)) :]
        self.assertIsInstance(decode(bytes(octets)), Envelope | WireFault)

    @parameterized.expand(
        (
            ('empty', b'', MALFORMED),
            ('another protocol', b'GET / HTTP/1.1\r\n\r\n', MALFORMED),
            ('too long', b'\0' * (MAX_MESSAGE_BYTES + 1), TOO_LARGE),
            ('zeros', b'\0\xff' * (MAX_MESSAGE_BYTES // 2), MALFORMED),
        ),
    )
    def test_invalid_bytes(self, _name, octets, fault):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual(decode(octets), fault)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, _MAX_ALLOCATED)

    def test_message_of_unknown_kind(self):
        """A newer release may send a kind that this one doesn't know."""
        builder = load_schema().Envelope.new_message(ask=1)
        self.assertEqual(decode(builder.to_bytes_packed()), UNKNOWN_KIND)

    def test_long_list_of_empty_elements_is_refused_before_it_is_read(self):
        """A list that takes few bytes could take seconds to read."""
        builder = load_schema().Envelope.new_message()
        builder.init('members').init('members', MAX_LIST_LENGTH + 1)
        self.assertEqual(decode(builder.to_bytes_packed()), MALFORMED)

    def test_message_truncated_in_a_later_segment_is_refused(self):
        """Such a message must not abort the process.

        A peer sends a packed message of several segments whose last one is
        truncated. Cap'n Proto reads it in a destructor and throws there, so
        the process aborts with 'terminate called'. The fuzz tests need about
        30,000 examples to produce such bytes.
        """
        builder = load_schema().Envelope.new_message(1)
        rows = builder.init('tableRows').init('rows', 5)
        rows[0].key = 'key'
        octets = builder.to_bytes_packed()
        for length in range(len(octets) + 1):
            self.assertEqual(decode(octets[:length]), MALFORMED)

    def test_large_message_is_sent_in_one_segment(self):
        rows = (TableRow('key', 1, 'x' * 1000),) * 500
        envelope = Envelope(TableRows(0, 1, rows))
        self.assertEqual(decode(encode(envelope)), envelope)
