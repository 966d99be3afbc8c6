"""Token reservations for calls, adapted to the dispatch layer."""

import attrs

from balsamreach.budget.budgets import Budgets
from balsamreach.budget.faults import EXHAUSTED, BudgetFault
from balsamreach.budget.ledger import Reservation
from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.telemetry import hops


async def reserve(
    budgets: Budgets,
    call: Call,
) -> Reservation | DispatchFault:
    """Reserve the maximum number of tokens that a call can use.

    Parameters
    ----------
    budgets : Budgets
        The router's budgets.
    call : Call
        The request.

    Returns
    -------
    Reservation or DispatchFault
        With a fault, nothing was reserved.
    """
    with hops.hop('allotment', tokens=call.reserved_tokens):
        reservation = await budgets.reserve(
            call.team.name, call.reserved_tokens
        )
    if isinstance(reservation, BudgetFault):
        return _translate(reservation)
    return reservation


def _translate(fault: BudgetFault) -> DispatchFault:
    if fault == EXHAUSTED:
        return faults.BUDGET_EXHAUSTED.because(fault.reason)
    return attrs.evolve(
        faults.BUDGET_UNREACHABLE,
        reason=fault.reason,
        retry_after=fault.retry_after,
    )
