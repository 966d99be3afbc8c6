"""Checks a target's answer before passing it on to the caller."""

from collections.abc import Callable
from typing import Any

from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.upstream import Intake
from balsamreach.dispatch.usage import Usage, read_json, read_usage
from balsamreach.requests.answers import Output

_FIRST_SERVER_ERROR = 500
#: Bytes that may wait for callers before reading from the target pauses.
_MAX_BACKLOG = 256 * 1024
_NOT_RUN_HEADER = 'x-not-run'
_ATTEMPT_HEADER = 'x-attempt-id'
#: Response header with the identifier of the engine's generation.
GENERATION_HEADER = 'x-engine-request'
_PASSED_HEADERS = (
    'cache-control',
    'content-disposition',
    'content-encoding',
    'content-language',
    'content-type',
    'etag',
    'last-modified',
    'location',
    'retry-after',
    GENERATION_HEADER,
)
#: A longer plain answer is streamed instead of buffered.
_MAX_BUFFERED = 1024 * 1024


class Reply(Intake):
    """An answer being received; subclasses decide when it is complete.

    Parameters
    ----------
    answer : Output
        Receives checked bytes.
    attempt_id : str
        The attempt that this answer must belong to.

    Attributes
    ----------
    on_first_byte : list of callable
        Called once when the first bytes arrive that may go to the caller.
    on_halt : callable or None
        Called when the rest of the answer is not wanted.
    halted : DispatchFault or None
        Why the rest is not wanted.
    declined : bool
        Whether the target reports that it did not run the request.
    event_count : int
        Events passed on.
    """

    def __init__(self, answer: Output, attempt_id: str) -> None:
        super().__init__()
        self.on_halt: Callable[[], None] | None = None
        self.halted: DispatchFault | None = None
        self.on_first_byte: list[Callable[[], None]] = []
        self.answer = answer
        self.attempt_id = attempt_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.event_count = 0
        self.declined = False
        self._is_forwarding = False

    @property
    def is_full(self) -> bool:
        """Whether every attached caller is far behind."""
        # If a caller reads slowly, or stops reading without closing, its whole
        # answer would pile up in its connection's buffer.
        return self.answer.backlog > _MAX_BACKLOG

    @property
    def generation(self) -> str:
        """The engine's identifier of the generation, empty if unknown."""
        # That of another attempt must be neither resumed nor cancelled.
        return '' if self.problem else self.headers.get(GENERATION_HEADER, '')

    def halt(self, fault: DispatchFault) -> None:
        """Stop receiving the answer."""
        self.halted = fault
        self._is_forwarding = False
        if self.on_halt is not None:
            self.on_halt()

    def close(self) -> None:
        """End the attempt; bytes that arrive later are dropped."""
        super().close()
        self._is_forwarding = False
        self.on_halt = None

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Receive the head; an answer to another attempt is rejected."""
        self.status = status
        self.headers = headers
        # A target that mixes up its connections would send one caller's answer
        # to another. The echoed attempt ID reveals it, and nothing of such an
        # answer is passed on.
        echoed = headers.get(_ATTEMPT_HEADER, self.attempt_id)
        if echoed != self.attempt_id:
            self.problem = 'answer to another attempt'
        declined = headers.get(_NOT_RUN_HEADER) == 'true'
        self.declined = declined and not self.problem
        self._is_forwarding = not (
            self.problem or self.closed or self._is_withheld()
        )
        self._report_head()

    def write(self, chunk: bytes) -> None:
        """Receive body bytes; drop them if they must not be passed on."""
        if not self._is_forwarding:
            return
        while self.on_first_byte:
            self.on_first_byte.pop()()
        self._forward(chunk)

    def is_complete(self) -> bool:
        """Return whether the answer has its end marker, or needs none."""
        return True

    def usage(self) -> Usage | None:
        """Return the usage that the target reported, if any."""
        return None

    def _is_withheld(self) -> bool:
        return self.declined or is_failure(self.status)

    def _report_head(self) -> None:
        if self.on_head is not None and not self.problem:
            self.on_head(self.status, self.headers)

    def _start_answer(self, length: int = 0) -> None:
        if self.answer.status == 0:
            passed = {
                name: self.headers[name]
                for name in _PASSED_HEADERS
                if name in self.headers
            }
            # With a content length, a caller notices a truncated answer.
            if length:
                passed['content-length'] = str(length)
            self.answer.start(self.status, passed)

    def _forward(self, chunk: bytes) -> None:
        self._start_answer()
        self.answer.write(chunk)


class PlainReply(Reply):
    """An answer that is buffered and passed on once it is complete.

    Parameters
    ----------
    answer, attempt_id
        As in `Reply`.
    check_json : bool
        Whether a JSON body must be valid.
    """

    def __init__(
        self,
        answer: Output,
        attempt_id: str,
        *,
        check_json: bool = False,
    ) -> None:
        super().__init__(answer, attempt_id)
        self._check_json = check_json
        self._body = bytearray()
        self._size = 0

    def is_complete(self) -> bool:
        """Return whether the body is valid where JSON is required."""
        kind = self.headers.get('content-type', '')
        if not self._check_json or not kind.startswith('application/json'):
            return True
        return self.answer.status != 0 or self._read_body() is not None

    @property
    def held_bytes(self) -> int:
        """Bytes that are held until the answer is complete."""
        return len(self._body)

    def discard(self, reason: str) -> None:
        """Free the body, of which nothing was passed on."""
        super().discard(reason)
        self._body.clear()

    def usage(self) -> Usage | None:
        """Return the usage reported in a JSON body."""
        return read_usage(self._read_body())

    def deliver(self) -> None:
        """Pass on the complete answer."""
        body = bytes(self._body)
        self._start_answer(len(body))
        if body:
            self.answer.write(body)

    def _is_withheld(self) -> bool:
        # The body of a plain service's own error is passed on in the end.
        return self.declined

    def _forward(self, chunk: bytes) -> None:
        self._size += len(chunk)
        self._body += chunk
        # Limits the memory for long answers. An answer that has been passed on
        # in part cannot be retried at another target, however.
        if self._size <= _MAX_BUFFERED:
            return
        if is_failure(self.status):
            # An error is passed on only when no other target answers.
            self.problem = 'the error is too large'
        else:
            self._start_answer()
            self.answer.write(bytes(self._body))
            self._body.clear()

    def _read_body(self) -> Any:
        return read_json(bytes(self._body))


def is_failure(status: int) -> bool:
    """Return whether a target's status is a server error."""
    return status >= _FIRST_SERVER_ERROR
