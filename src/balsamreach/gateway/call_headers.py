"""Parser of the request headers for idempotency and timeout."""

import math
from http import HTTPStatus

import attrs
from tornado.httputil import HTTPHeaders

from balsamreach.gateway.refusals import Refusal

_IDEMPOTENT_HEADER = 'Idempotent'
_TIMEOUT_HEADER = 'X-Request-Timeout'
_FLAGS = {'true': True, 'false': False}


@attrs.frozen
class CallTerms:
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


def read_terms(headers: HTTPHeaders, longest: float) -> CallTerms | Refusal:
    """Parse the request headers for idempotency and timeout.

    Parameters
    ----------
    headers : HTTPHeaders
        The request's headers.
    longest : float
        Maximum and default timeout in seconds.

    Returns
    -------
    CallTerms or Refusal
        A refusal names the header whose value is invalid.
    """
    flag = headers.get(_IDEMPOTENT_HEADER, 'true')
    idempotent = _FLAGS.get(flag.strip().lower())
    if idempotent is None:
        return _bad_header(_IDEMPOTENT_HEADER, 'true or false')
    asked = headers.get(_TIMEOUT_HEADER)
    if asked is None:
        return CallTerms(idempotent, longest)
    timeout = _read_seconds(asked)
    if timeout is None:
        return _bad_header(_TIMEOUT_HEADER, 'a number of seconds above 0')
    return CallTerms(idempotent, min(timeout, longest))


def _read_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


def _bad_header(name: str, form: str) -> Refusal:
    return Refusal(
        HTTPStatus.BAD_REQUEST, 'invalid_header', f'{name}: must be {form}'
    )
