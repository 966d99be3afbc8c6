"""Charges relayed requests to prepaid budgets."""

import attrs

from balsamreach.budget.faults import EXHAUSTED, BudgetFault
from balsamreach.budget.holdings import Holdings
from balsamreach.catalogue.freshness import FreshnessCheck
from balsamreach.catalogue.view import CatalogueView
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.spending import Reservation, Spending

#: Urgency of requests with priority 0, the highest.
_MAX_URGENCY = 9


@attrs.define
class PrepaidSpending(Spending):
    """Charges the teams whose tokens are prepaid.

    Parameters
    ----------
    holdings : Holdings
        Tokens that this router may spend.
    view : CatalogueView
        Prepaid tokens of each team.
    freshness_check : FreshnessCheck
        Confirms that the view is up to date.
    """

    holdings: Holdings
    view: CatalogueView
    freshness_check: FreshnessCheck

    async def reserve(self, call: RelayCall) -> Reservation | RelayFault:
        """Reserve the maximum number of tokens that the request may use."""
        prepaid = self.view.prepaid(call.team_name)
        if call.prompt is None or prepaid is None:
            return Reservation()
        need = (
            call.team_name,
            call.prompt.max_tokens,
            max(0, _MAX_URGENCY - call.priority),
        )
        reserved = await self.holdings.reserve(*need)
        if reserved == EXHAUSTED and self._exceeds_balance(call):
            # A newer version of the configuration may have raised the budget.
            if not await self.freshness_check.confirm():
                return _unreachable(reserved)
            if self._exceeds_balance(call):
                return faults.BUDGET_EXHAUSTED.because(reserved.reason)
            reserved = await self.holdings.reserve(*need)
        if isinstance(reserved, BudgetFault):
            return _unreachable(reserved)
        return Reservation(tokens=call.prompt.max_tokens, hold=reserved)

    def charge(self, call: RelayCall, reservation: Reservation) -> None:
        """Charge the tokens used and release the rest."""
        if reservation.hold is not None:
            self.holdings.charge(reservation.hold, reservation.used)

    def _exceeds_balance(self, call: RelayCall) -> bool:
        # The account may have nothing left while other routers hold tokens
        # that they will return. So the budget counts as exhausted only if the
        # spending that this router, or the team's home, has seen proves it
        # for the whole balance.
        prepaid = self.view.prepaid(call.team_name)
        if prepaid is None:
            return False
        spent = self.holdings.spent(call.team_name)
        return call.prompt.max_tokens > prepaid - spent


def _unreachable(fault: BudgetFault) -> RelayFault:
    return faults.BUDGET_UNREACHABLE.with_retry_after(
        fault.tokens_wait or faults.BUDGET_UNREACHABLE.retry_after,
        f'{fault.code}: {fault.reason}',
    )
