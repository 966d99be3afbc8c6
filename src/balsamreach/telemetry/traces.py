"""Creation of OpenTelemetry spans, and propagation in W3C headers."""

import random
from collections.abc import Mapping
from typing import Any, TextIO

from opentelemetry import context, trace
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from balsamreach.config.settings import Settings

Parent = Mapping[str, str] | trace.Span | None

_TRACER_NAME = 'balsamreach'
_PROPAGATOR = TraceContextTextMapPropagator()
_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64
#: W3C trace flags with the "random trace id" bit, without the "sampled" bit.
_RANDOM_ID_FLAG = 2


class ContextOnlyProvider:
    """Creates spans that propagate a trace id but are not recorded.

    The provider that records spans takes a quarter of a router's CPU time at
    its start, so it is only imported if traces are enabled.
    """

    def get_tracer(self, _name: str) -> 'ContextOnlyProvider':
        """Return this object, which also creates the spans."""
        return self

    def start_span(
        self,
        _name: str,
        context: context.Context,
        attributes: Mapping[str, Any],
    ) -> trace.Span:
        """Return a span in its parent's trace, or in a new trace."""
        parent = trace.get_current_span(context).get_span_context()
        new_trace_id = random.getrandbits(_TRACE_ID_BITS)
        return trace.NonRecordingSpan(
            trace.SpanContext(
                trace_id=parent.trace_id or new_trace_id,
                span_id=random.getrandbits(_SPAN_ID_BITS),
                is_remote=False,
                trace_flags=trace.TraceFlags(_RANDOM_ID_FLAG),
                trace_state=parent.trace_state,
            ),
        )

    def shutdown(self) -> None:
        """Do nothing, because no spans are queued."""


class Tracing:
    """Starts the spans of one process.

    Parameters
    ----------
    settings : Settings
        Destination of spans and the share of traced requests.
    stream : text stream, optional
        Output for JSON lines; standard error by default.
    """

    def __init__(self, settings: Settings, stream: TextIO | None = None):
        self._provider = _make_provider(settings, stream)
        self._tracer = self._provider.get_tracer(_TRACER_NAME)

    def start_span(
        self,
        name: str,
        parent: Parent = None,
        **attributes: Any,
    ) -> trace.Span:
        """Start a span; the caller ends it or uses it in a ``with`` block.

        Parameters
        ----------
        name : str
            Name of the hop.
        parent : mapping, Span or None
            Headers that may contain a ``traceparent``, the parent span, or
            None for a new trace.
        **attributes : Any
            Attributes of the span; must not contain keys or prompts.

        Returns
        -------
        opentelemetry.trace.Span
            The started span.
        """
        return self._tracer.start_span(
            name,
            context=_read_parent(parent),
            attributes=attributes,
        )

    def close(self) -> None:
        """Export the queued spans; no span may be started afterwards.

        This blocks while a collector is slow, so it must not be called on
        the event loop.
        """
        self._provider.shutdown()


def inject(span: trace.Span) -> dict[str, str]:
    """Return the headers that propagate a span's context."""
    headers: dict[str, str] = {}
    _PROPAGATOR.inject(
        headers, trace.set_span_in_context(span, _empty_context())
    )
    return headers


def trace_id(span: trace.Span) -> str:
    """Return the trace id of a span in hex."""
    return trace.format_trace_id(span.get_span_context().trace_id)


def _read_parent(parent: Parent) -> context.Context:
    # Each context starts empty, because the current context of OpenTelemetry
    # would link spans of different requests.
    if parent is None:
        return _empty_context()
    if isinstance(parent, trace.Span):
        return trace.set_span_in_context(parent, _empty_context())
    return _PROPAGATOR.extract(parent, _empty_context())


def _empty_context() -> context.Context:
    return context.Context()


def _make_provider(settings: Settings, stream: TextIO | None) -> Any:
    if settings.telemetry.traces == 'off':
        return ContextOnlyProvider()
    from balsamreach.telemetry.trace_provider import make_provider

    return make_provider(settings, stream)
