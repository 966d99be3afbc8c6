"""Sentinel errors of the routing layer."""

import attrs

from balsamreach.faults import Fault


@attrs.frozen
class RoutingFault(Fault):
    """A reason why no target is chosen; the request did not run.

    Parameters
    ----------
    retry_after : float
        Seconds after which asking again makes sense; 0 for never.
    """

    retry_after: float = attrs.field(default=0, eq=False)

    def after(self, seconds: float, reason: str) -> 'RoutingFault':
        """Return the same sentinel with a time to come back and a reason."""
        return attrs.evolve(self, retry_after=seconds, reason=reason)


#: No target serves this model or service at all.
NO_TARGET = RoutingFault('no_target', retry_after=30)
#: Every target that serves it is full, suspended or was tried already.
ALL_BUSY = RoutingFault('all_targets_busy', retry_after=1)
#: Every target that serves it asked for no requests for a while.
TARGETS_BACK_OFF = RoutingFault('targets_back_off', retry_after=1)
#: The team is past its requests or tokens a minute.
RATE_LIMITED = RoutingFault('rate_limited', retry_after=1)
#: The team has as many requests in progress as its row allows.
TEAM_CONCURRENCY = RoutingFault('team_concurrency', retry_after=1)
#: No more requests may wait.
QUEUE_FULL = RoutingFault('queue_full', retry_after=1)
#: The request cannot be answered before its deadline.
DEADLINE_UNMEETABLE = RoutingFault('deadline_unmeetable', retry_after=1)
#: The request crashed several targets and is not run again.
QUARANTINED = RoutingFault('quarantined')
#: The request may have crashed targets; whether it did is not known yet.
SUSPECTED = RoutingFault('request_suspected', retry_after=5)
