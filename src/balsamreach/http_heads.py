"""Decides whether received lines are the head of an HTTP/1 answer.

Whoever reads an answer frames its body by the head. Two readers that
understand a malformed head differently take different bytes for the body, so
that a head with anything that RFC 9112 and RFC 9110 don't define is none at
all, and nothing of it is used. There is no input or output here.
"""

import re

import attrs

from balsamreach.faults import Fault

#: Version, status and reason. A status outside of 100 to 599 has no meaning,
#: and callers read it differently.
_STATUS_LINE = re.compile(
    rb'(HTTP/1\.[01]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?\r?\n'
)
#: Name, which is a token, and value, without control characters.
_FIELD = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)\r?\n",
)
#: A name on which the end of the body depends, within the value of another
#: header. Curl joins a line that begins with a blank to the line before, which
#: is one of the ways that RFC 9112 leaves. To other readers it is a header.
_FOLDED_FRAMING = re.compile(
    r'[ \t](content-length|transfer-encoding)[ \t]*:', re.IGNORECASE
)
_EMPTY_LINES = (b'\r\n', b'\n')
#: More digits don't fit into 64 bits.
_LENGTH = re.compile(r'[0-9]{1,18}')
#: Around a value, only these are no part of it.
_OPTIONAL_SPACE = ' \t'
_LENGTH_NAME = 'content-length'
_CODING_NAME = 'transfer-encoding'
_CHUNKED = 'chunked'
_CHUNKED_VERSION = b'HTTP/1.1'
_FIRST_FINAL_STATUS = 200
#: It ends the use of HTTP on the connection, which is never asked for.
_SWITCHING_PROTOCOLS = 101
#: Values of this header can't be joined to a list.
_NO_LIST = frozenset(('set-cookie',))
#: Maximum size in bytes of a head, with the interim heads before it and the
#: trailers behind its body. An endless one would exhaust the memory.
_MAX_BYTES = 64 * 1024


class HeadFault(Fault):
    """Fault of lines that are no head."""


#: A line, or what several lines say together, is not what HTTP defines.
MALFORMED = HeadFault('malformed_head')
#: The head is too large.
TOO_LARGE = HeadFault('head_too_large')


@attrs.frozen(kw_only=True)
class Head:
    """The head of a final answer.

    Parameters
    ----------
    status : int
        Status from 200 to 599.
    headers : dict of str to str
        Values by name in lower case; repeated ones are joined to a list. If
        there is a ``content-length``, it is a single decimal number, and a
        ``transfer-encoding`` is ``chunked``; they exclude each other.
    """

    status: int
    headers: dict[str, str]

    @property
    def length(self) -> int | None:
        """Bytes of the body that the head announces; None if it does not."""
        text = self.headers.get(_LENGTH_NAME)
        return None if text is None else int(text)


@attrs.define(eq=False)
class HeadReader:
    """Reads the lines of one answer up to the end of its final head.

    Parameters
    ----------
    head : Head or None
        The final head, once all of it was received.
    fault : HeadFault or None
        Why the lines are no head, or too many; None while they may be one.
        Further lines don't change it.
    size : int
        Bytes that were received.
    """

    head: Head | None = None
    fault: HeadFault | None = None
    size: int = 0
    _version: bytes = b''
    _status: int = 0
    _headers: dict[str, str] = attrs.field(factory=dict)
    _lengths: list[str] = attrs.field(factory=list)
    _codings: list[str] = attrs.field(factory=list)

    def read_line(self, line: bytes) -> None:
        """Read the next line.

        Parameters
        ----------
        line : bytes
            The line, with the line feed at its end. One without is the part
            that was received before the connection closed, and says nothing.
        """
        self.size += len(line)
        if self.fault is not None:
            return
        if self.size > _MAX_BYTES:
            self.fault = TOO_LARGE.because(
                'the head of the answer is too large'
            )
        elif self.head is None and line.endswith(b'\n'):
            self._read(line)

    def _read(self, line: bytes) -> None:
        if not self._status:
            self._read_status(line)
        elif line not in _EMPTY_LINES:
            self._read_field(line)
        elif self._status >= _FIRST_FINAL_STATUS:
            self._end()
        else:
            self._begin_again()

    def _read_status(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            self._fail('no status line')
            return
        self._version = match[1]
        self._status = int(match[2])
        if self._status == _SWITCHING_PROTOCOLS:
            self._fail('a switch to another protocol')

    def _read_field(self, line: bytes) -> None:
        match = _FIELD.fullmatch(line)
        if match is None:
            self._fail('a line that is no header')
            return
        name = match[1].decode().lower()
        text = match[2].decode('latin-1').strip(_OPTIONAL_SPACE)
        if name == _LENGTH_NAME:
            self._lengths.append(text)
        elif name == _CODING_NAME:
            self._codings.append(text.lower())
        elif ':' in text and _FOLDED_FRAMING.search(text):
            self._fail('a length or a transfer coding in a folded line')
        else:
            self._add(name, text)

    def _add(self, name: str, text: str) -> None:
        existing = self._headers.get(name, text)
        # Repeated headers are joined to a list, except those that can't
        # hold one.
        if existing != text and name not in _NO_LIST:
            text = f'{existing}, {text}'
        self._headers[name] = text

    def _begin_again(self) -> None:
        """Forget an interim head."""
        self._status = 0
        self._headers.clear()
        self._lengths.clear()
        self._codings.clear()

    def _end(self) -> None:
        problem = self._find_framing_problem()
        if problem:
            self._fail(problem)
            return
        if self._lengths:
            self._headers[_LENGTH_NAME] = str(int(self._lengths[0]))
        elif self._codings:
            self._headers[_CODING_NAME] = _CHUNKED
        self.head = Head(status=self._status, headers=self._headers)

    def _find_framing_problem(self) -> str:
        """Return why it isn't told where the body ends; empty if it is."""
        lengths, codings = self._lengths, self._codings
        if not all(map(_LENGTH.fullmatch, lengths)):
            return 'a length that is no number'
        if len(set(map(int, lengths))) > 1:
            return 'two lengths'
        if not codings:
            return ''
        if lengths:
            return 'a length beside a transfer coding'
        # A recipient of HTTP/1.0 doesn't know chunks.
        if codings != [_CHUNKED] or self._version != _CHUNKED_VERSION:
            return 'an unknown transfer coding'
        return ''

    def _fail(self, problem: str) -> None:
        self.fault = MALFORMED.because(f'the head of the answer has {problem}')


def connection_options(headers: dict[str, str]) -> frozenset[str]:
    """Return the headers that concern only the connection of an answer.

    Parameters
    ----------
    headers : dict of str to str
        Headers with names in lower case.
    """
    options = headers.get('connection', '').lower().split(',')
    return frozenset(option.strip(_OPTIONAL_SPACE) for option in options)
