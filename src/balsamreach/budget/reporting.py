"""Writes a router's usage reports to the table service."""

import asyncio
import logging
from collections.abc import Callable, Mapping

import attrs

from balsamreach.budget.usage_reports import (
    Allowance,
    OpeningSchedule,
    UsageReport,
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
#: Immediate attempts for a report whose answer was lost.
_ATTEMPT_LIMIT = 3
_MS = 1000

#: Returns how much this router may use of each team's tokens.
MakeAllowances = Callable[[], Mapping[str, Allowance]]


@attrs.frozen
class _SentReport:
    """A report and this host's monotonic time when it was made."""

    report: UsageReport
    made_at: float

    def allowed(self, team: str, now: float) -> int:
        return self.report.allowed(team, now - self.made_at)


@attrs.define(eq=False)
class UsageReporter:
    """Writes the reports of one incarnation, one at a time.

    Parameters
    ----------
    service : TableService
        Where reports are stored.
    incarnation : str
        Whose reports they are.
    service_clock : ServiceClock
        The table service's time.
    clock : Clock
        Time of this host.
    metrics : Metrics
        Counts reports.
    schedule : OpeningSchedule
        How tokens beyond the reported use become usable.
    make_allowances : callable
        Returns the allowances for a new report.
    on_report : callable
        Called once a report is recorded.
    is_away : callable
        Returns whether the table service is known to be away, in which case
        a report would only delay its callers.
    """

    service: TableService
    incarnation: str
    service_clock: ServiceClock
    clock: Clock
    metrics: Metrics
    schedule: OpeningSchedule
    make_allowances: MakeAllowances
    on_report: Callable[[], None]
    is_away: Callable[[], bool] = bool
    _version: int = ABSENT
    _report_number: int = 0
    _confirmed: _SentReport | None = None
    _unconfirmed: _SentReport | None = None
    _last_requested: int = 0
    _last_completed: int = 0
    _was_recorded: bool = False
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def limit(self, team: str, seconds_ahead: float = 0) -> int:
        """Return how many tokens this router may have in use.

        While it is unknown which of two reports is in the row, the smaller
        limit of the two applies.

        Parameters
        ----------
        team : str
            The team.
        seconds_ahead : float
            Seconds from now at which the limit holds without a new report.
        """
        if self._confirmed is None:
            return 0
        now = self.clock.now() + seconds_ahead
        candidates = (self._confirmed, self._unconfirmed)
        return min(sent.allowed(team, now) for sent in candidates if sent)

    async def report(self) -> bool:
        """Return whether a report made after this call was recorded.

        All calls made while a report is in progress share the next one.
        """
        if self.is_away():
            return False
        self._last_requested += 1
        task = asyncio.ensure_future(self._report(self._last_requested))
        # A cancelled caller must not cancel the report: it serves others.
        return await asyncio.shield(task)

    async def _report(self, number: int) -> bool:
        async with self._lock:
            if self._last_completed < number:
                requested = self._last_requested
                self._was_recorded = await self._send()
                self._last_completed = requested
            return self._was_recorded

    async def _send(self) -> bool:
        for _ in range(_ATTEMPT_LIMIT):
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
        earlier = self._unconfirmed
        # A report whose answer was lost may still take effect, so the same
        # report is sent again. With a different one it would be unknown
        # which of them a successor finds, and no tokens would become usable
        # over time.
        sent = earlier or await self._make()
        if isinstance(sent, PlatformFault):
            return sent
        # From here on the row may hold this report.
        self._unconfirmed = sent
        outcome = await self.service.commit(self._make_commit(sent.report))
        if outcome == CONFLICT:
            return await self._resolve_conflict()
        if isinstance(outcome, PlatformFault):
            if outcome != UNKNOWN:
                self._unconfirmed = earlier
            return outcome
        self._confirm(sent, outcome)
        return outcome

    async def _make(self) -> _SentReport | PlatformFault:
        if self.service_clock.at_least() is None:
            row = await self._read_row()
            if isinstance(row, PlatformFault):
                return row
        service_time = self.service_clock.at_least()
        if service_time is None:
            return UNKNOWN.because('no time of the table service is known')
        self._report_number += 1
        report = UsageReport(
            self._report_number,
            service_time,
            self.schedule,
            dict(self.make_allowances()),
        )
        return _SentReport(report, self.clock.now())

    def _make_commit(self, report: UsageReport) -> Commit:
        write = Write(self._key, encode_report(report))
        return Commit((write,), (Check(self._key, self._version),))

    async def _resolve_conflict(self) -> int | PlatformFault:
        # Only this router writes the row, so an earlier attempt took effect.
        row = await self._read_row()
        if isinstance(row, PlatformFault):
            return row
        self._version = ABSENT if row.value is None else row.version
        unconfirmed = self._unconfirmed
        if row.value is None or unconfirmed is None:
            return CONFLICT
        if decode_report(row.value).number != unconfirmed.report.number:
            return CONFLICT
        self._confirm(unconfirmed, row.version)
        return row.version

    def _confirm(self, sent: _SentReport, version: int) -> None:
        self._confirmed = sent
        self._unconfirmed = None
        self._version = version
        log_event(
            _logger,
            logging.DEBUG,
            'usage_reported',
            report=sent.report.number,
            row_version=version,
            age_ms=round((self.clock.now() - sent.made_at) * _MS),
            teams=len(sent.report.teams),
        )

    async def _read_row(self) -> Row | PlatformFault:
        rows = await self.service.read((self._key,))
        return rows if isinstance(rows, PlatformFault) else rows[0]

    @property
    def _key(self) -> str:
        return report_key(self.incarnation)


def report_key(incarnation: str) -> str:
    """Return the key of the row that holds an incarnation's report."""
    return USAGE_PREFIX + incarnation
