"""Records waiting bills in the table service, each exactly once."""

from collections.abc import Mapping

import attrs

from balsamreach.budget.account import (
    Allotment,
    Bill,
    allotment_key,
    decode_allotment,
    encode,
)
from balsamreach.budget.faults import NO_ALLOTMENT, TAKEN_OVER, BudgetFault
from balsamreach.budget.sorting import bill_keys, insert_bills, sort_bills
from balsamreach.services.base import Check, Commit, Row, TableService, Write
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault

_ATTEMPTS = 8


@attrs.frozen
class Settled:
    """What a settlement did.

    Parameters
    ----------
    recorded : tuple of Bill
        Bills that this incarnation recorded.
    repeated : tuple of Bill
        Bills whose request was billed already.
    uncovered : tuple of Bill
        Bills that wait because the allotment does not cover them yet.
    """

    recorded: tuple[Bill, ...] = ()
    repeated: tuple[Bill, ...] = ()
    uncovered: tuple[Bill, ...] = ()


@attrs.define
class Settler:
    """Writes one incarnation's bills, many in one commit."""

    service: TableService
    incarnation: str

    async def settle(
        self,
        bills: tuple[Bill, ...],
        lent: Mapping[str, int],
    ) -> Settled | BudgetFault:
        """Record bills and count them against their allotments.

        Parameters
        ----------
        bills : tuple of Bill
            Bills of any teams.
        lent : mapping of str to int
            Tokens lent by team, recorded or not; bills leave them alone.

        Returns
        -------
        Settled or BudgetFault
            NO_ALLOTMENT if the table service is away and TAKEN_OVER if a
            successor closed an allotment; the bills are still the caller's.
        """
        for _ in range(_ATTEMPTS):
            rows = await self._read(bills)
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            if any(_is_closed(row) for row in self._own(rows)):
                return TAKEN_OVER.because('an allotment of ours was closed')
            batch = self._batch(bills, rows, lent)
            if batch.change is None:
                return batch.settled
            outcome = await self.service.commit(batch.change)
            if not isinstance(outcome, PlatformFault):
                return batch.settled
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because('bills could not be recorded')

    async def _read(
        self,
        bills: tuple[Bill, ...],
    ) -> tuple[Row, ...] | PlatformFault:
        teams = sorted({bill.team for bill in bills})
        allotments = (allotment_key(self.incarnation, name) for name in teams)
        return await self.service.read((*bill_keys(bills), *allotments))

    def _own(self, rows: tuple[Row, ...]) -> tuple[Row, ...]:
        prefix = allotment_key(self.incarnation, '')
        return tuple(row for row in rows if row.key.startswith(prefix))

    def _batch(
        self,
        bills: tuple[Bill, ...],
        rows: tuple[Row, ...],
        lent: Mapping[str, int],
    ) -> '_Batch':
        found = sort_bills(bills, rows, self.incarnation)
        counted = {
            row.key.rsplit('/', 1)[-1]: decode_allotment(row.value)
            for row in self._own(rows)
        }
        fitting = []
        uncovered = []
        for bill in found.fresh:
            allotment = counted[bill.team]
            unrecorded = max(0, lent.get(bill.team, 0) - allotment.lent)
            # Tokens of an unrecorded loan count here only once it is
            # recorded; a bill that needs them waits for the next draw.
            if bill.tokens > allotment.outstanding - unrecorded:
                uncovered.append(bill)
                continue
            counted[bill.team] = _count(allotment, bill)
            fitting.append(bill)
        return _Batch(
            Settled(
                (*found.known, *fitting),
                found.repeated,
                tuple(uncovered),
            ),
            self._change(tuple(fitting), rows, counted),
        )

    def _change(
        self,
        fitting: tuple[Bill, ...],
        rows: tuple[Row, ...],
        counted: Mapping[str, Allotment],
    ) -> Commit | None:
        if not fitting:
            return None
        writes, checks = insert_bills(fitting, self.incarnation)
        teams = {bill.team for bill in fitting}
        own = [
            row for row in self._own(rows) if row.key.split('/')[-1] in teams
        ]
        settled = tuple(
            Write(row.key, encode(counted[row.key.split('/')[-1]]))
            for row in own
        )
        held = tuple(Check(row.key, row.version) for row in own)
        return Commit((*writes, *settled), (*checks, *held))


@attrs.frozen
class _Batch:
    settled: Settled
    change: Commit | None


def _is_closed(row: Row) -> bool:
    # A row that never was belongs to a router that has only borrowed so far.
    if row.value is None:
        return row.version > 0
    return decode_allotment(row.value).closed


def _count(allotment: Allotment, bill: Bill) -> Allotment:
    return attrs.evolve(allotment, settled=allotment.settled + bill.tokens)
