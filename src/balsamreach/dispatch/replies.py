"""Checks a target's answer on its way into the caller's answer."""

from collections.abc import Callable
from typing import Any

from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.upstream import Intake
from balsamreach.dispatch.usage import Usage, read_json, read_usage
from balsamreach.requests.answers import Output

_FIRST_FAILURE = 500
#: Bytes a caller may be behind before the target is read no further.
_BACKLOG_LIMIT = 256 * 1024
_NOT_RUN_HEADER = 'x-not-run'
_ATTEMPT_HEADER = 'x-attempt-id'
#: Names the generation that answers a request.
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
#: A plain answer longer than this is passed on as it comes.
_LARGEST_PLAIN = 1024 * 1024


class Reply(Intake):
    """An answer being taken in; its subclasses know when it is whole.

    Parameters
    ----------
    answer : Output
        Where checked bytes go.
    attempt_id : str
        The attempt that this answer must belong to.

    Attributes
    ----------
    on_first : list of callable
        Called once as the first bytes come that may go to the caller.
    on_halt : callable or None
        Called where no more of the answer is wanted.
    halted : DispatchFault or None
        Why no more of it is wanted.
    declined : bool
        Whether the target says that it did not run the request.
    """

    def __init__(self, answer: Output, attempt_id: str) -> None:
        super().__init__()
        self.on_halt: Callable[[], None] | None = None
        self.halted: DispatchFault | None = None
        self.on_first: list[Callable[[], None]] = []
        self.answer = answer
        self.attempt_id = attempt_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.events = 0
        self.foreign = False
        self.declined = False
        self._passes = False

    @property
    def full(self) -> bool:
        """Whether every caller attached is far behind."""
        # A caller that reads slowly, or not at all without closing, would
        # have its whole answer pile up in its connection's buffer.
        return self.answer.backlog > _BACKLOG_LIMIT

    @property
    def generation(self) -> str:
        """The engine's name for the generation, empty if not known."""
        return self.headers.get(GENERATION_HEADER, '')

    def halt(self, fault: DispatchFault) -> None:
        """Take no more of the answer."""
        self.halted = fault
        self._passes = False
        if self.on_halt is not None:
            self.on_halt()

    def close(self) -> None:
        """End the attempt; what comes late is dropped."""
        super().close()
        self._passes = False
        self.on_halt = None

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head; an answer to another attempt is dropped."""
        self.status = status
        self.headers = headers
        self.declined = headers.get(_NOT_RUN_HEADER) == 'true'
        # A target that mixes up its connections would hand one caller's
        # answer to another. The echoed attempt shows it; nothing of such an
        # answer is passed on.
        echoed = headers.get(_ATTEMPT_HEADER, self.attempt_id)
        self.foreign = echoed != self.attempt_id
        self._passes = not (self.foreign or self.closed or self._withheld())
        self._tell_head()

    def write(self, chunk: bytes) -> None:
        """Take bytes of the body unless they are not for this caller."""
        if not self._passes:
            return
        while self.on_first:
            self.on_first.pop()()
        self._take(chunk)

    def whole(self) -> bool:
        """Return whether the answer has its end mark, or needs none."""
        return True

    def usage(self) -> Usage | None:
        """Return the target's usage figures, if it gave any."""
        return None

    def _withheld(self) -> bool:
        return self.declined or is_failure(self.status)

    def _tell_head(self) -> None:
        if self.on_head is not None and not self.foreign:
            self.on_head(self.status, self.headers)

    def _open(self, length: int = 0) -> None:
        if self.answer.status == 0:
            passed = {
                name: self.headers[name]
                for name in _PASSED_HEADERS
                if name in self.headers
            }
            # With its length named, a caller notices an answer cut short.
            if length:
                passed['content-length'] = str(length)
            self.answer.start(self.status, passed)

    def _take(self, chunk: bytes) -> None:
        self._open()
        self.answer.write(chunk)


class PlainReply(Reply):
    """An answer that is passed on once all of it is here.

    Parameters
    ----------
    answer, attempt_id
        As in `Reply`.
    checked : bool
        Whether a JSON body must be one that can be read.
    """

    def __init__(
        self,
        answer: Output,
        attempt_id: str,
        *,
        checked: bool = False,
    ) -> None:
        super().__init__(answer, attempt_id)
        self._checked = checked
        self._parts: list[bytes] = []
        self._size = 0

    def whole(self) -> bool:
        """Return whether a JSON body of an engine can be read."""
        kind = self.headers.get('content-type', '')
        if not self._checked or not kind.startswith('application/json'):
            return True
        return self.answer.status != 0 or self._read() is not None

    def usage(self) -> Usage | None:
        """Return the usage figures of a JSON body."""
        return read_usage(self._read())

    def deliver(self) -> None:
        """Pass the whole answer on."""
        body = b''.join(self._parts)
        self._open(len(body))
        if body:
            self.answer.write(body)

    def _withheld(self) -> bool:
        # The body of a plain service's own error is passed on in the end.
        return self.declined

    def _take(self, chunk: bytes) -> None:
        self._size += len(chunk)
        self._parts.append(chunk)
        # A long answer would take as much memory as its target likes. What
        # has been passed on can't be had from another target, though.
        if self._size > _LARGEST_PLAIN and not is_failure(self.status):
            self._open()
            self.answer.write(b''.join(self._parts))
            self._parts.clear()

    def _read(self) -> Any:
        return read_json(b''.join(self._parts))


def is_failure(status: int) -> bool:
    """Return whether a target's status means that it failed."""
    return status >= _FIRST_FAILURE
