"""Deletes the records of edits that are older than they are kept for."""

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
from balsamreach.table.faults import TABLE_AWAY, TableFault
from balsamreach.table.history import EDIT_PREFIX, HISTORY_PREFIX
from balsamreach.telemetry.metrics import Metrics

#: Where routers agree on who prunes next, and from where on.
PRUNING_KEY = 'pruning/edits'
#: Shortest time between two pages, over the whole fleet.
PAGE_EVERY_S = 60
#: A gap longer than this between two pages may be a clock that is wrong.
_LONGEST_GAP_S = 86400
_PAGE_ROWS = 1000
_COMMIT_ROWS = 200


@attrs.frozen
class Progress:
    """How far pruning has come, as stored in the table service.

    Parameters
    ----------
    at : float
        Wall time at which the last page was begun.
    prefix : str
        Which records are looked at next.
    after : str
        Last key that was looked at; empty to begin with the first.
    """

    at: float = 0
    prefix: str = EDIT_PREFIX
    after: str = ''


@attrs.define(eq=False)
class Pruner:
    """Looks at one page of records at a time and deletes the old ones.

    Parameters
    ----------
    cfg : Settings
        How long records are kept.
    service : TableService
        Where they are.
    clock : Clock
        Wall time, by which records are dated.
    metrics : Metrics
        Counts what is deleted.
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
            Records deleted, or TABLE_AWAY.
        """
        read = await self.service.read((PRUNING_KEY,))
        if isinstance(read, PlatformFault):
            return _away(read)
        row, now = read[0], self.clock.wall()
        progress = Progress(**(row.value or {}))
        gap = now - progress.at
        if 0 <= gap < PAGE_EVERY_S:
            return 0
        # The commit that dates the page is conditional, so of all routers
        # that find it due one prunes it.
        begun = attrs.evolve(progress, at=now)
        version = await self._store(begun, row)
        if isinstance(version, PlatformFault):
            return _away(version)
        # A host whose clock is far ahead would find every record old and
        # delete the whole history. It would show as a gap since the page
        # that another host dated; so a page is pruned only if the dates of
        # two pages are close to each other.
        if not 0 <= gap <= _LONGEST_GAP_S:
            return 0
        return await self._prune(Row(PRUNING_KEY, version, {}), begun)

    async def _prune(self, row: Row, begun: Progress) -> int | TableFault:
        page = await self.service.scan(
            Scan(begun.prefix, after=begun.after, limit=_PAGE_ROWS),
        )
        if not isinstance(page, Page):
            return _away(page)
        oldest = begun.at - self._kept_for(begun.prefix)
        old = [one for one in page.rows if _is_older(one, oldest)]
        for start in range(0, len(old), _COMMIT_ROWS):
            fault = await self._delete(old[start : start + _COMMIT_ROWS])
            if fault is not None:
                return _away(fault)
        self.metrics.count('balsamreach_table_records_pruned_total', len(old))
        await self._store(_next(begun, page), row)
        return len(old)

    async def _delete(self, old: list[Row]) -> PlatformFault | None:
        outcome = await self.service.commit(
            Commit(
                tuple(Write(row.key, None) for row in old),
                tuple(Check(row.key, row.version) for row in old),
            ),
        )
        return outcome if isinstance(outcome, PlatformFault) else None

    async def _store(self, progress: Progress, row: Row) -> int | PlatformFault:
        version = ABSENT if row.value is None else row.version
        return await self.service.commit(
            Commit(
                (Write(PRUNING_KEY, attrs.asdict(progress)),),
                (Check(PRUNING_KEY, version),),
            ),
        )

    def _kept_for(self, prefix: str) -> float:
        if prefix == EDIT_PREFIX:
            return self.cfg.table.keep_edit_ids
        return self.cfg.table.keep_history


def _next(begun: Progress, page: Page) -> Progress:
    if page.more:
        return attrs.evolve(begun, after=page.rows[-1].key)
    other = HISTORY_PREFIX if begun.prefix == EDIT_PREFIX else EDIT_PREFIX
    return Progress(begun.at, other)


def _is_older(row: Row, oldest: float) -> bool:
    return row.value is not None and row.value['at'] < oldest


def _away(fault: PlatformFault) -> TableFault:
    return TABLE_AWAY.because(f'table service: {fault.code}')
