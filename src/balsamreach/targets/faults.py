"""Sentinel errors of the control calls to targets."""

from balsamreach.faults import Fault


class TargetFault(Fault):
    """The reason why a control call to a target failed."""


#: No connection could be made; nothing was sent.
UNREACHABLE = TargetFault('target_unreachable')
#: The call was sent and got no response: an order may have taken effect.
NO_ANSWER = TargetFault('target_no_answer')
#: The target refused the call; it is alive.
REFUSED = TargetFault('target_refused')
#: The response is invalid; the target is alive.
ODD_ANSWER = TargetFault('target_odd_answer')

#: Faults that indicate an unhealthy target.
UNHEALTHY = (UNREACHABLE, NO_ANSWER)
