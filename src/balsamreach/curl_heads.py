"""Reads the heads of answers that come through curl."""

import attrs
from tornado.httpclient import HTTPRequest

from balsamreach.http_heads import Head, HeadReader


@attrs.define(eq=False)
class CurlHead:
    """The head of the answer to one request.

    Curl reports no error for a connection that closes within the head. What
    was received of it would pass for an answer without a body, and its status
    for the outcome of the call. It also passes on lines that are no headers.
    """

    _reader: HeadReader = attrs.field(factory=HeadReader)

    @property
    def final(self) -> Head | None:
        """The final head; None if it wasn't received, or is malformed."""
        return None if self._reader.fault else self._reader.head

    @property
    def problem(self) -> str:
        """Why there is no head; empty if there is one."""
        if self._reader.fault is not None:
            return self._reader.fault.reason
        if self._reader.head is None:
            return 'the connection closed within the head'
        return ''

    def watch(self, request: HTTPRequest) -> None:
        """Read the head of the answer to a request that is sent next."""
        request.header_callback = self._read_text

    def read_line(self, line: bytes) -> None:
        """Read the next line, as curl's callback for headers."""
        self._reader.read_line(line)

    def _read_text(self, line: str) -> None:
        # Tornado decodes the lines by this encoding, which loses nothing.
        self._reader.read_line(line.encode('latin-1'))
