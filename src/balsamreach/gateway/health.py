"""Health and metrics endpoints, which need no key."""

from collections.abc import Callable
from http import HTTPStatus

from balsamreach.gateway.json_errors import JsonErrorHandler
from balsamreach.telemetry.metrics import CONTENT_TYPE, Metrics


class HealthHandler(JsonErrorHandler):
    """``GET /healthz``: whether the process runs its event loop."""

    def get(self) -> None:
        """Send status 200."""
        self.finish({'status': 'ok'})

    head = get


class ReadyHandler(JsonErrorHandler):
    """``GET /readyz``: whether new requests should be sent here."""

    def initialize(self, state: Callable[[], str]) -> None:
        """Store the function that returns the router's state."""
        self._state = state

    def get(self) -> None:
        """Send the state, with status 200 if it is ready, else 503."""
        state = self._state()
        if state != 'ready':
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish({'status': state})

    head = get


class MetricsHandler(JsonErrorHandler):
    """``GET /metrics``: all metrics in the Prometheus text format."""

    def initialize(self, metrics: Metrics) -> None:
        """Store the router's metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Send all metrics."""
        self.set_header('Content-Type', CONTENT_TYPE)
        self.finish(self._metrics.render())
