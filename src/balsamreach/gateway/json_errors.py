"""Base handler that sends errors as JSON, for all listeners.

It is separate from the callers' handlers, which import the whole dispatch of
requests. A router that passes requests through needs none of that, and
importing it would add a third to the processor time of a start.
"""

from typing import Any

from tornado.web import RequestHandler

from balsamreach.dispatch.faults import NOT_RUN
from balsamreach.gateway.refusals import from_status, send_refusal


class JsonErrorHandler(RequestHandler):
    """Handler that sends every error as a JSON refusal, never as HTML."""

    def set_default_headers(self) -> None:
        """Remove the header that names the server software."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **_kwargs: Any) -> None:
        """Send an error raised by the framework as a refusal."""
        send_refusal(self, from_status(status_code, self.execution_status()))

    def execution_status(self) -> str:
        """Return whether the request may have run."""
        return NOT_RUN
