"""Takes over what earlier incarnations on this router's address held."""

import logging

import attrs

from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingResult, ClosingSpec
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.incarnations import Incarnations
from balsamreach.budget.leftovers import Leftovers
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
    closer : AllotmentCloser
        Closes one allotment.
    incarnations : Incarnations
        Names the predecessors.
    metrics : Metrics
        Counts tokens that came back and tokens left behind.
    leftovers : Leftovers
        List of those of whom something is left.
    """

    closer: AllotmentCloser
    incarnations: Incarnations
    metrics: Metrics
    leftovers: Leftovers

    async def close_predecessors(self) -> None:
        """Close whatever predecessors still hold."""
        await self.incarnations.close_before(self._close_all_of)

    async def _close_all_of(self, incarnation: str) -> bool:
        teams = await self.closer.open_teams(incarnation)
        if isinstance(teams, BudgetFault):
            return False
        for team in teams:
            outcome = await self.closer.close(ClosingSpec(incarnation, team))
            if isinstance(outcome, BudgetFault):
                return False
            report(self.metrics, ClosingSpec(incarnation, team), outcome)
        return await self.leftovers.note(incarnation) is None


def report(
    metrics: Metrics, closing: ClosingSpec, outcome: ClosingResult
) -> None:
    """Count and log what was taken over, whoever closed it.

    A dead router's successor and the buddy that has its bills both close
    what it held; the one that comes second has moved nothing and says so by
    its silence. Said by the successor alone, tokens would come back to an
    account without a word in any log.
    """
    if not outcome.returned and not outcome.kept:
        return
    metrics.count(RECLAIMED, outcome.returned)
    metrics.count(STRANDED, outcome.kept)
    log_event(
        _logger,
        logging.WARNING,
        'allotment_taken_over',
        team=closing.team,
        incarnation=closing.incarnation,
        returned=outcome.returned,
        stranded=outcome.kept,
    )
