"""Gives back what earlier incarnations on this address had not used.

A process that serves an address has bound its port, so whoever served it
before is dead. When it died at the latest is known too: before this process
began. Its last report and the silence between the two bound what it used.
"""

import asyncio
import logging
import math

import attrs

from balsamreach.budget.book import Book
from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingSpec
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.incarnations import Incarnations
from balsamreach.budget.promises import Report, decode_report
from balsamreach.budget.reporting import usage_key
from balsamreach.budget.takeover import RECLAIMED
from balsamreach.services.base import TableService
from balsamreach.services.faults import PlatformFault
from balsamreach.services.times import ServiceClock
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

_logger = logging.getLogger(__name__)
#: Tries before it is left to the holder's rounds, and seconds between two.
_TRIES = 10
_PAUSE_S = 0.1
#: Teams whose allotments are closed at the same time.
_AT_ONCE = 16


@attrs.define
class Succession:
    """Closes predecessors' allotments by their last reports.

    Parameters
    ----------
    service : TableService
        Where reports and allotments are kept.
    incarnations : Incarnations
        Names the predecessors.
    times : ServiceClock
        The table service's time.
    began : float
        Monotonic seconds at which this process had begun.
    metrics : Metrics
        Counts tokens that came back.
    """

    service: TableService
    incarnations: Incarnations
    times: ServiceClock
    began: float
    metrics: Metrics

    async def inherit(self, book: Book) -> None:
        """Close what predecessors held as soon as the store answers.

        Where all hosts start again at once most of a budget may be held by
        the dead. Left to the holder's first round it would be a second before
        any of it is back, and requests would be refused meanwhile; it shows
        as ``no_allotment`` in the first seconds after a loss of power.

        Parameters
        ----------
        book : Book
            Enters this router on its address first.
        """
        for _ in range(_TRIES):
            if not book.is_away() and await book.enter() is None:
                await self.close_predecessors()
                if not self.incarnations.before:
                    return
            await book.clock.sleep(_PAUSE_S)

    async def close_predecessors(self) -> None:
        """Close what predecessors held, as far as the store answers."""
        await self.incarnations.close_before(self._close_all_of)

    async def _close_all_of(self, incarnation: str) -> bool:
        rows = await self.service.read((usage_key(incarnation),))
        if isinstance(rows, PlatformFault):
            return False
        # One that never reported has used nothing, but nobody knows which
        # teams it drew for; what it held stays taken.
        if rows[0].value is None:
            return True
        last = decode_report(rows[0].value)
        died = self.times.at_most(self.began)
        if died is None:
            return False
        # Teams lie in parts of their own, so their closings don't wait for
        # each other; one after the other the last team would be refused for
        # as long as all of them take.
        turn = asyncio.Semaphore(_AT_ONCE)
        closings = [
            self._close_in_turn(turn, incarnation, team, last, died)
            for team in last.teams
        ]
        return all(await asyncio.gather(*closings))

    async def _close_in_turn(
        self,
        turn: asyncio.Semaphore,
        incarnation: str,
        team: str,
        last: Report,
        died: float,
    ) -> bool:
        async with turn:
            return await self._close(incarnation, team, last, died)

    async def _close(
        self,
        incarnation: str,
        team: str,
        last: Report,
        died: float,
    ) -> bool:
        silence = _silence(died, last)
        used = last.allowed(team, silence)
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
            report=last.number,
            silence_s=round(silence, 3) if math.isfinite(silence) else None,
            used_at_most=used,
            returned=outcome.returned,
        )
        return True


def _silence(died: float, last: Report) -> float:
    # A report from after the death can't be: the service's clock went back.
    # Taken for no silence, it would give back what was used, and a team
    # would get more than it paid for.
    if died < last.at:
        return math.inf
    return died - last.at
