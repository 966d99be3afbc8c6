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
    rb'(HTTP/1\.[01]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?'
)
#: Name, which is a token, and value, without control characters.
_FIELD = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)",
)
#: A name of which the body's end depends, within the value of another header.
#: Curl joins a line that begins with a blank to the line before, which is one
#: of the ways that RFC 9112 leaves. The same name is a header to other readers.
_FOLDED_FRAMING = re.compile(
    r'[ \t](content-length|transfer-encoding)[ \t]*:', re.IGNORECASE
)
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
        Why the lines are no head; None while they may be one. A line behind
        it changes nothing.
    size : int
        Bytes that were received.
    """

    head: Head | None = None
    fault: HeadFault | None = None
    size: int = 0
    _version: bytes = b''
    _status: int = 0
    _fields: list[tuple[str, str]] = attrs.field(factory=list)

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
            self._read(line.removesuffix(b'\n').removesuffix(b'\r'))

    def _read(self, text: bytes) -> None:
        if not self._status:
            self._read_status(text)
        elif text:
            self._read_field(text)
        elif self._status >= _FIRST_FINAL_STATUS:
            self._end()
        else:
            self._status = 0
            self._fields.clear()

    def _read_status(self, text: bytes) -> None:
        match = _STATUS_LINE.fullmatch(text)
        if match is None:
            self._fail('no status line')
            return
        self._version = match[1]
        self._status = int(match[2])
        if self._status == _SWITCHING_PROTOCOLS:
            self._fail('a switch to another protocol')

    def _read_field(self, text: bytes) -> None:
        match = _FIELD.fullmatch(text)
        if match is None:
            self._fail('a line that is no header')
            return
        name, field = match[1].decode(), match[2].decode('latin-1')
        self._fields.append((name.lower(), field.strip(_OPTIONAL_SPACE)))

    def _end(self) -> None:
        problem = _find_framing_problem(self._version, self._fields)
        if problem:
            self._fail(problem)
        else:
            self.head = Head(
                status=self._status, headers=_join_fields(self._fields)
            )

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


def _find_framing_problem(version: bytes, fields: list[tuple[str, str]]) -> str:
    """Return why a head doesn't say where the body ends; empty if it does."""
    lengths = [text for name, text in fields if name == _LENGTH_NAME]
    codings = [text.lower() for name, text in fields if name == _CODING_NAME]
    if any(_FOLDED_FRAMING.search(text) for _name, text in fields):
        return 'a length or a transfer coding in a folded line'
    if not all(map(_LENGTH.fullmatch, lengths)):
        return 'a length that is no number'
    if len(set(map(int, lengths))) > 1:
        return 'two lengths'
    if not codings:
        return ''
    if lengths:
        return 'a length beside a transfer coding'
    # A recipient of HTTP/1.0 doesn't know chunks.
    if codings != [_CHUNKED] or version != _CHUNKED_VERSION:
        return 'an unknown transfer coding'
    return ''


def _join_fields(fields: list[tuple[str, str]]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, text in fields:
        existing = headers.get(name, text)
        if existing != text and name not in _NO_LIST:
            text = f'{existing}, {text}'
        headers[name] = text
    if _LENGTH_NAME in headers:
        headers[_LENGTH_NAME] = str(int(headers[_LENGTH_NAME].split(',')[0]))
    if _CODING_NAME in headers:
        headers[_CODING_NAME] = _CHUNKED
    return headers
