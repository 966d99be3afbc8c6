"""Table service wrapper that records spans and metrics of its calls."""

from collections.abc import Generator
from contextlib import contextmanager

import attrs

from balsamreach.clock import Clock
from balsamreach.services.base import Commit, Page, Row, Scan, TableService
from balsamreach.services.faults import PlatformFault
from balsamreach.telemetry import hops
from balsamreach.telemetry.metrics import Metrics

CALLS_METRIC = 'balsamreach_platform_calls_total'
SECONDS_METRIC = 'balsamreach_platform_seconds'


@attrs.define
class _Call:
    """A call in progress and its outcome for traces and metrics."""

    outcome: str = 'cancelled'

    def record(self, answer: object) -> None:
        """Set the outcome from the answer of the service."""
        self.outcome = 'ok'
        if isinstance(answer, PlatformFault):
            self.outcome = answer.code


@attrs.frozen
class TracedTableService(TableService):
    """Table service that records spans and metrics of its calls.

    Parameters
    ----------
    service : TableService
        Wrapped table service.
    metrics : Metrics
        Receives the duration and outcome of each call.
    clock : Clock
        Clock for durations.
    """

    service: TableService
    metrics: Metrics
    clock: Clock

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        with self._call('commit') as call:
            outcome = await self.service.commit(change)
            call.record(outcome)
        return outcome

    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows by key in one consistent view."""
        with self._call('read') as call:
            rows = await self.service.read(keys)
            call.record(rows)
        return rows

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Read one page of the rows whose keys start with a prefix."""
        with self._call('scan') as call:
            page = await self.service.scan(scan)
            call.record(page)
        return page

    @contextmanager
    def _call(self, name: str) -> Generator[_Call, None, None]:
        call = _Call()
        started = self.clock.now()
        try:
            with hops.hop('platform', call=name) as span:
                yield call
                span.set_attribute('outcome', call.outcome)
        finally:
            self._record_metrics(name, call.outcome, started)

    def _record_metrics(self, name: str, outcome: str, started: float) -> None:
        seconds = self.clock.now() - started
        self.metrics.count(CALLS_METRIC, call=name, outcome=outcome)
        self.metrics.observe(SECONDS_METRIC, seconds, call=name)
