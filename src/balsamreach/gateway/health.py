"""Health and metrics endpoints, open to anyone who reaches a listener."""

from collections.abc import Callable
from http import HTTPStatus

from balsamreach.gateway.json_errors import JsonErrors
from balsamreach.telemetry.metrics import CONTENT_TYPE, Metrics


class HealthHandler(JsonErrors):
    """``GET /healthz``: the process runs its event loop."""

    def get(self) -> None:
        """Answer that the process is alive."""
        self.finish({'status': 'ok'})

    head = get


class ReadyHandler(JsonErrors):
    """``GET /readyz``: whether new requests should be sent here."""

    def initialize(self, state: Callable[[], str]) -> None:
        """Take the function that tells the router's state."""
        self._state = state

    def get(self) -> None:
        """Answer 200 if the router is ready, else 503 with its state."""
        state = self._state()
        if state != 'ready':
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish({'status': state})

    head = get


class MetricsHandler(JsonErrors):
    """``GET /metrics``: counters and latencies in Prometheus' text form."""

    def initialize(self, metrics: Metrics) -> None:
        """Take the router's metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header('Content-Type', CONTENT_TYPE)
        self.finish(self._metrics.render())
