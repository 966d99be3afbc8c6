"""Sentinel errors met while speaking to targets."""

from balsamreach.faults import Fault


class TargetFault(Fault):
    """A reason why a target gave no report or took no order."""


#: No connection came about; nothing was sent.
UNREACHABLE = TargetFault('target_unreachable')
#: Something was sent and no answer came: an order may have taken effect.
NO_ANSWER = TargetFault('target_no_answer')
#: The target answered that it does not do this; it is alive.
REFUSED = TargetFault('target_refused')
#: The answer is not what was asked for; the target is alive.
ODD_ANSWER = TargetFault('target_odd_answer')

#: Faults that speak against the target's health.
UNHEALTHY = (UNREACHABLE, NO_ANSWER)
