"""Sends spans to an OTLP collector, which may be slow or away."""

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

#: Most spans that wait for the collector; the oldest are dropped beyond.
MOST_WAITING = 2048
#: Most spans in one request to the collector.
MOST_IN_BATCH = 512

_EXPORT_S = 5
_PATH = '/v1/traces'


class CollectorExporter(SpanExporter):
    """Gives up on a collector that is away once the process ends.

    Parameters
    ----------
    exporter : SpanExporter
        Sends the spans.
    """

    def __init__(self, exporter: SpanExporter):
        self._exporter = exporter
        self._failed = False
        self._ending = False

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Send a batch, unless the process ends and the last one failed."""
        # Each batch takes its whole timeout with a collector that is away.
        # With a full queue a router would seem to hang at its very end.
        if self._ending and self._failed:
            return SpanExportResult.FAILURE
        outcome = self._exporter.export(spans)
        self._failed = outcome is not SpanExportResult.SUCCESS
        return outcome

    def end(self) -> None:
        """Begin to give up on the first failure."""
        self._ending = True

    def shutdown(self) -> None:
        """Close the connection to the collector."""
        self._exporter.shutdown()


class CollectorProcessor(BatchSpanProcessor):
    """Queues spans for a collector and sends them in a thread of its own.

    Parameters
    ----------
    settings : TelemetrySettings
        Where the collector is.
    """

    def __init__(self, settings: TelemetrySettings):
        session = requests.Session()
        # A proxy named in the environment must not come between.
        session.trust_env = False
        self._collector = CollectorExporter(
            OTLPSpanExporter(
                endpoint=settings.otlp_url + _PATH,
                timeout=_EXPORT_S,
                session=session,
            ),
        )
        super().__init__(
            self._collector,
            max_queue_size=MOST_WAITING,
            max_export_batch_size=MOST_IN_BATCH,
        )

    def shutdown(self) -> None:
        """Send what waits; blocks, for two batches' timeout at most."""
        self._collector.end()
        super().shutdown()
