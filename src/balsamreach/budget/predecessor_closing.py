"""Returns tokens that earlier incarnations at this address did not use.

A process that serves an address has bound its port, so an earlier process
that served it has stopped, and it did so before this process started. Its
last report and the time from that report to the start of this process bound
the number of tokens that it used.
"""

import asyncio
import logging
import math

import attrs

from balsamreach.budget.book import LedgerBook
from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingSpec
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.incarnations import AddressRegistration
from balsamreach.budget.reporting import report_key
from balsamreach.budget.takeover import RECLAIMED
from balsamreach.budget.usage_reports import UsageReport, decode_report
from balsamreach.services.base import TableService
from balsamreach.services.faults import PlatformFault
from balsamreach.services.times import ServiceClock
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

_logger = logging.getLogger(__name__)
#: Number of attempts, and seconds between two, before closing is left to the
#: periodic rounds of ``Holdings``.
_ATTEMPTS = 10
_PAUSE_S = 0.1
#: Maximum number of allotments that are closed concurrently.
_MAX_CONCURRENT = 16


@attrs.define
class PredecessorCloser:
    """Closes the allotments of predecessors based on their last reports.

    Parameters
    ----------
    service : TableService
        Service that stores reports and allotments.
    registration : AddressRegistration
        Knows the predecessors.
    service_clock : ServiceClock
        Converts to the time of the table service.
    process_start : float
        Monotonic time by which this process had started, in seconds.
    metrics : Metrics
        Counts tokens that were returned.
    """

    service: TableService
    registration: AddressRegistration
    service_clock: ServiceClock
    process_start: float
    metrics: Metrics

    async def close_when_available(self, book: LedgerBook) -> None:
        """Close predecessors' allotments as soon as the store is available.

        When all hosts restart at once, stopped routers may hold most of a
        budget. If closing were left to the first round of ``Holdings``, no
        token would return for a second, and requests would be refused with
        ``no_allotment`` in the first seconds after a power failure.

        Parameters
        ----------
        book : LedgerBook
            Registers this router at its address first.
        """
        for _ in range(_ATTEMPTS):
            if not book.is_away() and await book.register() is None:
                await self.close_predecessors()
                if not self.registration.predecessors:
                    return
            await book.clock.sleep(_PAUSE_S)

    async def close_predecessors(self) -> None:
        """Close predecessors' allotments as far as the store is available."""
        await self.registration.close_each_predecessor(self._close_incarnation)

    async def _close_incarnation(self, incarnation: str) -> bool:
        rows = await self.service.read((report_key(incarnation),))
        if isinstance(rows, PlatformFault):
            return False
        # An incarnation that never reported has used nothing, but the teams
        # that it drew for are unknown, so its tokens stay taken.
        if rows[0].value is None:
            return True
        last_report = decode_report(rows[0].value)
        latest_end = self.service_clock.at_most(self.process_start)
        if latest_end is None:
            return False
        # Teams lie in separate parts of the table service, so their allotments
        # are closed concurrently. If they were closed one after another,
        # requests of the last team would be refused until all are done.
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT)
        closings = [
            self._close_limited(
                semaphore, incarnation, team, last_report, latest_end
            )
            for team in last_report.teams
        ]
        return all(await asyncio.gather(*closings))

    async def _close_limited(
        self,
        semaphore: asyncio.Semaphore,
        incarnation: str,
        team: str,
        last_report: UsageReport,
        latest_end: float,
    ) -> bool:
        async with semaphore:
            return await self._close(incarnation, team, last_report, latest_end)

    async def _close(
        self,
        incarnation: str,
        team: str,
        last_report: UsageReport,
        latest_end: float,
    ) -> bool:
        silence = _silence(latest_end, last_report)
        used = last_report.allowed(team, silence)
        closing = ClosingSpec(incarnation, team, used=used)
        outcome = await AllotmentCloser(self.service).close(closing)
        if isinstance(outcome, BudgetFault):
            return False
        self.metrics.count(RECLAIMED, outcome.returned)
        log_event(
            _logger,
            logging.INFO,
            'budget_inherited',
            team=team,
            before=incarnation,
            report=last_report.number,
            silence_s=round(silence, 3) if math.isfinite(silence) else None,
            used_at_most=used,
            returned=outcome.returned,
        )
        return True


def _silence(latest_end: float, last_report: UsageReport) -> float:
    # A report later than the end of its process means that the service's
    # clock went back. If that counted as no silence, tokens that were used
    # would be returned, and the team could use more than it paid for.
    if latest_end < last_report.service_time:
        return math.inf
    return latest_end - last_report.service_time
