"""Base class of the HTTP handlers of all simulated services."""

import json
from typing import Any

from tornado.web import HTTPError, RequestHandler


class StandinHandler(RequestHandler):
    """Handler that reads and writes JSON and can drop its connection."""

    @property
    def is_finished(self) -> bool:
        """Whether the response is complete or the connection was dropped."""
        return self._finished

    def json_body(self) -> dict[str, Any]:
        """Return the request's JSON object; raise HTTPError 400 if invalid."""
        try:
            body = json.loads(self.request.body or b'{}')
        except ValueError:
            raise HTTPError(400) from None
        if not isinstance(body, dict):
            raise HTTPError(400)
        return body

    def reply(self, status: int, body: Any = None) -> None:
        """Finish the response with a status and an optional JSON body."""
        self.set_status(status)
        if body is None:
            self.finish()
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(body))

    def announce(self, leaving: str) -> None:
        """Set ``X-Leaving`` to the incarnation that is leaving, if any."""
        if leaving:
            self.set_header('X-Leaving', leaving)

    def reject(self, retry_after_s: float) -> None:
        """Set the headers that say that the request did not run.

        Parameters
        ----------
        retry_after_s : float
            Seconds to send no further requests; 0 for no ``Retry-After``.
        """
        self.set_header('X-Not-Run', 'true')
        if retry_after_s:
            self.set_header('Retry-After', str(retry_after_s))

    def drop(self) -> None:
        """Close the caller's connection without sending anything."""
        stream = self.request.connection.stream
        # Detaching prevents Tornado from writing a response afterwards.
        if stream is not None and not stream.closed():
            self.detach()
            stream.close()


def log_nothing(handler: RequestHandler) -> None:
    """Log nothing, so that expected refusals stay out of the logs."""
