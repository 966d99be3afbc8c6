"""Meters passed-through requests against prepaid budgets."""

import attrs

from balsamreach.budget.faults import EXHAUSTED, BudgetFault
from balsamreach.budget.holdings import Holdings
from balsamreach.catalogue.currency import Currency
from balsamreach.catalogue.view import CatalogueView
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.spending import Spending, Tab


@attrs.define
class MeteredSpending(Spending):
    """Charges teams whose tokens are prepaid.

    Parameters
    ----------
    holdings : Holdings
        What this router may spend.
    view : CatalogueView
        What is prepaid.
    currency : Currency
        Whether that is known to be the newest word.
    """

    holdings: Holdings
    view: CatalogueView
    currency: Currency

    async def open(self, call: RelayCall) -> Tab | RelayFault:
        """Set the request's worst case aside."""
        prepaid = self.view.prepaid(call.team_name)
        if call.prompt is None or prepaid is None:
            return Tab()
        tokens = call.prompt.max_tokens
        reserved = await self.holdings.reserve(call.team_name, tokens)
        if reserved == EXHAUSTED and self._exceeds(call):
            # The budget may have been raised by a version that isn't here.
            if not await self.currency.confirm():
                return _unreachable(reserved)
            if self._exceeds(call):
                return faults.BUDGET_EXHAUSTED.because(reserved.reason)
            reserved = await self.holdings.reserve(call.team_name, tokens)
        if isinstance(reserved, BudgetFault):
            return _unreachable(reserved)
        return Tab(most=tokens, hold=reserved)

    def close(self, call: RelayCall, tab: Tab) -> None:
        """Charge what was used; the rest is free again."""
        if tab.hold is not None:
            self.holdings.charge(tab.hold, tab.used)

    def _exceeds(self, call: RelayCall) -> bool:
        # The account may have nothing left while other routers hold tokens
        # that they will hand back. "Exhausted" is told only where what this
        # router, or the team's home, has seen spent proves it for the whole
        # balance.
        prepaid = self.view.prepaid(call.team_name)
        if prepaid is None:
            return False
        spent = self.holdings.spent(call.team_name)
        return call.prompt.max_tokens > prepaid - spent


def _unreachable(fault: BudgetFault) -> RelayFault:
    return faults.BUDGET_UNREACHABLE.because(f'{fault.code}: {fault.reason}')
