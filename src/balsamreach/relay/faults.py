"""Sentinel errors of the relay layer: why a request got no target's answer."""

import attrs

from balsamreach.faults import Fault


@attrs.frozen
class RelayFault(Fault):
    """A final answer of the router's own.

    Parameters
    ----------
    not_run : bool
        Whether it is certain that no target has run the request or will.
    retry_after : float
        Seconds after which it makes sense to come back; 0 for never.
    """

    not_run: bool = attrs.field(default=True, eq=False)
    retry_after: float = attrs.field(default=0, eq=False)

    def after(self, seconds: float, reason: str) -> 'RelayFault':
        """Return the same sentinel with a time to come back and a reason."""
        return attrs.evolve(self, retry_after=seconds, reason=reason)


#: This router knows no configuration yet.
NOT_READY = RelayFault('not_ready', retry_after=0.5)
#: The request can't be read as one.
MALFORMED = RelayFault('malformed')
#: No route leads anywhere from this host and path.
NO_ROUTE = RelayFault('no_route')
#: The key is nobody's.
NO_TEAM = RelayFault('unknown_key')
#: The body is larger than callers may send.
BODY_TOO_LARGE = RelayFault('body_too_large')
#: The team's balance doesn't cover the request at its largest.
BUDGET_EXHAUSTED = RelayFault('budget_exhausted')
#: The balance may cover it, but this router can't draw on it now. Source of
#: the time: in an outage of the store a router may use a sixth more of what
#: it holds each second; sooner there is hardly more than now.
BUDGET_UNREACHABLE = RelayFault('budget_unreachable', retry_after=0.8)
#: No target of the service can take the request now.
NO_TARGET = RelayFault('no_target', retry_after=0.5)
#: Another target has the address by now; the one meant is gone.
MISDIRECTED = RelayFault('misdirected', retry_after=0.5)
#: The targets asked have no room.
TARGETS_FULL = RelayFault('targets_full', retry_after=0.3)
#: All targets asked for no requests; the first one takes them again after
#: the time told.
TARGETS_BACK_OFF = RelayFault('targets_back_off', retry_after=1)
#: The request crashed several targets.
QUARANTINED = RelayFault('request_quarantined', retry_after=30)
#: Its time was over before a target got it.
TOO_LATE = RelayFault('deadline_passed')
#: Its time was over while a target had it.
TIMED_OUT = RelayFault('timed_out', not_run=False)
#: The connection to its target broke, or what came was no whole answer.
BROKEN = RelayFault('answer_broken', not_run=False)
#: The target answered with a failure of its own.
TARGET_FAILED = RelayFault('target_failed', not_run=False)
#: The caller has gone.
ABANDONED = RelayFault('abandoned', not_run=False)
