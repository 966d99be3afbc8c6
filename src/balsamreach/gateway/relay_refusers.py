"""Responses to requests that a relay router refuses before they are whole."""

import attrs

from balsamreach.gateway.request_limits import (
    Reason,
    Refuser,
    render_response,
)
from balsamreach.relay import faults
from balsamreach.relay.codec import Codec
from balsamreach.relay.forwarded_intake import (
    MAY_HAVE_RUN,
    NO,
    OUTCOME,
    REACHED,
)
from balsamreach.relay.retry_jitter import RetryJitter

_FAULTS = {
    Reason.HEADER_TOO_LARGE: faults.HEADER_TOO_LARGE,
    Reason.BODY_TOO_LARGE: faults.BODY_TOO_LARGE,
    Reason.BODY_TOO_SLOW: faults.BODY_TOO_SLOW,
    Reason.NO_MEMORY: faults.NO_MEMORY,
}
_UNAVAILABLE = 503
_STATUSES = {
    Reason.HEADER_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BODY_TOO_SLOW: 408,
}
_LENGTH = 'content-length'


@attrs.frozen
class RelayRefuser(Refuser):
    """Refuses requests of callers, as the relay refuses whole ones.

    Parameters
    ----------
    codec : Codec
        Makes the responses.
    jitter : RetryJitter
        Spreads the retries of many callers.
    """

    codec: Codec
    jitter: RetryJitter

    def render(self, reason: Reason) -> bytes:
        """Return the whole response."""
        fault = _FAULTS[reason].because('refused before it was read')
        answer = self.codec.refuse(self.jitter.add_jitter(fault))
        headers = [
            (name, text)
            for name, text in answer.headers
            if name.lower() != _LENGTH
        ]
        return render_response(answer.status, headers, answer.body)


class ForwardingRefuser(Refuser):
    """Refuses requests of other routers, which then ask another one."""

    def render(self, reason: Reason) -> bytes:
        """Return the whole response."""
        headers = [
            (OUTCOME, faults.CANNOT_FORWARD.code),
            (MAY_HAVE_RUN, NO),
            (REACHED, NO),
        ]
        return render_response(_UNAVAILABLE, headers)


class ProbesRefuser(Refuser):
    """Refuses requests for readiness and metrics."""

    def render(self, reason: Reason) -> bytes:
        """Return the whole response."""
        return render_response(_STATUSES.get(reason, _UNAVAILABLE), ())
