"""What the handlers of the callers' listener have in common."""

import logging
from collections.abc import Callable
from typing import Any

import attrs
from tornado.web import RequestHandler

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.dispatch.dispatcher import Dispatcher
from balsamreach.dispatch.faults import MAYBE_RUN, NOT_RUN
from balsamreach.gateway.json_errors import JsonErrors
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
WHOLE = 'balsamreach_request_seconds'
FIRST_BYTE = 'balsamreach_first_byte_seconds'
#: What this router adds to the time that targets take.
ADDED = 'balsamreach_added_seconds'

_logger = logging.getLogger(__name__)
_CLIENT_GONE = 499


@attrs.frozen(kw_only=True)
class CallerContext:
    """What handlers of the callers' interface work with.

    Parameters
    ----------
    is_confirmed : callable
        Tells whether the view is known to be the newest.
    """

    cfg: Settings
    view: TableView
    is_confirmed: Callable[[], bool]
    dispatcher: Dispatcher
    clock: Clock
    shares: WeightedSplit
    metrics: Metrics
    tracing: Tracing


class ObservedHandler(JsonErrors):
    """Handler of the callers' listener: identified, counted and logged."""

    kind = 'other'

    def initialize(self, context: CallerContext) -> None:
        """Take the context that the application was made with."""
        self.context = context
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None
        self.minted = True
        self.team_name: str | None = None
        self.sink = HandlerSink(self, context.clock)
        self.received = context.clock.now()
        self._observed = False
        self.span = context.tracing.start_span(
            'caller',
            self.request.headers,
            method=self.request.method or '',
            kind=self.kind,
        )
        self.trail = Trail(self.span, context.tracing)
        self.name_request(mint_key())

    def name_request(self, key: str) -> None:
        """Set the identity under which answers and logs name the request."""
        self.request_id = key
        self.set_header('X-Request-Id', key)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal; by a table only if it is confirmed."""
        if refusal.by_table and not self.context.is_confirmed():
            # The team, key, model or service may have been added while this
            # router was cut off. Denied here, a proper request would be
            # given up; it would show as 401 and 404 beside table_not_read.
            refusal = NOT_READY
        self.refusal = refusal
        send_refusal(self, refusal)

    def ran(self) -> str:
        """Return whether the request may have run."""
        return NOT_RUN if self.answer is None else MAYBE_RUN

    def write_error(self, status_code: int, **_kwargs: Any) -> None:
        """Answer an error of the framework in the form of a refusal."""
        # The framework clears all headers before it calls this.
        self.name_request(self.request_id)
        self.refuse(from_status(status_code, self.ran()))

    def flush(self, include_footers: bool = False) -> Any:
        """Write out; the head says whether the connection stays open."""
        if self.application.settings.get('leaving'):
            self.set_header('Connection', 'close')
        return super().flush(include_footers)

    def on_finish(self) -> None:
        """Count and log the request, answered or not."""
        self.observe(self.get_status())

    def on_connection_close(self) -> None:
        """Log a request whose caller has gone."""
        self.observe(_CLIENT_GONE)

    def observe(self, status: int) -> None:
        """Count, log and trace how the request ended, once."""
        if self._observed:
            return
        self._observed = True
        seconds = self.context.clock.now() - self.received
        code = None if self.refusal is None else self.refusal.code
        outcome = _outcome(status, code)
        self._measure(seconds, outcome, code)
        self._log_request(status, seconds, code)
        self.span.set_attribute('status', status)
        self.span.set_attribute('outcome', outcome)
        self.span.end()

    def _measure(
        self,
        seconds: float,
        outcome: str,
        code: str | None,
    ) -> None:
        metrics = self.context.metrics
        metrics.count(REQUESTS, kind=self.kind, outcome=outcome)
        metrics.observe(WHOLE, seconds, kind=self.kind)
        if code is not None:
            metrics.count(REFUSALS, code=code)
        target = self.trail.timing.target
        if target:
            # A duplicate that joined a run waited for no target itself.
            metrics.observe(ADDED, seconds - target, kind=self.kind)
        if self.sink.first_at:
            first = self.sink.first_at - self.received
            metrics.observe(FIRST_BYTE, first, kind=self.kind)

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
    """Any path that nothing is served at."""

    def prepare(self) -> None:
        """Refuse the request."""
        self.refuse(from_status(404, NOT_RUN))


def _outcome(status: int, code: str | None) -> str:
    if status == _CLIENT_GONE:
        return 'caller_gone'
    return 'answered' if code is None else 'refused'


def log_nothing(_handler: RequestHandler) -> None:
    """Keep the framework's own access log out; handlers log themselves."""
