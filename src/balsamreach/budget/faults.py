"""Fault values of the budget layer."""

import attrs

from balsamreach.faults import Fault


@attrs.frozen
class BudgetFault(Fault):
    """A reason why tokens could not be reserved, drawn or settled.

    Parameters
    ----------
    retry_after : float
        Seconds after which a retry makes sense; 0 if it never does.
    tokens_wait : float
        Seconds after which tokens may have arrived for a team whose requests
        got none for a while; 0 if that isn't known.
    """

    retry_after: float = attrs.field(default=0, eq=False)
    tokens_wait: float = attrs.field(default=0, eq=False)


#: The account has fewer free tokens than the request may need.
EXHAUSTED = BudgetFault('budget_exhausted')
#: This router's allotment is used up and the account is unavailable.
NO_ALLOTMENT = BudgetFault('no_allotment', retry_after=2)
#: Too many bills wait in memory to be recorded.
BILLS_FULL = BudgetFault('bills_full', retry_after=5)
#: A successor closed this incarnation's allotments; it must not spend tokens.
TAKEN_OVER = BudgetFault('taken_over', retry_after=1)
#: The team has no account.
NO_ACCOUNT = BudgetFault('no_account')
#: Commits on the account fail because too many routers write to it.
CONTENDED = BudgetFault('account_contended', retry_after=1)
#: The host list still contains a router that is to be released as dead.
STILL_LISTED = BudgetFault('still_listed')
#: The request has no claim, or already has a bill.
CLAIM_NOT_OPEN = BudgetFault('claim_not_open')
#: This router is shutting down and has closed its allotments.
ROUTER_LEFT = BudgetFault('router_left', retry_after=1)


def insufficient_tokens(team: str) -> BudgetFault:
    """Return the fault for a team with too few tokens left for a request.

    The fault does not state how many tokens are left. Routers hold part of
    them, so the account's figure would be lower than what a smaller request
    could still get.

    Parameters
    ----------
    team : str
        Name of the team.
    """
    return EXHAUSTED.because(f'team {team} has too few tokens left')
