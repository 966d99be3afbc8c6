"""Brings a router's reports of what it may use to the table service."""

import asyncio
import logging
from collections.abc import Callable, Mapping

import attrs

from balsamreach.budget.promises import (
    Allowance,
    OpeningSchedule,
    Report,
    decode_report,
    encode_report,
)
from balsamreach.clock import Clock
from balsamreach.services.base import (
    ABSENT,
    Check,
    Commit,
    Row,
    TableService,
    Write,
)
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault
from balsamreach.services.times import ServiceClock
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

REPORTS = 'balsamreach_budget_reports_total'
USAGE_PREFIX = 'usage/'

_logger = logging.getLogger(__name__)
#: Times that a report whose answer was lost is sent again at once.
_ATTEMPTS = 3
_MS = 1000

#: Returns what this router may use of each team's tokens.
MakePromises = Callable[[], Mapping[str, Allowance]]


@attrs.frozen
class _Sent:
    """A report and when it was made, in monotonic seconds here."""

    report: Report
    made: float

    def allowed(self, team: str, now: float) -> int:
        return self.report.allowed(team, now - self.made)


@attrs.define(eq=False)
class Reporter:
    """Reports for one incarnation, one report at a time.

    Parameters
    ----------
    service : TableService
        Where reports are kept.
    incarnation : str
        Whose they are.
    times : ServiceClock
        The table service's time.
    clock : Clock
        Time of this host.
    metrics : Metrics
        Counts reports.
    pace : OpeningSchedule
        How fast tokens open that were not promised.
    make : callable
        Returns the promises of a new report.
    on_report : callable
        Called once a report is recorded.
    is_away : callable
        Tells whether the service is known to be away, so that a report would
        only hold up those who wait for it.
    """

    service: TableService
    incarnation: str
    times: ServiceClock
    clock: Clock
    metrics: Metrics
    pace: OpeningSchedule
    make: MakePromises
    on_report: Callable[[], None]
    is_away: Callable[[], bool] = bool
    _version: int = ABSENT
    _number: int = 0
    _confirmed: _Sent | None = None
    _doubtful: _Sent | None = None
    _asked: int = 0
    _served: int = 0
    _recorded: bool = False
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def limit(self, team: str, seconds_ahead: float = 0) -> int:
        """Return the tokens that this router may have in use.

        While it is not known which of two reports stands in the row, only
        what both allow may be used.

        Parameters
        ----------
        team : str
            The team.
        seconds_ahead : float
            Seconds from now at which that will hold without a new report.
        """
        if self._confirmed is None:
            return 0
        now = self.clock.now() + seconds_ahead
        known = (self._confirmed, self._doubtful)
        return min(sent.allowed(team, now) for sent in known if sent)

    async def report(self) -> bool:
        """Return whether a report made after this call was recorded.

        All who ask while one is under way share the next one.
        """
        if self.is_away():
            return False
        self._asked += 1
        task = asyncio.ensure_future(self._report(self._asked))
        # A caller that goes away cancels its task; the report serves others.
        return await asyncio.shield(task)

    async def _report(self, number: int) -> bool:
        async with self._lock:
            if self._served < number:
                asked = self._asked
                self._recorded = await self._send()
                self._served = asked
            return self._recorded

    async def _send(self) -> bool:
        for _ in range(_ATTEMPTS):
            outcome = await self._attempt()
            if not isinstance(outcome, PlatformFault):
                self.metrics.count(REPORTS, outcome='recorded')
                self.on_report()
                return True
            self.metrics.count(REPORTS, outcome=outcome.code)
            if outcome not in {CONFLICT, UNKNOWN}:
                return False
        return False

    async def _attempt(self) -> int | PlatformFault:
        earlier = self._doubtful
        # A report whose answer was lost may yet take effect. It is sent
        # again as it was: with another in its place nobody would know which
        # of them a successor finds, and silence would never open anything.
        sent = earlier or await self._make()
        if isinstance(sent, PlatformFault):
            return sent
        # From here on the row may hold it.
        self._doubtful = sent
        outcome = await self.service.commit(self._change(sent.report))
        if outcome == CONFLICT:
            return await self._look()
        if isinstance(outcome, PlatformFault):
            if outcome != UNKNOWN:
                self._doubtful = earlier
            return outcome
        self._confirm(sent, outcome)
        return outcome

    async def _make(self) -> _Sent | PlatformFault:
        if self.times.at_least() is None:
            row = await self._read()
            if isinstance(row, PlatformFault):
                return row
        told = self.times.at_least()
        if told is None:
            return UNKNOWN.because('the service tells no time')
        self._number += 1
        report = Report(self._number, told, self.pace, dict(self.make()))
        return _Sent(report, self.clock.now())

    def _change(self, report: Report) -> Commit:
        write = Write(self._key, encode_report(report))
        return Commit((write,), (Check(self._key, self._version),))

    async def _look(self) -> int | PlatformFault:
        # Only this router writes the row, so an earlier attempt got through.
        row = await self._read()
        if isinstance(row, PlatformFault):
            return row
        self._version = ABSENT if row.value is None else row.version
        doubtful = self._doubtful
        if row.value is None or doubtful is None:
            return CONFLICT
        if decode_report(row.value).number != doubtful.report.number:
            return CONFLICT
        self._confirm(doubtful, row.version)
        return row.version

    def _confirm(self, sent: _Sent, version: int) -> None:
        self._confirmed = sent
        self._doubtful = None
        self._version = version
        log_event(
            _logger,
            logging.DEBUG,
            'usage_reported',
            report=sent.report.number,
            row_version=version,
            age_ms=round((self.clock.now() - sent.made) * _MS),
            teams=len(sent.report.teams),
        )

    async def _read(self) -> Row | PlatformFault:
        rows = await self.service.read((self._key,))
        return rows if isinstance(rows, PlatformFault) else rows[0]

    @property
    def _key(self) -> str:
        return usage_key(self.incarnation)


def usage_key(incarnation: str) -> str:
    """Return the key of an incarnation's report."""
    return USAGE_PREFIX + incarnation
