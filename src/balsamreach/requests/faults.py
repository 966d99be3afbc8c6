"""Sentinel errors of the requests layer."""

from balsamreach.faults import Fault


class RequestFault(Fault):
    """Reason why a request is not run under its key."""


#: The key was used before with another body.
KEY_REUSED = RequestFault('idempotency_key_reused')
#: The request was claimed before and its outcome is unknown.
OUTCOME_UNKNOWN = RequestFault('outcome_unknown')
#: No claim could be made, so the request was not run.
NO_CLAIM = RequestFault('no_claim')
#: The request is running and its answer cannot be shared.
IN_PROGRESS = RequestFault('in_progress')
#: The request ran, but its answer was too large to keep.
ANSWER_NOT_KEPT = RequestFault('answer_not_kept')
#: The key is malformed.
BAD_KEY = RequestFault('bad_idempotency_key')
