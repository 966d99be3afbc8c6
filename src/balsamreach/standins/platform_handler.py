"""What the handlers of the stand-in platform share."""

from tornado.httputil import HTTPHeaders

from balsamreach.services.faults import (
    CONFLICT,
    INVALID,
    MISSING,
    UNAVAILABLE,
    UNKNOWN,
    PlatformFault,
)
from balsamreach.standins.handlers import StandinHandler
from balsamreach.standins.memory import MemoryPlatform

_STATUSES = {
    UNAVAILABLE: 503,
    CONFLICT: 409,
    INVALID: 400,
    MISSING: 404,
}


class PlatformHandler(StandinHandler):
    """Handler with the platform's services at hand."""

    def initialize(self, platform: MemoryPlatform) -> None:
        """Take the services in."""
        self.platform = platform

    def on_finish(self) -> None:
        """Count the bytes of a call that was answered."""
        called = _size(self.request.headers) + len(self.request.body)
        answered = _size(self._headers)
        body = int(self._headers.get('Content-Length', 0))
        self.platform.weather.bytes_moved += called + answered + body

    def refuse(self, fault: PlatformFault) -> None:
        """Answer a fault, or drop the connection where none may come."""
        if fault == UNKNOWN:
            self.drop()
            return
        self.reply(_STATUSES[fault], {'error': fault.reason})


def _size(headers: HTTPHeaders) -> int:
    return sum(len(name) + len(text) for name, text in headers.get_all())
