"""Sentinel errors of the routing layer."""

from balsamreach.faults import Fault


class RoutingFault(Fault):
    """A reason why no target is chosen; the request did not run."""


#: No target serves this model or service at all.
NO_TARGET = RoutingFault('no_target')
#: Every target that serves it is full or suspended.
ALL_BUSY = RoutingFault('all_targets_busy')
