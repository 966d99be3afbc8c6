"""Tests of the encoding: whole messages, and bytes that are none."""

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
    kinds,
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
from balsamreach.wire.plans import MOST_ELEMENTS
from balsamreach.wire.schema import load_schema
from balsamreach.wire.tables import TableRow, TableRows

#: More examples for a longer run, for example 200000.
_EXAMPLES = int(os.environ.get('BALSAMREACH_FUZZ_EXAMPLES', '300'))
_SEED = 20
_MOST_ALLOCATED = 16 * MAX_MESSAGE_BYTES

_NAMES = st.text(max_size=20)
_NUMBERS = st.integers(0, 2**16 - 1)
_PLAIN = {
    str: _NAMES,
    int: _NUMBERS,
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
    bytes: st.binary(max_size=50),
    tuple[str, ...]: st.tuples(_NAMES, _NAMES),
    tuple[int, ...]: st.tuples(_NUMBERS, _NUMBERS),
}


def _strategy(hint):
    if hint in _PLAIN:
        return _PLAIN[hint]
    if attrs.has(hint):
        return st.builds(hint, **_strategies(hint))
    element = hint.__args__[0]
    return st.lists(_strategy(element), max_size=3).map(tuple)


def _strategies(kind):
    fields = attrs.fields(attrs.resolve_types(kind))
    return {field.name: _strategy(field.type) for field in fields}


_MESSAGES = st.one_of([_strategy(kind) for kind in kinds().values()])
_ENVELOPES = st.builds(Envelope, _MESSAGES, _NUMBERS, _NUMBERS, _NAMES)
_TRACEPARENT = f'00-{"4b" * 16}-{"0a" * 8}-01'
_FIELD = 'traceparent @31 :Text;'
#: That field of the envelope and all that were added after it.
_NEWER = re.compile(r'^ +\w+ @(3[1-9]|[4-9]\d) :\w+;$', re.MULTILINE)
#: An ask as a release encoded it whose envelope had no trace context.
_OLD_ASK = (
    b'\x10\x07P\x02\x01\x01\x07\x01\x18@\x01\x11\x01J\xffengine-0\x00\x00\x00'
)


class CodecTest(unittest.TestCase):
    """Every message comes back as it was sent."""

    @seed(_SEED)
    @settings(max_examples=_EXAMPLES, deadline=None, database=None)
    @given(_ENVELOPES)
    def test_messages_come_back(self, envelope):
        self.assertEqual(decode(encode(envelope)), envelope)

    def test_a_message_told_to_many_is_encoded_once(self):
        """Symptom: a hub is busy with nothing but its words.

        Sequence: it tells the routers of its zone, one after the other.
        Cause: the same message was encoded for each of them.
        """
        words = LoadWords('zone', ('engine',), (1,), (2,))
        first = encode(Envelope(words))
        self.assertIs(encode(Envelope(words)), first)
        self.assertEqual(decode(encode(Envelope(words, 7))).ask, 7)
        again = encode(Envelope(words))
        self.assertEqual(decode(again).message, words)
        other = attrs.evolve(words, scope='fleet')
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

    def test_too_large_a_message_is_refused(self):
        part = AnswerPart(known=True, body=b'\1' * MAX_MESSAGE_BYTES)
        self.assertEqual(encode(Envelope(part)), TOO_LARGE)


class ReleasesTest(unittest.TestCase):
    """Releases with and without trace contexts read each other."""

    def test_ask_of_an_older_release(self):
        ask = InFlightAsk('engine-0')
        self.assertEqual(decode(_OLD_ASK), Envelope(ask, 7))
        # Without a trace nothing is sent that the older one didn't send.
        self.assertEqual(decode(encode(Envelope(ask, 7))), decode(_OLD_ASK))

    def test_older_release_reads_an_ask_with_a_trace(self):
        schema = files(wire).joinpath('messages.capnp').read_text('utf-8')
        self.assertIn(_FIELD, schema)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'messages.capnp'
            path.write_text(_NEWER.sub('', schema), 'utf-8')
            older = capnp.SchemaParser().load(str(path))
        ask = Envelope(InFlightAsk('engine-0'), 7, 0, _TRACEPARENT)
        reader = older.Envelope.from_bytes_packed(encode(ask))
        self.assertFalse(hasattr(reader, 'traceparent'))
        self.assertEqual(reader.ask, 7)
        self.assertEqual(reader.inFlightAsk.target, 'engine-0')


class DecoderTest(unittest.TestCase):
    """Bytes from anywhere give a message or a fault, never an exception.

    Symptom: one router's connections all break, or its memory fills.
    Sequence: a damaged or hostile peer sends bytes that are no message.
    Cause: a decoder that trusts lengths and pointers.
    """

    @seed(_SEED)
    @settings(max_examples=_EXAMPLES, deadline=None, database=None)
    @given(st.binary(max_size=300))
    def test_any_bytes(self, octets):
        self.assertIsInstance(decode(octets), Envelope | WireFault)

    @seed(_SEED)
    @settings(max_examples=_EXAMPLES, deadline=None, database=None)
    @given(_ENVELOPES, st.randoms(use_true_random=False))
    def test_damaged_messages(self, envelope, rng):
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
    def test_bytes_that_are_no_message(self, _name, octets, fault):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual(decode(octets), fault)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, _MOST_ALLOCATED)

    def test_message_without_a_known_kind(self):
        """A newer release sends a kind that this one doesn't know."""
        builder = load_schema().Envelope.new_message(ask=1)
        self.assertEqual(decode(builder.to_bytes_packed()), UNKNOWN_KIND)

    def test_long_list_of_empty_elements_is_refused_before_it_is_read(self):
        """A list that costs few bytes would take seconds to read."""
        builder = load_schema().Envelope.new_message()
        builder.init('members').init('members', MOST_ELEMENTS + 1)
        self.assertEqual(decode(builder.to_bytes_packed()), MALFORMED)

    def test_message_cut_off_in_a_later_segment_is_refused(self):
        """The library would end the process over such bytes.

        Symptom: the router is gone, its last line reads 'terminate called'.
        Sequence: a peer sends a packed message of several segments whose
        last one is cut off. Cause: the library reads it in a destructor and
        throws there. (Found by the fuzz test with 30,000 examples.)
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
