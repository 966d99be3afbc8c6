"""Gives each call of the table service a span and a latency."""

from collections.abc import Generator
from contextlib import contextmanager

import attrs

from balsamreach.clock import Clock
from balsamreach.services.base import Commit, Page, Row, Scan, TableService
from balsamreach.services.faults import PlatformFault
from balsamreach.telemetry import hops
from balsamreach.telemetry.metrics import Metrics

CALLS = 'balsamreach_platform_calls_total'
CALL_SECONDS = 'balsamreach_platform_seconds'


@attrs.define
class _Call:
    """One call under way; its outcome is known at the end."""

    outcome: str = 'cancelled'

    def note(self, answer: object) -> None:
        """Take the outcome from what the service answered."""
        self.outcome = 'ok'
        if isinstance(answer, PlatformFault):
            self.outcome = answer.code


@attrs.frozen
class TracedTableService(TableService):
    """Table service whose calls are seen in traces and metrics.

    Parameters
    ----------
    service : TableService
        The service itself.
    metrics : Metrics
        Takes what the calls lasted and how they ended.
    clock : Clock
        Measures them.
    """

    service: TableService
    metrics: Metrics
    clock: Clock

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        with self._call('commit') as call:
            outcome = await self.service.commit(change)
            call.note(outcome)
        return outcome

    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows by key at one instant."""
        with self._call('read') as call:
            rows = await self.service.read(keys)
            call.note(rows)
        return rows

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Read one page of the rows under a prefix."""
        with self._call('scan') as call:
            page = await self.service.scan(scan)
            call.note(page)
        return page

    @contextmanager
    def _call(self, name: str) -> Generator[_Call, None, None]:
        call = _Call()
        began = self.clock.now()
        try:
            with hops.hop('platform', call=name) as span:
                yield call
                span.set_attribute('outcome', call.outcome)
        finally:
            self._measure(name, call.outcome, began)

    def _measure(self, name: str, outcome: str, began: float) -> None:
        seconds = self.clock.now() - began
        self.metrics.count(CALLS, call=name, outcome=outcome)
        self.metrics.observe(CALL_SECONDS, seconds, call=name)
