"""Writes an answer to a caller's connection as it comes in."""

from tornado.web import RequestHandler

from balsamreach.requests.answers import Sink


class HandlerSink(Sink):
    """Feeds one caller's copy of an answer into its HTTP response."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self.started = False

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers; they go out with the first bytes."""
        self.started = True
        self._handler.set_status(status)
        for name, text in headers.items():
            self._handler.set_header(name, text)

    def write(self, chunk: bytes) -> None:
        """Write bytes out at once."""
        self._handler.write(chunk)
        self._handler.flush()
