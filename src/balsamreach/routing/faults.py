"""Refusals of the routing layer."""

import attrs

from balsamreach.faults import Fault


@attrs.frozen
class RoutingFault(Fault):
    """The reason why a request gets no target; it did not run.

    Parameters
    ----------
    retry_after : float
        Seconds after which a retry makes sense; 0 means never.
    """

    retry_after: float = attrs.field(default=0, eq=False)

    def with_retry_after(self, seconds: float, reason: str) -> 'RoutingFault':
        """Return a copy with a retry time in seconds and a reason."""
        return attrs.evolve(self, retry_after=seconds, reason=reason)


#: No target serves this model or service.
NO_TARGET = RoutingFault('no_target', retry_after=30)
#: Every target that serves it is full, suspended or already tried.
ALL_TARGETS_BUSY = RoutingFault('all_targets_busy', retry_after=1)
#: Every target that serves it asked for a pause in requests.
TARGETS_BACK_OFF = RoutingFault('targets_back_off', retry_after=1)
#: The team exceeds its requests or tokens per minute.
RATE_LIMITED = RoutingFault('rate_limited', retry_after=1)
#: The team has as many requests in progress as its row allows.
TEAM_CONCURRENCY = RoutingFault('team_concurrency', retry_after=1)
#: The queue is full.
QUEUE_FULL = RoutingFault('queue_full', retry_after=1)
#: The request cannot be answered before its deadline.
DEADLINE_UNMEETABLE = RoutingFault('deadline_unmeetable', retry_after=1)
#: The request crashed several targets and must not run again.
QUARANTINED = RoutingFault('quarantined')
#: The request may have crashed targets; that is not confirmed yet.
SUSPECTED = RoutingFault('request_suspected', retry_after=5)
