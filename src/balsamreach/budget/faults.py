"""Sentinel errors of the budget layer."""

from balsamreach.faults import Fault


class BudgetFault(Fault):
    """A reason why tokens could not be reserved, drawn or settled."""


#: The account has less left than the request may need.
EXHAUSTED = BudgetFault('budget_exhausted')
#: This router's allotment is used up and the account cannot be reached.
NO_ALLOTMENT = BudgetFault('no_allotment')
#: Too many bills wait in memory for the table service.
BILLS_FULL = BudgetFault('bills_full')
#: This incarnation's allotments were taken over; it must not spend.
TAKEN_OVER = BudgetFault('taken_over')
#: The team has no account.
NO_ACCOUNT = BudgetFault('no_account')
