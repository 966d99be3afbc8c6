"""Counts the bytes of one request, and decides whether to go on with it."""

import sys
from collections.abc import Callable

import attrs
from tornado.httputil import HTTPHeaders, RequestStartLine

from balsamreach.clock import Clock
from balsamreach.gateway.request_limits import Reason, RequestLimits
from balsamreach.memory.budget import MemoryBudget, Reservation

#: Share of what was read of a body from which on most of it are sizes of its
#: chunks, or bytes that were not parsed yet.
_SMALL_CHUNKS_SHARE = 0.25
#: Receive buffer of a connection. Bytes that wait there count towards the
#: memory of the process; by default the kernel lets them grow to megabytes.
RECEIVE_BUFFER_BYTES = 128 * 1024
#: Bytes of a refused body beyond the limit after which its connection closes.
_MAX_DISCARDED_BYTES = 1 << 20
_MAX_LENGTH_DIGITS = 18


@attrs.define(kw_only=True)
class MeterParts:
    """What the requests of one listener are checked against.

    Parameters
    ----------
    limits : callable
        Returns the limits in force.
    budget : MemoryBudget
        Memory of the process for requests.
    clock : Clock
        Source of the current time.
    copies : int
        How many times a body is held.
    """

    limits: Callable[[], RequestLimits]
    budget: MemoryBudget
    clock: Clock
    copies: int = 1


class RequestMeter:
    """Counts the bytes of one request against all limits.

    Parameters
    ----------
    parts : MeterParts
        The limits and the memory.

    Attributes
    ----------
    began_at : float
        Monotonic seconds at which its first bytes arrived.
    body_size : int
        Bytes of its body that have been received.
    has_length : bool
        Whether the header tells the length of the body.
    """

    def __init__(self, parts: MeterParts) -> None:
        self.began_at = 0.0
        self.body_size = 0
        self._parts = parts
        self._limits: RequestLimits | None = None
        self._reservation: Reservation | None = None
        self._head_size = 0
        self._read_size = 0
        self._progress_at = 0.0
        self.has_length = False
        self._has_unexpected = False

    def begin(self, evict: Callable[[], None]) -> bool:
        """Record that the first bytes have arrived; False if they had.

        Parameters
        ----------
        evict : callable
            Gives the request up, as memory is short and it arrives slowly.
        """
        if self._reservation is not None:
            return False
        # A request is held to the limits under which it began.
        self._limits = self._parts.limits()
        self._reservation = self._parts.budget.begin(evict)
        self.began_at = self._reservation.began_at
        self._progress_at = self.began_at
        return True

    def add_head(self, size: int) -> bool:
        """Count bytes of the header; False if there is no memory for them."""
        self._read_size += size
        return self._parts.budget.resize(self._reservation, self._read_size)

    def check_header(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> Reason | None:
        """Return why a request is refused before its body is read."""
        self._read_size = 0
        self._head_size = len(start_line.path) + sum(
            len(name) + len(text) for name, text in headers.get_all()
        )
        if self._head_size > self._limits.header_bytes:
            return Reason.HEADER_TOO_LARGE
        announced = _announced_size(headers)
        self.has_length = announced > 0
        if announced > self._max_body_size():
            return Reason.BODY_TOO_LARGE
        return None if self._reserve(announced) else Reason.NO_MEMORY

    def add_read(self, size: int) -> bool:
        """Count bytes after the header; return whether chunks are small."""
        framing = self._read_size - self.body_size
        is_small = framing > self._read_size * _SMALL_CHUNKS_SHARE
        self._read_size += size
        self._progress_at = self._parts.clock.now()
        return is_small or not self.body_size

    def add_body(self, size: int) -> Reason | None:
        """Count bytes of the body; return why the request is refused."""
        self.body_size += size
        if self.body_size > self._max_body_size():
            return Reason.BODY_TOO_LARGE
        if not self.has_length and not self._reserve(self.body_size):
            return Reason.NO_MEMORY
        self._reservation.received = self.body_size
        return None

    def add_unexpected(self, size: int) -> bool:
        """Count what a client sends before it has got its response.

        Returns
        -------
        bool
            Whether there is memory for it, and for what may wait in the
            kernel from now on.
        """
        if self._reservation is None:
            return True
        reserved = self._reservation.size + size
        if not self._has_unexpected:
            self._has_unexpected = True
            reserved += RECEIVE_BUFFER_BYTES
        return self._parts.budget.resize(self._reservation, reserved)

    def add_discarded(self, size: int) -> bool:
        """Count bytes of a refused body; False if enough has been read."""
        self._read_size += size
        limit = self._limits.body_bytes + _MAX_DISCARDED_BYTES
        return self._read_size <= limit

    def is_late(self, now: float) -> bool:
        """Return whether the header, or the body, arrives too slowly."""
        taken = now - self.began_at
        if not self._head_size:
            return taken > self._limits.header_time
        is_idle = now - self._progress_at > self._limits.idle_time
        return is_idle or taken > self._limits.body_time

    def end_receiving(self) -> None:
        """Record that the request is whole."""
        self._parts.budget.end_receiving(self._reservation)

    def release(self) -> None:
        """Free what the request holds; may be repeated."""
        if self._reservation is not None:
            self._parts.budget.release(self._reservation)
            self._reservation = None

    def _reserve(self, body_size: int) -> bool:
        size = self._head_size + body_size * self._parts.copies
        return self._parts.budget.resize(self._reservation, size)

    def _max_body_size(self) -> int:
        largest = self._parts.budget.largest - self._head_size
        return min(self._limits.body_bytes, largest // self._parts.copies)


def _announced_size(headers: HTTPHeaders) -> int:
    length = headers.get('Content-Length', '')
    if not length.isdecimal():
        return 0
    # The interpreter refuses to parse numbers of thousands of digits.
    return int(length) if len(length) <= _MAX_LENGTH_DIGITS else sys.maxsize
