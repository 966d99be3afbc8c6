"""Deletes edit records and history entries after their retention time."""

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.services.base import (
    ABSENT,
    Check,
    Commit,
    Page,
    Row,
    Scan,
    TableService,
    Write,
)
from balsamreach.services.faults import PlatformFault
from balsamreach.table.faults import TABLE_UNAVAILABLE, TableFault
from balsamreach.table.history import EDIT_PREFIX, HISTORY_PREFIX
from balsamreach.telemetry.metrics import Metrics

#: Row that the routers share to agree on who prunes the next page.
PRUNING_KEY = 'pruning/edits'
#: Minimum time between two pages across the fleet.
PAGE_INTERVAL_S = 60
#: A longer time between two pages may come from a wrong clock.
_MAX_GAP_S = 86400
_PAGE_ROWS = 1000
_COMMIT_ROWS = 200


@attrs.frozen
class Progress:
    """Progress of pruning, stored in the table service.

    Parameters
    ----------
    at : float
        Wall time at which the last page was started.
    prefix : str
        Key prefix of the records to scan next.
    after : str
        Last scanned key; empty to start with the first one.
    """

    at: float = 0
    prefix: str = EDIT_PREFIX
    after: str = ''


@attrs.define(eq=False)
class Pruner:
    """Scans one page of records at a time and deletes the expired ones.

    Parameters
    ----------
    cfg : Settings
        Retention times.
    service : TableService
        Holds the records.
    clock : Clock
        Wall time, compared with the records' timestamps.
    metrics : Metrics
        Counts deleted records.
    """

    cfg: Settings
    service: TableService
    clock: Clock
    metrics: Metrics

    async def step(self) -> int | TableFault:
        """Prune a page if one is due.

        Returns
        -------
        int or TableFault
            Number of deleted records, or TABLE_UNAVAILABLE.
        """
        read = await self.service.read((PRUNING_KEY,))
        if isinstance(read, PlatformFault):
            return _table_away(read)
        row, now = read[0], self.clock.wall()
        progress = Progress(**(row.value or {}))
        gap = now - progress.at
        if 0 <= gap < PAGE_INTERVAL_S:
            return 0
        # The commit of the page's start time is conditional, so only one of
        # the routers that find the page due prunes it.
        started = attrs.evolve(progress, at=now)
        version = await self._store_progress(started, row)
        if isinstance(version, PlatformFault):
            return _table_away(version)
        # A host with a clock far ahead would find every record expired and
        # delete the whole history. Its time would be far from the one that
        # another host stored, so a page is pruned only if the times of two
        # pages are close.
        if not 0 <= gap <= _MAX_GAP_S:
            return 0
        return await self._prune(Row(PRUNING_KEY, version, {}), started)

    async def _prune(self, row: Row, started: Progress) -> int | TableFault:
        page = await self.service.scan(
            Scan(started.prefix, after=started.after, limit=_PAGE_ROWS),
        )
        if not isinstance(page, Page):
            return _table_away(page)
        cutoff = started.at - self._retention_s(started.prefix)
        expired = [
            record for record in page.rows if _is_expired(record, cutoff)
        ]
        for start in range(0, len(expired), _COMMIT_ROWS):
            fault = await self._delete(expired[start : start + _COMMIT_ROWS])
            if fault is not None:
                return _table_away(fault)
        self.metrics.count(
            'balsamreach_table_records_pruned_total', len(expired)
        )
        await self._store_progress(_next_progress(started, page), row)
        return len(expired)

    async def _delete(self, expired: list[Row]) -> PlatformFault | None:
        outcome = await self.service.commit(
            Commit(
                tuple(Write(row.key, None) for row in expired),
                tuple(Check(row.key, row.version) for row in expired),
            ),
        )
        return outcome if isinstance(outcome, PlatformFault) else None

    async def _store_progress(
        self,
        progress: Progress,
        row: Row,
    ) -> int | PlatformFault:
        version = ABSENT if row.value is None else row.version
        return await self.service.commit(
            Commit(
                (Write(PRUNING_KEY, attrs.asdict(progress)),),
                (Check(PRUNING_KEY, version),),
            ),
        )

    def _retention_s(self, prefix: str) -> float:
        if prefix == EDIT_PREFIX:
            return self.cfg.table.keep_edit_ids
        return self.cfg.table.keep_history


def _next_progress(started: Progress, page: Page) -> Progress:
    if page.more:
        return attrs.evolve(started, after=page.rows[-1].key)
    other = HISTORY_PREFIX if started.prefix == EDIT_PREFIX else EDIT_PREFIX
    return Progress(started.at, other)


def _is_expired(row: Row, cutoff: float) -> bool:
    return row.value is not None and row.value['at'] < cutoff


def _table_away(fault: PlatformFault) -> TableFault:
    return TABLE_UNAVAILABLE.because(f'table service: {fault.code}')
