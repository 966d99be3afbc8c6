"""What the HTTP handlers of all stand-ins share."""

import json
from typing import Any

from tornado.web import HTTPError, RequestHandler


class StandinHandler(RequestHandler):
    """Handler that reads and writes JSON and can drop its connection."""

    @property
    def is_over(self) -> bool:
        """Whether the answer has ended or its connection was dropped."""
        return self._finished

    def json_body(self) -> dict[str, Any]:
        """Return the request's JSON object, or answer 400."""
        try:
            body = json.loads(self.request.body or b'{}')
        except ValueError:
            raise HTTPError(400) from None
        if not isinstance(body, dict):
            raise HTTPError(400)
        return body

    def reply(self, status: int, body: Any = None) -> None:
        """Finish with a status and a JSON body."""
        self.set_status(status)
        if body is None:
            self.finish()
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(body))

    def announce(self, leaving: str) -> None:
        """Let the answer's head say which start is leaving, if any."""
        if leaving:
            self.set_header('X-Leaving', leaving)

    def reject(self, retry_after_s: float) -> None:
        """Let the answer's head say that the request did not run.

        Parameters
        ----------
        retry_after_s : float
            Seconds for which no more requests are wanted; 0 names none.
        """
        self.set_header('X-Not-Run', 'true')
        if retry_after_s:
            self.set_header('Retry-After', str(retry_after_s))

    def drop(self) -> None:
        """Close the caller's connection without any further byte."""
        stream = self.request.connection.stream
        # Detaching keeps the framework from writing an answer afterwards.
        if stream is not None and not stream.closed():
            self.detach()
            stream.close()


def log_nothing(handler: RequestHandler) -> None:
    """Keep a stand-in's expected refusals out of the logs."""
