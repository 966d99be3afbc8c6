"""Export of spans to an OTLP collector, which may be slow or unreachable."""

from collections.abc import Sequence

import requests
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)

from balsamreach.config.settings import TelemetrySettings

#: Maximum number of queued spans; beyond it the oldest are dropped.
MAX_QUEUED_SPANS = 2048
#: Maximum number of spans in one request to the collector.
MAX_BATCH_SPANS = 512

_EXPORT_TIMEOUT_S = 5
_PATH = '/v1/traces'


class CollectorExporter(SpanExporter):
    """Stops exporting to an unreachable collector when the process ends.

    Parameters
    ----------
    exporter : SpanExporter
        Exporter that sends the spans.
    """

    def __init__(self, exporter: SpanExporter):
        self._exporter = exporter
        self._failed = False
        self._ending = False

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Send a batch, unless the process ends and the last one failed."""
        # Each batch to an unreachable collector takes the whole timeout, so
        # a router with a full queue would seem to hang when it exits.
        if self._ending and self._failed:
            return SpanExportResult.FAILURE
        outcome = self._exporter.export(spans)
        self._failed = outcome is not SpanExportResult.SUCCESS
        return outcome

    def stop_after_failure(self) -> None:
        """Drop all further batches after a failed one."""
        self._ending = True

    def shutdown(self) -> None:
        """Close the connection to the collector."""
        self._exporter.shutdown()


class CollectorProcessor(BatchSpanProcessor):
    """Queues spans for a collector and sends them in a separate thread.

    Parameters
    ----------
    settings : TelemetrySettings
        Settings with the URL of the collector.
    """

    def __init__(self, settings: TelemetrySettings):
        session = requests.Session()
        # Ignore proxies that are set in the environment.
        session.trust_env = False
        self._collector = CollectorExporter(
            OTLPSpanExporter(
                endpoint=settings.otlp_url + _PATH,
                timeout=_EXPORT_TIMEOUT_S,
                session=session,
            ),
        )
        super().__init__(
            self._collector,
            max_queue_size=MAX_QUEUED_SPANS,
            max_export_batch_size=MAX_BATCH_SPANS,
        )

    def shutdown(self) -> None:
        """Send the queued spans; blocks for at most two batches' timeout."""
        self._collector.stop_after_failure()
        super().shutdown()
