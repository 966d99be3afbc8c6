"""Spans by opentelemetry, and their context in W3C headers."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any, TextIO

from opentelemetry import context, trace
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
    ALWAYS_OFF,
    ParentBased,
    Sampler,
    TraceIdRatioBased,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from balsamreach.config.settings import Settings, TelemetrySettings

Parent = Mapping[str, str] | trace.Span | None

_NAME = 'balsamreach'
_NANOSECONDS = 1_000_000_000
_PROPAGATOR = TraceContextTextMapPropagator()


class LineExporter(SpanExporter):
    """Writes each span as one JSON line.

    Parameters
    ----------
    stream : text stream
        Where lines go.
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


class Tracing:
    """Starts the spans of one process.

    Parameters
    ----------
    settings : Settings
        Where spans go and which share of them.
    stream : text stream, optional
        Where JSON lines go; standard error by default.
    """

    def __init__(self, settings: Settings, stream: TextIO | None = None):
        self._provider = TracerProvider(
            sampler=_make_sampler(settings.telemetry),
            resource=_make_resource(settings),
            shutdown_on_exit=False,
        )
        if settings.telemetry.traces == 'stderr':
            exporter = LineExporter(stream or sys.stderr)
            self._provider.add_span_processor(SimpleSpanProcessor(exporter))
        if settings.telemetry.traces == 'otlp':
            processor = _make_otlp(settings.telemetry)
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer(_NAME)

    def start_span(
        self,
        name: str,
        parent: Parent = None,
        **attributes: Any,
    ) -> trace.Span:
        """Start a span; the caller ends it, or uses it in a ``with``.

        Parameters
        ----------
        name : str
            Name of the hop.
        parent : mapping, Span or None
            Headers that may carry a ``traceparent``, the span this one is
            part of, or None for a new trace.
        **attributes : Any
            What is known of the hop; never keys or prompts.

        Returns
        -------
        opentelemetry.trace.Span
            The running span.
        """
        return self._tracer.start_span(
            name,
            context=_read_parent(parent),
            attributes=attributes,
        )

    def close(self) -> None:
        """Send out what is waiting; no span may start afterwards.

        This blocks while a collector is slow: not for the event loop.
        """
        self._provider.shutdown()


def inject(span: trace.Span) -> dict[str, str]:
    """Return the headers that carry a span's context to the next hop."""
    headers: dict[str, str] = {}
    _PROPAGATOR.inject(headers, trace.set_span_in_context(span, _root()))
    return headers


def trace_id(span: trace.Span) -> str:
    """Return the hex trace id by which one request can be followed."""
    return trace.format_trace_id(span.get_span_context().trace_id)


def _read_parent(parent: Parent) -> context.Context:
    # Every context starts from an empty one: the ambient context of
    # opentelemetry would tie spans of different requests together.
    if parent is None:
        return _root()
    if isinstance(parent, trace.Span):
        return trace.set_span_in_context(parent, _root())
    return _PROPAGATOR.extract(parent, _root())


def _root() -> context.Context:
    return context.Context()


def _make_sampler(settings: TelemetrySettings) -> Sampler:
    if settings.traces == 'off':
        return ALWAYS_OFF
    return ParentBased(TraceIdRatioBased(settings.trace_share))


def _make_resource(settings: Settings) -> Resource:
    return Resource(
        {
            'service.name': _NAME,
            'host.name': settings.host.name,
            'cloud.availability_zone': settings.host.zone,
        }
    )


def _make_otlp(settings: TelemetrySettings) -> SpanProcessor:
    # The exporter takes a good part of a second to import; only processes
    # that are set to use it pay for it.
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
