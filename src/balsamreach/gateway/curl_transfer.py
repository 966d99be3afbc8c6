"""One transfer's side of curl: its callbacks and what they learned."""

from collections.abc import Callable
from typing import Any

import attrs
import pycurl

from balsamreach.dispatch.upstream import Intake

#: Largest head of an answer, all lines together.
_HEAD_LIMIT = 64 * 1024
_REFUSED = 0
_FINAL = 200
_NO_LISTS = frozenset(('content-length', 'set-cookie'))


@attrs.define(eq=False)
class Transfer:
    """Feeds one answer to its intake.

    Parameters
    ----------
    intake : Intake
        Takes in the answer.
    started : bool
        Whether the whole head has come.
    heard : bool
        Whether bytes came since this was last set to false.
    paused : bool
        Whether the target isn't read from, as the callers are behind.
    problem : str
        Why this side stopped the transfer; empty if it did not.
    """

    intake: Intake
    on_pause: Callable[[], None] | None = None
    heard: bool = False
    paused: bool = False
    problem: str = ''
    started: bool = False
    _status: int = 0
    _headers: dict[str, str] = attrs.field(factory=dict)
    _head_size: int = 0

    def before_send(self, *_addresses: Any) -> int:
        """Ask the intake before curl sends the request."""
        # Curl sends a request again by itself where a reused connection
        # closes without an answer. A certificate would be made twice, and
        # a request that crashes its target would hit it again unseen by
        # the retry budget. The intake allows the first sending only.
        if self.intake.may_send():
            return pycurl.PREREQFUNC_OK
        self.problem = 'the target closed a reused connection'
        return pycurl.PREREQFUNC_ABORT

    def take_line(self, line: bytes) -> int:
        """Take a line of the head; the empty one ends it."""
        self.heard = True
        self._head_size += len(line)
        # A target that never ends its head would fill the memory.
        if self._head_size > _HEAD_LIMIT:
            self.problem = 'the head of the answer is too large'
            return _REFUSED
        if not self.started:
            self._read_line(line.decode('latin-1').strip())
        return len(line)

    def take_body(self, chunk: bytes) -> int | None:
        """Take bytes of the body, or pause where the callers are behind."""
        if self.intake.is_full:
            self._pause()
            return pycurl.WRITEFUNC_PAUSE
        self.heard = True
        self.intake.write(chunk)
        return None

    def _pause(self) -> None:
        self.paused = True
        if self.on_pause is not None:
            self.on_pause()

    def _read_line(self, line: str) -> None:
        if line.startswith('HTTP/'):
            self._status = _status_of(line)
            self._headers = {}
        elif line:
            name, _colon, text = line.partition(':')
            self._add_header(name.strip().lower(), text.strip())
        elif self._status >= _FINAL:
            self.started = True
            self.intake.start(self._status, self._headers)

    def _add_header(self, name: str, text: str) -> None:
        known = self._headers.get(name, text)
        # Lines of one name are one list, but for those that hold no list.
        if known != text and name not in _NO_LISTS:
            text = f'{known}, {text}'
        self._headers[name] = text


def _status_of(line: str) -> int:
    code = line.split(' ')[1]
    return int(code) if code.isdigit() else 0
