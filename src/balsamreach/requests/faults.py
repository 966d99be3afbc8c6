"""Sentinel errors of the requests layer."""

from balsamreach.faults import Fault


class RequestFault(Fault):
    """A reason why a request is not run under the key it came with."""


#: The key was used before with another body.
KEY_REUSED = RequestFault('idempotency_key_reused')
#: The request was claimed before, and how that run ended is not known.
OUTCOME_UNKNOWN = RequestFault('outcome_unknown')
#: No claim could be made, so the request was not run.
NO_CLAIM = RequestFault('no_claim')
#: The request is running, and its answer cannot be shared.
IN_PROGRESS = RequestFault('in_progress')
#: The request ran; its answer was too large to keep.
ANSWER_NOT_KEPT = RequestFault('answer_not_kept')
#: The key has a wrong form.
BAD_KEY = RequestFault('bad_idempotency_key')
