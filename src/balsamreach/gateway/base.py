"""Base class and context of the handlers of the callers' listener."""

import logging
from collections.abc import Callable
from typing import Any

import attrs
from tornado.web import RequestHandler

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.dispatch.dispatcher import Dispatcher
from balsamreach.dispatch.faults import MAYBE_RUN, NOT_RUN
from balsamreach.gateway.json_errors import JsonErrorHandler
from balsamreach.gateway.refusals import (
    NOT_READY,
    Refusal,
    from_status,
    send_refusal,
)
from balsamreach.gateway.sinks import HandlerSink
from balsamreach.requests.answers import Answer
from balsamreach.requests.identity import mint_key
from balsamreach.routing.weighted_split import WeightedSplit
from balsamreach.table.view import TableView
from balsamreach.telemetry.hops import Trail
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.telemetry.traces import Tracing, trace_id

REQUESTS = 'balsamreach_requests_total'
REFUSALS = 'balsamreach_refusals_total'
REQUEST_SECONDS = 'balsamreach_request_seconds'
FIRST_BYTE_SECONDS = 'balsamreach_first_byte_seconds'
#: Time spent in this router, without the time spent at targets.
ADDED_SECONDS = 'balsamreach_added_seconds'

_logger = logging.getLogger(__name__)
_CALLER_GONE = 499


@attrs.frozen(kw_only=True)
class CallerContext:
    """Services that the handlers of the callers' interface use.

    Parameters
    ----------
    is_confirmed : callable
        Returns whether the view is confirmed to be the newest.
    """

    cfg: Settings
    view: TableView
    is_confirmed: Callable[[], bool]
    dispatcher: Dispatcher
    clock: Clock
    shares: WeightedSplit
    metrics: Metrics
    tracing: Tracing


class ObservedHandler(JsonErrorHandler):
    """Handler that gives each request an ID, counts it and logs it."""

    kind = 'other'

    def initialize(self, context: CallerContext) -> None:
        """Store the context and set up the state of one request."""
        self.context = context
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None
        self.has_generated_key = True
        self.team_name: str | None = None
        self.sink = HandlerSink(self, context.clock)
        self.received_at = context.clock.now()
        self._is_recorded = False
        self.span = context.tracing.start_span(
            'caller',
            self.request.headers,
            method=self.request.method or '',
            kind=self.kind,
        )
        self.trail = Trail(self.span, context.tracing)
        self.assign_request_id(mint_key())

    def assign_request_id(self, key: str) -> None:
        """Set the request ID that responses and logs show."""
        self.request_id = key
        self.set_header('X-Request-Id', key)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal, or NOT_READY if it relies on an unconfirmed table.

        Parameters
        ----------
        refusal : Refusal
            Error to send.
        """
        if refusal.relies_on_table and not self.context.is_confirmed():
            # The team, key, model or service may have been added while this
            # router was disconnected. A 401 or 404 would make the caller
            # give up a valid request, and these statuses would show up
            # beside table_not_read.
            refusal = NOT_READY
        self.refusal = refusal
        send_refusal(self, refusal)

    def execution_status(self) -> str:
        """Return whether the request may have run."""
        return NOT_RUN if self.answer is None else MAYBE_RUN

    def write_error(self, status_code: int, **_kwargs: Any) -> None:
        """Send an error raised by the framework as a refusal."""
        # The framework clears all headers before this call.
        self.assign_request_id(self.request_id)
        self.refuse(from_status(status_code, self.execution_status()))

    def flush(self, include_footers: bool = False) -> Any:
        """Flush the response; set ``Connection: close`` while leaving."""
        if self.application.settings.get('leaving'):
            self.set_header('Connection', 'close')
        return super().flush(include_footers)

    def finish(self, chunk: Any = None) -> Any:
        """Send the end of the response, and free the body of the request.

        The handler and its sink refer to each other, so that only the garbage
        collector frees them, and what they hold, a long time later.
        """
        self.request.body = b''
        return super().finish(chunk)

    def on_finish(self) -> None:
        """Record the finished request."""
        self.record_outcome(self.get_status())

    def on_connection_close(self) -> None:
        """Record a request whose caller closed the connection."""
        self.record_outcome(_CALLER_GONE)

    def record_outcome(self, status: int) -> None:
        """Record the outcome in metrics, log and trace, at most once."""
        if self._is_recorded:
            return
        self._is_recorded = True
        seconds = self.context.clock.now() - self.received_at
        code = None if self.refusal is None else self.refusal.code
        outcome = _outcome(status, code)
        self._record_metrics(seconds, outcome, code)
        self._log_request(status, seconds, code)
        self.span.set_attribute('status', status)
        self.span.set_attribute('outcome', outcome)
        self.span.end()

    def _record_metrics(
        self,
        seconds: float,
        outcome: str,
        code: str | None,
    ) -> None:
        metrics = self.context.metrics
        metrics.count(REQUESTS, kind=self.kind, outcome=outcome)
        metrics.observe(REQUEST_SECONDS, seconds, kind=self.kind)
        if code is not None:
            metrics.count(REFUSALS, code=code)
        target_seconds = self.trail.timing.target
        if target_seconds:
            # A duplicate that joined a run has no target time of its own.
            metrics.observe(
                ADDED_SECONDS, seconds - target_seconds, kind=self.kind
            )
        if self.sink.first_byte_at:
            first_byte_seconds = self.sink.first_byte_at - self.received_at
            metrics.observe(
                FIRST_BYTE_SECONDS, first_byte_seconds, kind=self.kind
            )

    def _log_request(
        self, status: int, seconds: float, code: str | None
    ) -> None:
        log_event(
            _logger,
            logging.INFO,
            'request_served',
            request_id=self.request_id,
            team=self.team_name,
            reason=code,
            method=self.request.method,
            kind=self.kind,
            status=status,
            ran=None if self.refusal is None else self.refusal.ran,
            seconds=round(seconds, 6),
            trace_id=trace_id(self.span),
        )


class NotFoundHandler(ObservedHandler):
    """Handler of all paths without a route."""

    def prepare(self) -> None:
        """Send status 404."""
        self.refuse(from_status(404, NOT_RUN))


def _outcome(status: int, code: str | None) -> str:
    if status == _CALLER_GONE:
        return 'caller_gone'
    return 'answered' if code is None else 'refused'


def disable_access_log(_handler: RequestHandler) -> None:
    """Disable the framework's access log; handlers log requests themselves."""
