"""Records bills in the table service, each exactly once."""

from collections.abc import Mapping

import attrs

from balsamreach.budget.account import (
    Allotment,
    Bill,
    allotment_key,
    decode_allotment,
    encode_record,
)
from balsamreach.budget.classifying import (
    classify_bills,
    insert_bills,
    unique_bill_keys,
)
from balsamreach.budget.faults import NO_ALLOTMENT, TAKEN_OVER, BudgetFault
from balsamreach.services.base import Check, Commit, Row, TableService, Write
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault

_ATTEMPTS = 8


@attrs.frozen
class SettlementResult:
    """The result of recording bills.

    Parameters
    ----------
    recorded : tuple of Bill
        Bills that are recorded, by this call or an earlier one.
    repeated : tuple of Bill
        Bills whose request already has a different bill.
    uncovered : tuple of Bill
        Bills not recorded because the allotment does not cover them yet.
    """

    recorded: tuple[Bill, ...] = ()
    repeated: tuple[Bill, ...] = ()
    uncovered: tuple[Bill, ...] = ()


@attrs.define
class Settler:
    """Records the bills of one incarnation, many in one commit."""

    service: TableService
    incarnation: str

    async def settle(
        self,
        bills: tuple[Bill, ...],
        lent: Mapping[str, int],
    ) -> SettlementResult | BudgetFault:
        """Record bills and count them as settled in their allotments.

        Parameters
        ----------
        bills : tuple of Bill
            Bills of any teams.
        lent : mapping of str to int
            Tokens lent over all time by team, recorded or not; they can't
            be used to cover bills.

        Returns
        -------
        SettlementResult or BudgetFault
            NO_ALLOTMENT if the table service is unavailable, TAKEN_OVER if
            a successor closed an allotment. After a fault the caller still
            has to get the bills recorded.
        """
        for _ in range(_ATTEMPTS):
            rows = await self._read(bills)
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            if any(_is_closed(row) for row in self._allotment_rows(rows)):
                return TAKEN_OVER.because('a successor closed an allotment')
            plan = self._plan(bills, rows, lent)
            if plan.commit is None:
                return plan.result
            outcome = await self.service.commit(plan.commit)
            if not isinstance(outcome, PlatformFault):
                return plan.result
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because('bills could not be recorded: conflicts')

    async def _read(
        self,
        bills: tuple[Bill, ...],
    ) -> tuple[Row, ...] | PlatformFault:
        teams = sorted({bill.team for bill in bills})
        allotments = (allotment_key(self.incarnation, name) for name in teams)
        return await self.service.read((*unique_bill_keys(bills), *allotments))

    def _allotment_rows(self, rows: tuple[Row, ...]) -> tuple[Row, ...]:
        prefix = allotment_key(self.incarnation, '')
        return tuple(row for row in rows if row.key.startswith(prefix))

    def _plan(
        self,
        bills: tuple[Bill, ...],
        rows: tuple[Row, ...],
        lent: Mapping[str, int],
    ) -> '_Plan':
        classified = classify_bills(bills, rows, self.incarnation)
        allotments = {
            row.key.rsplit('/', 1)[-1]: decode_allotment(row.value)
            for row in self._allotment_rows(rows)
        }
        covered = []
        uncovered = []
        for bill in classified.unrecorded:
            allotment = allotments[bill.team]
            unrecorded_loans = max(0, lent.get(bill.team, 0) - allotment.lent)
            # A loan lowers ``outstanding`` only once it is recorded, so the
            # tokens of unrecorded loans are subtracted here. A bill that
            # needs them waits for the next draw.
            if bill.tokens > allotment.outstanding - unrecorded_loans:
                uncovered.append(bill)
                continue
            allotments[bill.team] = _add_bill(allotment, bill)
            covered.append(bill)
        return _Plan(
            SettlementResult(
                (*classified.recorded, *covered),
                classified.repeated,
                tuple(uncovered),
            ),
            self._make_commit(tuple(covered), rows, allotments),
        )

    def _make_commit(
        self,
        covered: tuple[Bill, ...],
        rows: tuple[Row, ...],
        allotments: Mapping[str, Allotment],
    ) -> Commit | None:
        if not covered:
            return None
        writes, checks = insert_bills(covered, self.incarnation)
        teams = {bill.team for bill in covered}
        allotment_rows = [
            row
            for row in self._allotment_rows(rows)
            if row.key.split('/')[-1] in teams
        ]
        allotment_writes = tuple(
            Write(row.key, encode_record(allotments[row.key.split('/')[-1]]))
            for row in allotment_rows
        )
        allotment_checks = tuple(
            Check(row.key, row.version) for row in allotment_rows
        )
        return Commit(
            (*writes, *allotment_writes), (*checks, *allotment_checks)
        )


@attrs.frozen
class _Plan:
    result: SettlementResult
    commit: Commit | None


def _is_closed(row: Row) -> bool:
    # A row that never existed belongs to a router that has only borrowed.
    if row.value is None:
        return row.version > 0
    return decode_allotment(row.value).closed


def _add_bill(allotment: Allotment, bill: Bill) -> Allotment:
    return attrs.evolve(allotment, settled=allotment.settled + bill.tokens)
