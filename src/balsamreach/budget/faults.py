"""Sentinel errors of the budget layer."""

import attrs

from balsamreach.faults import Fault


@attrs.frozen
class BudgetFault(Fault):
    """A reason why tokens could not be reserved, drawn or settled.

    Parameters
    ----------
    retry_after : float
        Seconds after which asking again makes sense; 0 for never.
    """

    retry_after: float = attrs.field(default=0, eq=False)


#: The account has less left than the request may need.
EXHAUSTED = BudgetFault('budget_exhausted')
#: This router's allotment is used up and the account cannot be reached.
NO_ALLOTMENT = BudgetFault('no_allotment', retry_after=2)
#: Too many bills wait in memory for the table service.
BILLS_FULL = BudgetFault('bills_full', retry_after=5)
#: This incarnation's allotments were taken over; it must not spend.
TAKEN_OVER = BudgetFault('taken_over', retry_after=1)
#: The team has no account.
NO_ACCOUNT = BudgetFault('no_account')
#: Too many routers draw on the account at this moment.
CONTENDED = BudgetFault('account_contended', retry_after=1)
#: The host list still shows a router that is said to be dead.
STILL_LISTED = BudgetFault('still_listed')
#: The request has no claim, or has its bill.
NOT_OPEN = BudgetFault('claim_not_open')
#: This router is shutting down and has given its allotments back.
LEFT = BudgetFault('router_left', retry_after=1)


def too_little(team: str) -> BudgetFault:
    """Return that too little of a team's budget is left for a request.

    How much is left isn't said: part of it is held by routers, and a figure
    that leaves it out would tell a caller less than what a smaller request
    could still have.
    """
    return EXHAUSTED.because(f'team {team} has too few tokens left')
