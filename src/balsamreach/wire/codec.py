"""Turns messages into bytes and back."""

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
from balsamreach.wire.kinds import KINDS
from balsamreach.wire.labels import kind_label
from balsamreach.wire.plans import read_struct, write_struct
from balsamreach.wire.schema import load_schema

#: Most bytes of one message, packed or not.
MAX_MESSAGE_BYTES = 1024 * 1024

_WORD = 8
# A reader counts a word again each time a pointer leads to it, and one word
# for each empty element of a list; so bytes that claim huge or cyclic lists
# end in an error, not in a full memory.
_MOST_WORDS = 2 * MAX_MESSAGE_BYTES // _WORD
_MOST_NESTING = 8
# The first packed byte tells which bytes of the first word aren't zero, and
# the word's first four bytes hold the number of segments less one.
_SEGMENTS_MASK = 0b1111
_DECODE_ERRORS = (capnp.KjException, AttributeError, TypeError, ValueError)
_ENCODE_ERRORS = (*_DECODE_ERRORS, OverflowError)


@attrs.frozen
class Envelope:
    """A message with what pairs it with its answer.

    Parameters
    ----------
    message : Message
        The message.
    ask : int
        Number under which the sender awaits an answer; 0 for none.
    answers : int
        Number of the ask that this answers; 0 for none.
    traceparent : str
        W3C trace context of the request that an ask belongs to; empty for
        none. An older router neither sends nor reads it.
    """

    message: Message
    ask: int = 0
    answers: int = 0
    traceparent: str = ''


@attrs.define
class _LastTold:
    """The message that was encoded last, where it asks and answers nothing.

    A hub tells the same message to all routers of its zone, one after the
    other; encoded anew for each, it would be most of what a hub does.
    """

    message: Message | None = None
    packed: bytes | WireFault = b''


_last_told = _LastTold()


def encode(envelope: Envelope) -> bytes | WireFault:
    """Return the bytes of a message.

    Parameters
    ----------
    envelope : Envelope
        What to send.

    Returns
    -------
    bytes or WireFault
        The packed bytes; MALFORMED if an attribute does not fit its type,
        TOO_LARGE if there are too many.
    """
    if envelope.ask or envelope.answers or envelope.traceparent:
        return _encode(envelope)
    if envelope.message is not _last_told.message:
        _last_told.packed = _encode(envelope)
        _last_told.message = envelope.message
    return _last_told.packed


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
    """Return the message that bytes stand for.

    Parameters
    ----------
    packed : bytes
        Bytes from anywhere.

    Returns
    -------
    Envelope or WireFault
        The message, or MALFORMED, UNKNOWN_KIND or TOO_LARGE.
    """
    if len(packed) > MAX_MESSAGE_BYTES:
        size = len(packed)
        return TOO_LARGE.because(f'message of {size} bytes')
    if not packed or _has_segments(packed):
        # The library reads further segments late. If they are cut off, it
        # throws from a destructor, which ends the whole process: a router
        # would vanish with 'terminate called' as its last line. Messages of
        # ours have one segment, which is read before anything else.
        return MALFORMED.because('empty, or of more than one segment')
    try:
        return _unpack(packed)
    except _DECODE_ERRORS as exc:
        return MALFORMED.because(_first_line(exc))


@cache
def kinds() -> dict[str, type[Message]]:
    """Return all classes of messages by their name in the schema."""
    return {kind_label(kind): kind for kind in KINDS}


def _pack_in_one_segment(envelope: Envelope) -> bytes:
    packed = _pack(envelope)
    if _has_segments(packed):
        return _pack(envelope, _MOST_WORDS)
    return packed


def _has_segments(packed: bytes) -> bool:
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
        traversal_limit_in_words=_MOST_WORDS,
        nesting_limit=_MOST_NESTING,
    )
    label = _label(reader)
    kind = kinds().get(label)
    if kind is None:
        return UNKNOWN_KIND.because(f'message of the kind {label!r}')
    message = read_struct(kind, getattr(reader, label))
    return Envelope(message, reader.ask, reader.answers, reader.traceparent)


def _label(reader: Any) -> str:
    # The union of a newer release may hold a kind that this schema lacks.
    try:
        return str(reader.which())
    except (capnp.KjException, KeyError, ValueError):
        return 'unknown'


def _first_line(exc: Exception) -> str:
    lines = str(exc).splitlines()
    return lines[0] if lines else type(exc).__name__
