"""Closes the allotments of earlier incarnations at this address."""

import logging

import attrs

from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingResult, ClosingSpec
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.incarnations import AddressRegistration
from balsamreach.budget.stranded import StrandedAllotments
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

RECLAIMED = 'balsamreach_budget_reclaimed_tokens_total'
STRANDED = 'balsamreach_budget_stranded_tokens_total'

_logger = logging.getLogger(__name__)


@attrs.define
class Takeover:
    """Closes the allotments of predecessors.

    Parameters
    ----------
    closer : AllotmentCloser
        Closes one allotment.
    registration : AddressRegistration
        Knows the predecessors.
    metrics : Metrics
        Counts tokens that were returned and tokens that stay stranded.
    stranded : StrandedAllotments
        Records incarnations whose closed allotments still hold tokens.
    """

    closer: AllotmentCloser
    registration: AddressRegistration
    metrics: Metrics
    stranded: StrandedAllotments

    async def close_predecessors(self) -> None:
        """Close all open allotments of predecessors."""
        await self.registration.close_each_predecessor(self._close_incarnation)

    async def _close_incarnation(self, incarnation: str) -> bool:
        teams = await self.closer.open_teams(incarnation)
        if isinstance(teams, BudgetFault):
            return False
        for team in teams:
            outcome = await self.closer.close(ClosingSpec(incarnation, team))
            if isinstance(outcome, BudgetFault):
                return False
            report_takeover(
                self.metrics, ClosingSpec(incarnation, team), outcome
            )
        return await self.stranded.record_lender(incarnation) is None


def report_takeover(
    metrics: Metrics, closing: ClosingSpec, outcome: ClosingResult
) -> None:
    """Count and log the tokens that closing an allotment moved.

    Both the successor of a stopped router and the backup peer that has its
    bills close its allotments; the second one moves no tokens and logs
    nothing. If only the successor logged, tokens could return to an account
    without any log line.

    Parameters
    ----------
    metrics : Metrics
        Counts reclaimed and stranded tokens.
    closing : ClosingSpec
        The allotment that was closed.
    outcome : ClosingResult
        The result of closing it.
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
