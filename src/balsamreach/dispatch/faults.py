"""Sentinel errors of the dispatch layer, as reported to callers."""

import attrs

from balsamreach.faults import Fault

#: The request did not run.
NOT_RUN = 'no'
#: It is unknown whether the request ran.
MAYBE_RUN = 'unknown'


@attrs.frozen
class DispatchFault(Fault):
    """Reason why a request ended without a complete answer.

    Parameters
    ----------
    ran : str
        ``no`` only if no byte of the request can have reached a target, or a
        trusted target reported that it did not run it; else ``unknown``.
    retry_after : float
        Seconds after which a retry makes sense; 0 for never.
    """

    ran: str = attrs.field(default=NOT_RUN, eq=False)
    retry_after: float = attrs.field(default=0, eq=False)


#: The team's prepaid budget cannot cover the tokens to reserve.
BUDGET_EXHAUSTED = DispatchFault('budget_exhausted')
#: The budget may suffice, but this router cannot reach it now.
BUDGET_UNREACHABLE = DispatchFault('budget_unreachable', retry_after=2)
#: No target serves the model or service.
NO_TARGET = DispatchFault('no_target', retry_after=30)
#: This router is being stopped before the request could end. The others are
#: ready to run it.
LEAVING = DispatchFault('router_leaving', retry_after=1)
#: All targets that serve it are busy, failing or leaving.
OVERLOADED = DispatchFault('overloaded', retry_after=1)
#: All targets that serve it asked to receive no requests for a while.
TARGETS_BACK_OFF = DispatchFault('targets_back_off', retry_after=1)
#: The team exceeds its requests or tokens per minute.
RATE_LIMITED = DispatchFault('rate_limited', retry_after=1)
#: The team has reached its limit of concurrent requests.
TEAM_CONCURRENCY = DispatchFault('team_concurrency', retry_after=1)
#: The queue for targets is full.
QUEUE_FULL = DispatchFault('queue_full', retry_after=1)
#: No target can answer the request before its deadline.
DEADLINE_UNMEETABLE = DispatchFault('deadline_unmeetable', retry_after=1)
#: The request crashed several targets and is not run again.
QUARANTINED = DispatchFault('request_quarantined')
#: The request may have crashed targets; it is not known yet whether it did.
REQUEST_SUSPECTED = DispatchFault('request_suspected', retry_after=5)
#: The key was used before with another body.
KEY_REUSED = DispatchFault('idempotency_key_reused')
#: A non-idempotent request could not be claimed.
NO_CLAIM = DispatchFault('claim_unreachable', retry_after=2)
#: The request was dispatched and its outcome is unknown.
OUTCOME_UNKNOWN = DispatchFault('outcome_unknown', ran=MAYBE_RUN)
#: The request is running and its answer cannot be shared.
IN_PROGRESS = DispatchFault('in_progress', ran=MAYBE_RUN, retry_after=2)
#: The target's answer broke off.
ANSWER_BROKEN = DispatchFault('answer_broken', ran=MAYBE_RUN)
#: The target answered with a server error.
TARGET_FAILED = DispatchFault('target_failed', ran=MAYBE_RUN)
#: The stream exceeded the tokens reserved for it and was ended.
RESERVATION_SPENT = DispatchFault('reservation_spent', ran=MAYBE_RUN)
#: The deadline passed before the answer was complete.
DEADLINE = DispatchFault('deadline_exceeded', ran=MAYBE_RUN)
#: The caller disconnected.
CANCELLED = DispatchFault('cancelled', ran=MAYBE_RUN)
