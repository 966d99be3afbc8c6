"""Parser of the request headers for idempotency and timeout."""

import math
from http import HTTPStatus

import attrs
from tornado.httputil import HTTPHeaders

from balsamreach.gateway.refusals import Refusal

_IDEMPOTENT_HEADER = 'Idempotent'
_TIMEOUT_HEADER = 'X-Request-Timeout'
_BOOLEANS = {'true': True, 'false': False}


@attrs.frozen
class CallOptions:
    """Options that a caller sets for a request in headers.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once.
    timeout : float
        Seconds within which the response must be complete.
    """

    idempotent: bool
    timeout: float


def parse_call_options(
    headers: HTTPHeaders, max_timeout: float
) -> CallOptions | Refusal:
    """Parse the request headers for idempotency and timeout.

    Parameters
    ----------
    headers : HTTPHeaders
        The request's headers.
    max_timeout : float
        Maximum and default timeout in seconds.

    Returns
    -------
    CallTerms or Refusal
        A refusal names the header whose value is invalid.
    """
    flag = headers.get(_IDEMPOTENT_HEADER, 'true')
    idempotent = _BOOLEANS.get(flag.strip().lower())
    if idempotent is None:
        return _bad_header(_IDEMPOTENT_HEADER, 'true or false')
    requested = headers.get(_TIMEOUT_HEADER)
    if requested is None:
        return CallOptions(idempotent, max_timeout)
    timeout = _parse_seconds(requested)
    if timeout is None:
        return _bad_header(_TIMEOUT_HEADER, 'a number of seconds above 0')
    return CallOptions(idempotent, min(timeout, max_timeout))


def _parse_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


def _bad_header(name: str, expected: str) -> Refusal:
    return Refusal(
        HTTPStatus.BAD_REQUEST, 'invalid_header', f'{name}: write {expected}'
    )
