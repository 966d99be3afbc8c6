"""The operators' interface to budgets."""

from typing import Any

import attrs

from balsamreach.budget.account import account_key, decode_account
from balsamreach.gateway.operators_base import OperatorHandler
from balsamreach.services.faults import PlatformFault
from balsamreach.table import faults


class BudgetHandler(OperatorHandler):
    """``GET /budgets/<team>``: a team's account."""

    async def get(self, team: str) -> None:
        """Show what is prepaid, spent and held."""
        read = await self.context.service.read((account_key(team),))
        if isinstance(read, PlatformFault):
            self.refuse_fault(faults.TABLE_AWAY.because(read.code))
            return
        if read[0].value is None:
            self.refuse_fault(faults.NO_ROW.because(f'no account of {team}'))
            return
        account = decode_account(read[0].value)
        self.finish(
            {
                'team': team,
                'free': account.free,
                'this_router': self._held_here(team),
                **attrs.asdict(account),
            }
        )

    def _held_here(self, team: str) -> dict[str, Any] | None:
        ledger = self.context.budgets.ledgers.get(team)
        if ledger is None:
            return None
        return {
            'granted': ledger.granted,
            'billed': ledger.billed,
            'reserved': ledger.reserved,
            'waiting_bills': len(ledger.unrecorded_bills),
        }
