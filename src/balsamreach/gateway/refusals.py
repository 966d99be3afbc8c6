"""Error responses, which give the reason and whether the request ran."""

import json
import math
from http import HTTPStatus

import attrs
from tornado.web import RequestHandler

from balsamreach.dispatch import faults
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.gateway.request_limits import (
    Reason,
    Refuser,
    render_response,
)

_STATUS_OF_FAULT = {
    faults.BUDGET_EXHAUSTED: 402,
    faults.BUDGET_UNREACHABLE: 503,
    faults.NO_TARGET: 503,
    faults.OVERLOADED: 503,
    faults.LEAVING: 503,
    faults.TARGETS_BACK_OFF: 503,
    faults.RATE_LIMITED: 429,
    faults.TEAM_CONCURRENCY: 429,
    faults.QUEUE_FULL: 503,
    faults.DEADLINE_UNMEETABLE: 503,
    faults.QUARANTINED: 422,
    faults.REQUEST_SUSPECTED: 503,
    faults.KEY_REUSED: 422,
    faults.NO_CLAIM: 503,
    faults.OUTCOME_UNKNOWN: 409,
    faults.IN_PROGRESS: 409,
    faults.ANSWER_BROKEN: 502,
    faults.TARGET_FAILED: 502,
    faults.RESERVATION_SPENT: 502,
    faults.DEADLINE: 504,
    faults.CANCELLED: 499,
}
_DEFAULT_STATUS = 500


@attrs.frozen
class Refusal:
    """Error response to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Machine-readable reason.
    message : str
        Reason in words.
    ran : str
        Whether the request ran: ``no`` or ``unknown``.
    retry_after : float
        Seconds until a retry makes sense; 0 for never.
    repeatable : bool
        Whether a retry is recognized as the same request.
    relies_on_table : bool
        Whether the reason is a missing row, so that a newer table may allow
        the request.
    """

    status: int
    code: str
    message: str
    ran: str = faults.NOT_RUN
    retry_after: float = 0
    repeatable: bool = True
    relies_on_table: bool = False

    def body(self) -> bytes:
        """Return the JSON body, in the format of the OpenAI API."""
        error = {
            'message': self.message,
            'type': 'balsamreach_error',
            'code': self.code,
            'ran': self.ran,
        }
        return json.dumps({'error': error}).encode()

    def headers(self) -> dict[str, str]:
        """Return the headers that go with the body."""
        headers = {
            'Content-Type': 'application/json',
            'X-Balsamreach-Ran': self.ran,
        }
        if self.retry_after:
            headers['Retry-After'] = str(math.ceil(self.retry_after))
        # OpenAI clients retry failed requests by themselves unless this
        # header forbids it. It does so where a retry can't help, or would be
        # a new request that is billed again.
        may_retry = self.retry_after > 0 and self.repeatable
        headers['X-Should-Retry'] = 'true' if may_retry else 'false'
        return headers


#: A row is missing, but the table may be outdated.
NOT_READY = Refusal(
    503,
    'not_ready',
    'this router cannot confirm at present that its table is the newest',
    retry_after=1,
)
#: The header exceeds the limit in the settings.
HEADER_TOO_LARGE = Refusal(
    431,
    'header_too_large',
    'the header is larger than this router accepts',
)
#: The body exceeds the limit in the settings.
BODY_TOO_LARGE = Refusal(
    413,
    'body_too_large',
    'the body is larger than this router accepts',
)
#: The body was not received in time.
BODY_TOO_SLOW = Refusal(
    408,
    'body_timeout',
    'the body did not arrive in time',
    retry_after=1,
)
#: This router has no memory left for the request.
NO_MEMORY = Refusal(
    503,
    'no_memory',
    'this router has no memory left for the request at present',
    retry_after=1,
)
_REFUSAL_OF_REASON = {
    Reason.HEADER_TOO_LARGE: HEADER_TOO_LARGE,
    Reason.BODY_TOO_LARGE: BODY_TOO_LARGE,
    Reason.BODY_TOO_SLOW: BODY_TOO_SLOW,
    Reason.NO_MEMORY: NO_MEMORY,
}
_REFUSAL_OF_STATUS = {
    404: Refusal(404, 'unknown_path', 'there is nothing at this path'),
    405: Refusal(
        405, 'method_not_allowed', 'this path does not allow the method'
    ),
}


class CallersRefuser(Refuser):
    """Refuses requests in the format of the OpenAI API."""

    def render(self, reason: Reason) -> bytes:
        """Return the whole response."""
        refusal = _REFUSAL_OF_REASON[reason]
        return render_response(
            refusal.status, refusal.headers().items(), refusal.body()
        )


def invalid_request(message: str) -> Refusal:
    """Return the refusal of an invalid body."""
    return Refusal(HTTPStatus.BAD_REQUEST, 'invalid_request', message)


def from_status(status: int, ran: str) -> Refusal:
    """Return the refusal for an error raised by the framework.

    Parameters
    ----------
    status : int
        HTTP status of the error.
    ran : str
        Whether the request ran: ``no`` or ``unknown``.
    """
    known = _REFUSAL_OF_STATUS.get(status)
    if known is not None:
        return known
    if status < _DEFAULT_STATUS:
        return Refusal(status, 'bad_request', 'the request is malformed', ran)
    return Refusal(status, 'internal_error', 'an error in the router', ran)


def from_fault(fault: DispatchFault) -> Refusal:
    """Return the refusal for a dispatch fault."""
    status = _STATUS_OF_FAULT.get(fault, _DEFAULT_STATUS)
    message = fault.reason or fault.code.replace('_', ' ')
    return Refusal(status, fault.code, message, fault.ran, fault.retry_after)


def send_refusal(handler: RequestHandler, refusal: Refusal) -> None:
    """Send a refusal as the response and finish it."""
    handler.set_status(refusal.status)
    for name, value in refusal.headers().items():
        handler.set_header(name, value)
    handler.finish(refusal.body())


def error_event(refusal: Refusal) -> bytes:
    """Return the server-sent event that ends an incomplete stream."""
    return b'data: %b\n\n' % refusal.body()
