"""Sentinel errors of the relay: why a request got no target's response."""

import attrs

from balsamreach.faults import Fault


@attrs.frozen
class RelayFault(Fault):
    """The reason of a final response that the router generates itself.

    Parameters
    ----------
    not_run : bool
        Whether it is certain that no target has run the request or will.
    retry_after : float
        Seconds after which the caller may retry; 0 if it should not.
    """

    not_run: bool = attrs.field(default=True, eq=False)
    retry_after: float = attrs.field(default=0, eq=False)

    def with_retry_after(self, seconds: float, reason: str) -> 'RelayFault':
        """Return the same sentinel with a retry time and a reason.

        Parameters
        ----------
        seconds : float
            Seconds after which the caller may retry.
        reason : str
            What happened, for the caller and the log.
        """
        return attrs.evolve(self, retry_after=seconds, reason=reason)


#: This router has no configuration yet.
NOT_READY = RelayFault('not_ready', retry_after=0.5)
#: This router is being stopped before the request could end. The others are
#: ready to run it.
LEAVING = RelayFault('leaving', retry_after=0.1)
#: The request is malformed.
MALFORMED = RelayFault('malformed')
#: No route matches the host and path.
NO_ROUTE = RelayFault('no_route')
#: The key belongs to no team.
UNKNOWN_KEY = RelayFault('unknown_key')
#: The body exceeds the limit.
BODY_TOO_LARGE = RelayFault('body_too_large')
#: The header exceeds the limit.
HEADER_TOO_LARGE = RelayFault('header_too_large')
#: The body did not arrive in time.
BODY_TOO_SLOW = RelayFault('body_timeout', retry_after=0.5)
#: This router has no memory left for the request.
NO_MEMORY = RelayFault('no_memory', retry_after=0.5)
#: The team's balance doesn't cover the maximum use of the request.
BUDGET_EXHAUSTED = RelayFault('budget_exhausted')
#: The balance may cover the request, but this router can't draw on it now. In
#: an outage of the store a router may use another sixth of what it holds each
#: second, so an earlier retry would hardly find more tokens.
BUDGET_UNREACHABLE = RelayFault('budget_unreachable', retry_after=0.8)
#: No target of the service can take the request now.
NO_TARGET = RelayFault('no_target', retry_after=0.5)
#: This router can't reach the targets, and the router that was asked to send
#: the request for it could not either.
CANNOT_FORWARD = RelayFault('cannot_forward', retry_after=0.5)
#: Another target has the address now; the intended one is gone.
MISDIRECTED = RelayFault('misdirected', retry_after=0.5)
#: It can't be known which release began the stream that the caller takes up.
#: A router that was cut off may learn it from the others within a second.
UNKNOWN_RELEASE = RelayFault('unknown_release', retry_after=0.5)
#: No target of the release that began the stream is left. Another release
#: can't go on with it, so there is nothing to come back for.
RELEASE_GONE = RelayFault('release_gone')
#: The targets have no free slots.
TARGETS_FULL = RelayFault('targets_full', retry_after=0.3)
#: All targets asked to receive no requests; the first one accepts them again
#: after the retry time.
TARGETS_BACK_OFF = RelayFault('targets_back_off', retry_after=1)
#: The request crashed several targets.
QUARANTINED = RelayFault('request_quarantined', retry_after=30)
#: The prompt has a part that crashes targets, or may do so.
PART_QUARANTINED = RelayFault('part_quarantined', retry_after=30)
#: The deadline passed before the request was sent to a target.
EXPIRED_BEFORE_SENDING = RelayFault('deadline_passed')
#: The deadline passed after the request was sent to a target.
TIMED_OUT = RelayFault('timed_out', not_run=False)
#: The connection to the target broke, or the response was incomplete or
#: invalid.
BROKEN = RelayFault('answer_broken', not_run=False)
#: The target responded with a server error.
TARGET_FAILED = RelayFault('target_failed', not_run=False)
#: The grace period of this router has ended while a target ran the request.
CUT_OFF = RelayFault('cut_off', not_run=False)
#: The caller has disconnected.
ABANDONED = RelayFault('abandoned', not_run=False)
