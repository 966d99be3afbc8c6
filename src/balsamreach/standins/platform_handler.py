"""Base class of the simulated platform's HTTP handlers."""

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
    """Handler with access to the platform's services."""

    def initialize(self, platform: MemoryPlatform) -> None:
        """Set the services."""
        self.platform = platform

    def on_finish(self) -> None:
        """Count the bytes of a call and its response."""
        request_bytes = _headers_size(self.request.headers) + len(
            self.request.body
        )
        header_bytes = _headers_size(self._headers)
        body_bytes = int(self._headers.get('Content-Length', 0))
        self.platform.weather.bytes_moved += (
            request_bytes + header_bytes + body_bytes
        )

    def reply_fault(self, fault: PlatformFault) -> None:
        """Respond with a fault; drop the connection for UNKNOWN."""
        if fault == UNKNOWN:
            self.drop()
            return
        self.reply(_STATUSES[fault], {'error': fault.reason})


def _headers_size(headers: HTTPHeaders) -> int:
    return sum(len(name) + len(text) for name, text in headers.get_all())
