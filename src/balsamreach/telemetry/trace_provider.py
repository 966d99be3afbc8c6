"""Setup of the provider that records and exports spans."""

import json
import sys
from collections.abc import Sequence
from typing import Any, TextIO

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import (
    ReadableSpan,
    SpanProcessor,
    TracerProvider,
)
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import (
    ParentBased,
    Sampler,
    TraceIdRatioBased,
)

from balsamreach.config.settings import Settings, TelemetrySettings

SERVICE_NAME = 'balsamreach'
_NANOSECONDS = 1_000_000_000


class LineExporter(SpanExporter):
    """Writes each span as one JSON line.

    Parameters
    ----------
    stream : text stream
        Output.
    """

    def __init__(self, stream: TextIO):
        self._stream = stream

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans in the order they ended."""
        for span in spans:
            line = json.dumps(_describe(span), default=str)
            self._stream.write(f'{line}\n')
        self._stream.flush()
        return SpanExportResult.SUCCESS


def make_provider(
    settings: Settings,
    stream: TextIO | None,
) -> TracerProvider:
    """Create the provider that records and exports spans.

    Parameters
    ----------
    settings : Settings
        Destination of spans and the share of traced requests.
    stream : text stream or None
        Output for JSON lines; None for standard error.
    """
    provider = TracerProvider(
        sampler=_make_sampler(settings.telemetry),
        resource=_make_resource(settings),
        shutdown_on_exit=False,
    )
    if settings.telemetry.traces == 'stderr':
        exporter = LineExporter(stream or sys.stderr)
        provider.add_span_processor(SimpleSpanProcessor(exporter))
    if settings.telemetry.traces == 'otlp':
        provider.add_span_processor(_make_otlp(settings.telemetry))
    return provider


def _make_sampler(settings: TelemetrySettings) -> Sampler:
    return ParentBased(TraceIdRatioBased(settings.trace_share))


def _make_resource(settings: Settings) -> Resource:
    return Resource(
        {
            'service.name': SERVICE_NAME,
            'host.name': settings.host.name,
            'cloud.availability_zone': settings.host.zone,
        }
    )


def _make_otlp(settings: TelemetrySettings) -> SpanProcessor:
    # Importing the exporter takes a good part of a second, so only processes
    # that use it import it.
    from balsamreach.telemetry.otlp import CollectorProcessor

    return CollectorProcessor(settings)


def _describe(span: ReadableSpan) -> dict[str, Any]:
    ids = span.get_span_context()
    parent = span.parent
    return {
        'span': span.name,
        'trace_id': trace.format_trace_id(ids.trace_id),
        'span_id': trace.format_span_id(ids.span_id),
        'parent_id': parent and trace.format_span_id(parent.span_id),
        'start': span.start_time / _NANOSECONDS,
        'seconds': (span.end_time - span.start_time) / _NANOSECONDS,
        'status': span.status.status_code.name.lower(),
        'host': span.resource.attributes['host.name'],
        'zone': span.resource.attributes['cloud.availability_zone'],
        'attributes': dict(span.attributes),
    }
