"""Takes over what earlier incarnations on this router's address held."""

import logging

import attrs

from balsamreach.budget.closing import Closer
from balsamreach.budget.closing_plan import Closing
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.incarnations import Incarnations
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

RECLAIMED = 'balsamreach_budget_reclaimed_tokens_total'
STRANDED = 'balsamreach_budget_stranded_tokens_total'

_logger = logging.getLogger(__name__)


@attrs.define
class Takeover:
    """Closes predecessors' allotments.

    Parameters
    ----------
    closer : Closer
        Closes one allotment.
    incarnations : Incarnations
        Names the predecessors.
    metrics : Metrics
        Counts tokens that came back and tokens left behind.
    """

    closer: Closer
    incarnations: Incarnations
    metrics: Metrics

    async def close_predecessors(self) -> None:
        """Close whatever predecessors still hold."""
        closed = [
            before
            for before in self.incarnations.before
            if await self._close_all_of(before)
        ]
        if closed:
            await self.incarnations.forget(tuple(closed))

    async def _close_all_of(self, incarnation: str) -> bool:
        teams = await self.closer.teams(incarnation)
        if isinstance(teams, BudgetFault):
            return False
        for team in teams:
            outcome = await self.closer.close(Closing(incarnation, team))
            if isinstance(outcome, BudgetFault):
                return False
            self.metrics.count(RECLAIMED, outcome.returned)
            self.metrics.count(STRANDED, outcome.kept)
            log_event(
                _logger,
                logging.WARNING,
                'allotment_taken_over',
                team=team,
                incarnation=incarnation,
                returned=outcome.returned,
                stranded=outcome.kept,
            )
        return True
