"""Encodes messages to bytes and decodes them."""

from functools import cache
from typing import Any

import attrs
import capnp

from balsamreach.wire.base import Message
from balsamreach.wire.faults import (
    MALFORMED,
    TOO_LARGE,
    UNKNOWN_KIND,
    WireFault,
)
from balsamreach.wire.kinds import MESSAGE_CLASSES
from balsamreach.wire.labels import kind_label
from balsamreach.wire.plans import read_struct, write_struct
from balsamreach.wire.schema import load_schema

#: Maximum size of one message in bytes, packed or not.
MAX_MESSAGE_BYTES = 1024 * 1024

_WORD = 8
# A reader counts a word each time a pointer refers to it, and one word for
# each empty list element. Bytes that declare huge or cyclic lists therefore
# raise an error instead of exhausting the memory.
_MAX_WORDS = 2 * MAX_MESSAGE_BYTES // _WORD
_MAX_NESTING = 8
# The bits of the first packed byte mark the non-zero bytes of the first word,
# whose first four bytes hold the number of segments minus one.
_SEGMENTS_MASK = 0b1111
_DECODE_ERRORS = (capnp.KjException, AttributeError, TypeError, ValueError)
_ENCODE_ERRORS = (*_DECODE_ERRORS, OverflowError)


@attrs.frozen
class Envelope:
    """A message with the numbers that match questions to answers.

    Parameters
    ----------
    message : Message
        The message.
    ask : int
        Number of this question, which its answer repeats; 0 if the sender
        expects no answer.
    answers : int
        Number of the question that this message answers; 0 for none.
    traceparent : str
        W3C trace context of the request that a question belongs to; empty
        for none. An older router neither sends nor reads it.
    """

    message: Message
    ask: int = 0
    answers: int = 0
    traceparent: str = ''


@attrs.define
class _LastTold:
    """Cache of the last encoded message that neither asks nor answers.

    A hub sends the same message to each router of its zone. Without the
    cache, encoding it for each of them would dominate a hub's CPU time.
    """

    message: Message | None = None
    packed: bytes | WireFault = b''


_last_encoded = _LastTold()


def encode(envelope: Envelope) -> bytes | WireFault:
    """Return the bytes of a message.

    Parameters
    ----------
    envelope : Envelope
        The message to send.

    Returns
    -------
    bytes or WireFault
        The packed bytes; MALFORMED if an attribute does not fit its type,
        TOO_LARGE if they exceed the maximum size.
    """
    if envelope.ask or envelope.answers or envelope.traceparent:
        return _encode(envelope)
    if envelope.message is not _last_encoded.message:
        _last_encoded.packed = _encode(envelope)
        _last_encoded.message = envelope.message
    return _last_encoded.packed


def _encode(envelope: Envelope) -> bytes | WireFault:
    try:
        packed = _pack_in_one_segment(envelope)
    except _ENCODE_ERRORS as exc:
        return MALFORMED.because(_first_line(exc))
    if len(packed) > MAX_MESSAGE_BYTES:
        size = len(packed)
        return TOO_LARGE.because(f'message of {size} bytes')
    return packed


def decode(packed: bytes) -> Envelope | WireFault:
    """Return the message that the bytes encode.

    Parameters
    ----------
    packed : bytes
        Untrusted bytes.

    Returns
    -------
    Envelope or WireFault
        The message, or MALFORMED, UNKNOWN_KIND or TOO_LARGE.
    """
    if len(packed) > MAX_MESSAGE_BYTES:
        size = len(packed)
        return TOO_LARGE.because(f'message of {size} bytes')
    if not packed or _has_more_segments(packed):
        # Cap'n Proto reads further segments lazily. If they are truncated, it
        # throws from a destructor, so the whole process would abort with
        # 'terminate called' as its last line. Routers only send messages of
        # one segment, which is read first.
        return MALFORMED.because('message is empty or has more than 1 segment')
    try:
        return _unpack(packed)
    except _DECODE_ERRORS as exc:
        return MALFORMED.because(_first_line(exc))


@cache
def message_classes() -> dict[str, type[Message]]:
    """Return all message classes by their name in the schema's union."""
    return {kind_label(kind): kind for kind in MESSAGE_CLASSES}


def _pack_in_one_segment(envelope: Envelope) -> bytes:
    packed = _pack(envelope)
    if _has_more_segments(packed):
        return _pack(envelope, _MAX_WORDS)
    return packed


def _has_more_segments(packed: bytes) -> bool:
    return bool(packed[0] & _SEGMENTS_MASK)


def _pack(envelope: Envelope, first_words: int | None = None) -> bytes:
    builder = load_schema().Envelope.new_message(first_words)
    builder.ask = envelope.ask
    builder.answers = envelope.answers
    if envelope.traceparent:
        builder.traceparent = envelope.traceparent
    struct = builder.init(kind_label(type(envelope.message)))
    write_struct(struct, envelope.message)
    return builder.to_bytes_packed()


def _unpack(packed: bytes) -> Envelope | WireFault:
    reader = load_schema().Envelope.from_bytes_packed(
        packed,
        traversal_limit_in_words=_MAX_WORDS,
        nesting_limit=_MAX_NESTING,
    )
    label = _union_label(reader)
    kind = message_classes().get(label)
    if kind is None:
        return UNKNOWN_KIND.because(f'message of unknown kind {label!r}')
    message = read_struct(kind, getattr(reader, label))
    return Envelope(message, reader.ask, reader.answers, reader.traceparent)


def _union_label(reader: Any) -> str:
    # A newer release may send a kind that this schema's union lacks.
    try:
        return str(reader.which())
    except (capnp.KjException, KeyError, ValueError):
        return 'unknown'


def _first_line(exc: Exception) -> str:
    lines = str(exc).splitlines()
    return lines[0] if lines else type(exc).__name__
