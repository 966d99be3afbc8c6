"""Handlers whose errors are JSON, for all listeners.

They stand apart from the callers' handlers, which import the whole way of a
request: a router that passes requests through needs none of that, and its
host would spend a third more processor time on a start.
"""

from typing import Any

from tornado.web import RequestHandler

from balsamreach.dispatch.faults import NOT_RUN
from balsamreach.gateway.refusals import from_status, send_refusal


class JsonErrors(RequestHandler):
    """Handler whose every error is a JSON refusal, never a page of HTML."""

    def set_default_headers(self) -> None:
        """Name no server software."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **_kwargs: Any) -> None:
        """Answer an error of the framework in the form of a refusal."""
        send_refusal(self, from_status(status_code, self.ran()))

    def ran(self) -> str:
        """Return whether the request may have run."""
        return NOT_RUN
