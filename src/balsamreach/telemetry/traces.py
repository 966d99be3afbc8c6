"""Spans by opentelemetry, and their context in W3C headers."""

import random
from collections.abc import Mapping
from typing import Any, TextIO

from opentelemetry import context, trace
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from balsamreach.config.settings import Settings

Parent = Mapping[str, str] | trace.Span | None

_NAME = 'balsamreach'
_PROPAGATOR = TraceContextTextMapPropagator()
_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64
#: Flag of a trace id that was drawn at random; none says "recorded".
_RANDOM_ID = 2


class SilentProvider:
    """Makes spans that only bear an identity, where none are recorded.

    What records them takes a quarter of a router's processor time at its
    start; only processes that are set to use it pay for it.
    """

    def get_tracer(self, _name: str) -> 'SilentProvider':
        """Return what makes spans."""
        return self

    def start_span(
        self,
        _name: str,
        context: context.Context,
        attributes: Mapping[str, Any],
    ) -> trace.Span:
        """Return a span of its parent's trace, or of a new one."""
        parent = trace.get_current_span(context).get_span_context()
        trace_number = random.getrandbits(_TRACE_ID_BITS)
        return trace.NonRecordingSpan(
            trace.SpanContext(
                trace_id=parent.trace_id or trace_number,
                span_id=random.getrandbits(_SPAN_ID_BITS),
                is_remote=False,
                trace_flags=trace.TraceFlags(_RANDOM_ID),
                trace_state=parent.trace_state,
            ),
        )

    def shutdown(self) -> None:
        """Nothing waits to be sent."""


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
        self._provider = _make_provider(settings, stream)
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


def _make_provider(settings: Settings, stream: TextIO | None) -> Any:
    if settings.telemetry.traces == 'off':
        return SilentProvider()
    from balsamreach.telemetry.trace_provider import make_provider

    return make_provider(settings, stream)
