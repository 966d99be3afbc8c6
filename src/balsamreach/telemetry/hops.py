"""Spans of a request's hops, tied together by the task they run in."""

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
    """Where a request's time went.

    Parameters
    ----------
    target : float
        Seconds spent waiting for targets, over all attempts.
    """

    target: float = 0


@attrs.frozen
class Trail:
    """One request's trace at this router.

    Parameters
    ----------
    span : Span
        The hop that runs now; new hops become its children.
    tracing : Tracing
        Starts the spans of the hops.
    timing : Timing
        Filled in on the way; shared by all hops of the request.
    """

    span: trace.Span
    tracing: Tracing
    timing: Timing = attrs.field(factory=Timing)


_CURRENT: ContextVar[Trail | None] = ContextVar('trail', default=None)


@contextmanager
def following(trail: Trail) -> Generator[None, None, None]:
    """Make a trail that of this block and of tasks started in it."""
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
    """Run a block as one hop of the request at hand.

    Parameters
    ----------
    name : str
        Name of the hop.
    **attributes : Any
        What is known of it; never keys or prompts.

    Yields
    ------
    Span
        The hop's span; one that goes nowhere outside of a request.
    """
    trail = _CURRENT.get()
    # Most requests are not sampled, and work of the router's own belongs to
    # none: neither is worth the price of a span.
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
        Starts the hop's span; None where nothing is traced.
    traceparent : str
        The other router's context; empty for work of no traced request.
    name : str
        Name of the hop.
    **attributes : Any
        What is known of it; never keys or prompts.

    Yields
    ------
    Span
        The hop's span; one that goes nowhere where nothing is traced.
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
    """Return the trail of the request at hand, None outside of one."""
    return _CURRENT.get()


def current_headers() -> dict[str, str]:
    """Return the headers that carry the request's trace to the next hop."""
    trail = _CURRENT.get()
    return {} if trail is None else inject(trail.span)


def current_traceparent() -> str:
    """Return what carries the trace to another router; empty for none.

    A request that isn't sampled leaves no span there either, so it isn't
    worth the bytes.
    """
    trail = _CURRENT.get()
    if trail is None or not trail.span.is_recording():
        return ''
    return inject(trail.span).get(_TRACEPARENT, '')
