"""Spans of a request's hops, linked by a context variable of the task."""

from collections.abc import Generator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any

import attrs
from opentelemetry import trace

from balsamreach.telemetry.traces import Tracing, inject

_TRACEPARENT = 'traceparent'


@attrs.define
class Timing:
    """Time that parts of a request took.

    Parameters
    ----------
    target : float
        Seconds spent waiting for targets, over all attempts.
    """

    target: float = 0


@attrs.frozen
class Trail:
    """Trace context of one request at this router.

    Parameters
    ----------
    span : Span
        Span of the current hop; spans of new hops become its children.
    tracing : Tracing
        Starts the spans of the hops.
    timing : Timing
        Updated by the hops; shared by all hops of the request.
    """

    span: trace.Span
    tracing: Tracing
    timing: Timing = attrs.field(factory=Timing)


_CURRENT: ContextVar[Trail | None] = ContextVar('trail', default=None)


@contextmanager
def following(trail: Trail) -> Generator[None, None, None]:
    """Make a trail the current one in this block and tasks started in it."""
    token = _CURRENT.set(trail)
    try:
        yield
    finally:
        _CURRENT.reset(token)


@contextmanager
def hop(
    name: str,
    **attributes: Any,
) -> Generator[trace.Span, None, None]:
    """Run a block as one hop of the current request.

    Parameters
    ----------
    name : str
        Name of the hop.
    **attributes : Any
        Attributes of the span; must not contain keys or prompts.

    Yields
    ------
    Span
        Span of the hop; an invalid span outside of a sampled request.
    """
    trail = _CURRENT.get()
    # Most requests are not sampled, and internal work belongs to no request.
    # Neither needs a span, which would cost CPU time.
    if trail is None or not trail.span.is_recording():
        yield trace.INVALID_SPAN
        return
    span = trail.tracing.start_span(name, trail.span, **attributes)
    with following(attrs.evolve(trail, span=span)):
        try:
            yield span
        finally:
            span.end()


@contextmanager
def continuing(
    tracing: Tracing | None,
    traceparent: str,
    name: str,
    **attributes: Any,
) -> Generator[trace.Span, None, None]:
    """Run a block as a hop of a request that another router serves.

    Parameters
    ----------
    tracing : Tracing or None
        Starts the span of the hop; None without tracing.
    traceparent : str
        Trace context from the other router; empty if no request is traced.
    name : str
        Name of the hop.
    **attributes : Any
        Attributes of the span; must not contain keys or prompts.

    Yields
    ------
    Span
        Span of the hop; an invalid span if no request is traced.
    """
    if tracing is None or not traceparent:
        yield trace.INVALID_SPAN
        return
    headers = {_TRACEPARENT: traceparent}
    span = tracing.start_span(name, headers, **attributes)
    with following(Trail(span, tracing)):
        try:
            yield span
        finally:
            span.end()


def current() -> Trail | None:
    """Return the trail of the current request, None outside of a request."""
    return _CURRENT.get()


def current_headers() -> dict[str, str]:
    """Return the headers that propagate the trace to the next hop."""
    trail = _CURRENT.get()
    return {} if trail is None else inject(trail.span)


def current_traceparent() -> str:
    """Return the traceparent to send to another router; empty for none.

    For a request that is not sampled it is empty, because the other router
    would record no span either and the bytes would be wasted.
    """
    trail = _CURRENT.get()
    if trail is None or not trail.span.is_recording():
        return ''
    return inject(trail.span).get(_TRACEPARENT, '')
