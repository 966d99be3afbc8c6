"""Curl callbacks and state of one transfer."""

import sys
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs
import pycurl

from balsamreach.dispatch.upstream import Intake
from balsamreach.gateway.receiving_turns import (
    SMALL_PIECE_BYTES,
    ReceivingTurns,
)
from balsamreach.http_heads import Head, HeadReader
from balsamreach.memory.answers import (
    LARGEST_BYTES,
    AnswerMemory,
    HeldAnswer,
)

#: Bytes of a body without a length that count as progress. A plain answer is
#: made before it is sent, so one that brings less in two seconds is no answer,
#: or arrives too slowly to be whole before its deadline.
_PROGRESS_BYTES = 8 * 1024
#: Bytes of a head from which on it counts as held memory. Heads are smaller,
#: and gone with their last line.
_COUNTED_HEAD_BYTES = 16 * 1024
_ABORT = 0
_NO_MEMORY = 'the answers of targets take too much memory'


def _ignore() -> None:
    """Do nothing."""


@attrs.define(eq=False)
class Transfer:
    """Passes one answer from curl to its intake.

    Parameters
    ----------
    intake : Intake
        Receives the answer.
    memory : AnswerMemory
        Memory of the process for answers.
    turns : ReceivingTurns
        Limits the small pieces of all answers.
    on_pause : callable or None
        Called when the transfer pauses as callers read too slowly.
    on_interrupt : callable or None
        Called when it pauses to let other work go on.
    on_give_up : callable or None
        Called when there is no memory for the answer.
    received_data : bool
        Whether data was received since this was last set to false.
    progressed : bool
        Whether more of the answer has become whole since this was last set
        to false: its head, an event, or bytes of a body that is no stream.
    paused : bool
        Whether reading is paused because callers read too slowly.
    lacks_memory : bool
        Whether there was no memory for an answer that announced its length.
        One without a length may have no end.
    abort_reason : str
        Why a callback stopped the transfer; empty if none did.
    """

    intake: Intake
    memory: AnswerMemory = attrs.Factory(partial(AnswerMemory, sys.maxsize))
    turns: ReceivingTurns = attrs.field(factory=ReceivingTurns)
    on_pause: Callable[[], None] | None = None
    on_interrupt: Callable[[], None] | None = None
    on_give_up: Callable[[], None] | None = None
    received_data: bool = False
    progressed: bool = False
    paused: bool = False
    lacks_memory: bool = False
    abort_reason: str = ''
    _reader: HeadReader = attrs.field(factory=HeadReader)
    _is_within_head: bool = True
    _parts: int = 0
    _unnoted_bytes: int = 0
    _held: HeldAnswer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Hold nothing of the answer so far."""
        self._held = HeldAnswer(self._give_up)

    @property
    def head_complete(self) -> bool:
        """Whether the whole head was received."""
        return self._reader.head is not None

    def is_within_head(self, curl: pycurl.Curl) -> bool:
        """Return whether a head has begun that isn't complete.

        Parameters
        ----------
        curl : pycurl.Curl
            Handle of the transfer. It knows whether the first line was
            received.
        """
        if self.head_complete or not self._is_within_head:
            return False
        return curl.getinfo(pycurl.STARTTRANSFER_TIME) > 0

    def on_prereq(self, *_addresses: Any) -> int:
        """Return curl's code that allows or aborts the sending."""
        # Curl resends a request by itself if a reused connection closes
        # without an answer. A certificate would be made twice, and a request
        # that crashes its target would reach it again without being counted
        # in the retry budget. The intake allows only the first sending.
        if self.intake.may_send():
            return pycurl.PREREQFUNC_OK
        self.abort_reason = 'the target closed a reused connection'
        return pycurl.PREREQFUNC_ABORT

    def on_header_line(self, line: bytes) -> int:
        """Process a line of the head; an empty line ends it."""
        self.received_data = True
        # A connection may end within a line. Curl then passes on the part that
        # it has, and takes a carriage return in it for the end of the head: a
        # success cut there would pass for one with an empty body, and a
        # rejection for a promise.
        is_whole = line.endswith(b'\n')
        # A target may send an interim head long before the final one.
        self._is_within_head = bool(line.strip()) or not is_whole
        reader = self._reader
        had_head = reader.head is not None
        reader.read_line(line)
        # Curl frames the body by a reading of its own, so that an answer whose
        # head is malformed must not be received any further.
        if reader.fault is not None:
            self.abort_reason = reader.fault.reason
            return _ABORT
        if reader.head is not None and not had_head:
            self._start(reader.head)
        if reader.size > _COUNTED_HEAD_BYTES:
            self._count_held()
        # Curl keeps the connection of a complete answer, and closes that of an
        # aborted transfer.
        return _ABORT if self.intake.problem else len(line)

    def on_body(self, chunk: bytes) -> int | None:
        """Process bytes of the body, or pause if callers read too slowly."""
        if self.intake.is_full:
            self._pause()
            return pycurl.WRITEFUNC_PAUSE
        self.received_data = True
        if len(chunk) < SMALL_PIECE_BYTES and not self.turns.take():
            if self.on_interrupt is not None:
                self.on_interrupt()
            return pycurl.WRITEFUNC_PAUSE
        self.intake.write(chunk)
        self._note_progress(len(chunk))
        self._count_held()
        return _ABORT if self.intake.problem else None

    def close(self) -> None:
        """Count nothing of the answer any more, and forget the callbacks.

        They refer to what refers to this transfer. Until the garbage collector
        found them, the body of the request would stay in memory.
        """
        self.memory.end(self._held)
        self._held.give_up = _ignore
        self.on_pause = None
        self.on_interrupt = None
        self.on_give_up = None

    def _count_held(self) -> None:
        size = self.intake.held_bytes
        if not self.head_complete:
            size += self._reader.size
        if size != self._held.size:
            self.memory.resize(self._held, size)

    def _give_up(self) -> None:
        self.lacks_memory = self._held.has_length
        self.intake.discard(_NO_MEMORY)
        if self.on_give_up is not None:
            self.on_give_up()

    def _pause(self) -> None:
        self.paused = True
        if self.on_pause is not None:
            self.on_pause()

    def _note_progress(self, size: int) -> None:
        parts = self.intake.whole_parts
        if parts is not None:
            self.progressed = self.progressed or parts != self._parts
            self._parts = parts
            return
        self._unnoted_bytes += size
        if self._has_length() or self._unnoted_bytes >= _PROGRESS_BYTES:
            self.progressed = True
            self._unnoted_bytes = 0

    def _has_length(self) -> bool:
        length = self._reader.head.length
        return length is not None and length <= LARGEST_BYTES

    def _start(self, head: Head) -> None:
        self.progressed = True
        self._held.has_length = self._has_length()
        self.intake.start(head.status, head.headers)
