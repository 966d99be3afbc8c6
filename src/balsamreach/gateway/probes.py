"""Readiness and metrics endpoints without the web framework.

A router that passes requests through has no other use for the framework,
whose import takes a tenth of the processor time of a start.
"""

from collections.abc import Callable
from http import HTTPStatus

import attrs
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)

from balsamreach.telemetry.metrics import CONTENT_TYPE, Metrics

_METRICS_PATH = '/metrics'
_JSON = 'application/json'
_READY = 'ready'
_METHODS = frozenset(('GET', 'HEAD'))


@attrs.frozen
class Probes(HTTPServerConnectionDelegate):
    """Serves readiness and metrics.

    Parameters
    ----------
    ready_path : str
        Path of the readiness endpoint.
    state : callable
        Returns the router's state.
    metrics : Metrics
        The router's metrics.
    """

    ready_path: str
    state: Callable[[], str]
    metrics: Metrics

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate for a connection's next request."""
        return _ProbeRequest(self.answer, request_conn)

    def answer(self, request: HTTPServerRequest) -> None:
        """Answer one request."""
        if request.method not in _METHODS:
            _answer(request, HTTPStatus.METHOD_NOT_ALLOWED, _JSON, b'{}')
        elif request.path == self.ready_path:
            self._answer_ready(request)
        elif request.path == _METRICS_PATH:
            body = self.metrics.render().encode()
            _answer(request, HTTPStatus.OK, CONTENT_TYPE, body)
        else:
            _answer(request, HTTPStatus.NOT_FOUND, _JSON, b'{}')

    def _answer_ready(self, request: HTTPServerRequest) -> None:
        state = self.state()
        status = HTTPStatus.OK
        if state != _READY:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        body = f'{{"status": "{state}"}}'.encode()
        _answer(request, status, _JSON, body)


class _ProbeRequest(HTTPMessageDelegate):
    """Receives one request; its body is not used."""

    def __init__(
        self,
        answer: Callable[[HTTPServerRequest], None],
        conn: HTTPConnection,
    ) -> None:
        self._answer = answer
        self._conn = conn
        self._request: HTTPServerRequest | None = None

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the head of the request."""
        self._request = HTTPServerRequest(
            connection=self._conn, start_line=start_line, headers=headers
        )

    def finish(self) -> None:
        """Answer the complete request."""
        self._answer(self._request)


def _answer(
    request: HTTPServerRequest,
    status: HTTPStatus,
    content_type: str,
    body: bytes,
) -> None:
    headers = HTTPHeaders()
    headers['Content-Type'] = content_type
    headers['Content-Length'] = str(len(body))
    line = ResponseStartLine('HTTP/1.1', status.value, status.phrase)
    payload = b'' if request.method == 'HEAD' else body
    request.connection.write_headers(line, headers, payload)
    request.connection.finish()
