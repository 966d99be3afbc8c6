"""Computes the bill of a finished request."""

from balsamreach.budget.account import Bill
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.replies import Reply, is_failure
from balsamreach.dispatch.usage import Usage
from balsamreach.table.rows import ENGINE

_FIRST_ERROR_STATUS = 400
USAGE_MISSING = 'usage_missing'
USAGE_NEGATIVE = 'usage_negative'
USAGE_TOO_LARGE = 'usage_too_large'
#: The request had a claim, which an audit checks.
CLAIMED = 'claimed'


def make_bill(call: Call, reply: Reply) -> Bill:
    """Bill a request by the reported usage, within the reservation.

    Parameters
    ----------
    call : Call
        The request.
    reply : Reply
        Its answer, complete or broken off.

    Returns
    -------
    Bill
        At most the reserved tokens; implausible usage is flagged. An error
        response of the target costs nothing.
    """
    claimed = not (call.idempotent or call.req.minted)
    claim_flags = (CLAIMED,) if claimed else ()
    if call.kind != ENGINE:
        tokens = 0 if is_failure(reply.status) else call.reserved_tokens
        return Bill(call.req.team, call.req.key, tokens, claim_flags)
    if reply.status >= _FIRST_ERROR_STATUS:
        return Bill(call.req.team, call.req.key, 0, claim_flags)
    tokens, flags = _billable_tokens(call, reply.usage(), reply.event_count)
    return Bill(call.req.team, call.req.key, tokens, (*flags, *claim_flags))


def _billable_tokens(
    call: Call,
    usage: Usage | None,
    events: int,
) -> tuple[int, tuple[str, ...]]:
    estimate = call.prompt_tokens + events
    if usage is None:
        return min(estimate, call.reserved_tokens), (USAGE_MISSING,)
    if usage.prompt < 0 or usage.completion < 0:
        return min(estimate, call.reserved_tokens), (USAGE_NEGATIVE,)
    # Only the reserved tokens were set aside; billing more could exceed the
    # prepaid budget.
    if usage.total > call.reserved_tokens:
        return call.reserved_tokens, (USAGE_TOO_LARGE,)
    return usage.total, ()
