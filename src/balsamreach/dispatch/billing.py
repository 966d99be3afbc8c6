"""How many tokens a finished request is billed."""

from balsamreach.budget.account import Bill
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.replies import Reply, is_failure
from balsamreach.dispatch.usage import Usage
from balsamreach.table.rows import ENGINE

_FIRST_ERROR = 400
USAGE_MISSING = 'usage_missing'
USAGE_NEGATIVE = 'usage_negative'
USAGE_TOO_LARGE = 'usage_too_large'
#: The request had a claim; an audit looks for it.
CLAIMED = 'claimed'


def make_bill(call: Call, reply: Reply) -> Bill:
    """Bill a request by its target's figures, within the reservation.

    Parameters
    ----------
    call : Call
        The request.
    reply : Reply
        Its answer, whole or broken off.

    Returns
    -------
    Bill
        At most the reserved tokens; odd figures are flagged. An error
        that the target answered with costs nothing.
    """
    claimed = not (call.idempotent or call.req.minted)
    due = (CLAIMED,) if claimed else ()
    if call.kind != ENGINE:
        price = 0 if is_failure(reply.status) else call.most_tokens
        return Bill(call.req.team, call.req.key, price, due)
    if reply.status >= _FIRST_ERROR:
        return Bill(call.req.team, call.req.key, 0, due)
    tokens, flags = _bounded(call, reply.usage(), reply.events)
    return Bill(call.req.team, call.req.key, tokens, (*flags, *due))


def _bounded(
    call: Call,
    usage: Usage | None,
    events: int,
) -> tuple[int, tuple[str, ...]]:
    seen = call.prompt_tokens + events
    if usage is None:
        return min(seen, call.most_tokens), (USAGE_MISSING,)
    if usage.prompt < 0 or usage.completion < 0:
        return min(seen, call.most_tokens), (USAGE_NEGATIVE,)
    # Nothing above the reservation was set aside, so nothing above it can be
    # billed without passing the prepaid budget.
    if usage.total > call.most_tokens:
        return call.most_tokens, (USAGE_TOO_LARGE,)
    return usage.total, ()
