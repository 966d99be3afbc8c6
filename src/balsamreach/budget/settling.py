"""Records waiting bills in the table service, each exactly once."""

import attrs

from balsamreach.budget.account import (
    Allotment,
    Bill,
    allotment_key,
    bill_key,
    decode_allotment,
    encode,
)
from balsamreach.budget.faults import NO_ALLOTMENT, TAKEN_OVER, BudgetFault
from balsamreach.platform.base import (
    ABSENT,
    Check,
    Commit,
    Row,
    TableService,
    Write,
)
from balsamreach.platform.faults import CONFLICT, UNKNOWN, PlatformFault

_ATTEMPTS = 8


@attrs.frozen
class Settled:
    """What a settlement did.

    Parameters
    ----------
    recorded : tuple of Bill
        Bills that this incarnation recorded.
    repeated : tuple of Bill
        Bills whose request another router had billed already.
    """

    recorded: tuple[Bill, ...]
    repeated: tuple[Bill, ...] = ()


@attrs.define
class Settler:
    """Writes one incarnation's bills, many in one commit."""

    service: TableService
    incarnation: str

    async def settle(self, bills: tuple[Bill, ...]) -> Settled | BudgetFault:
        """Record bills and count them against their allotments.

        Parameters
        ----------
        bills : tuple of Bill
            Bills of any teams, each request once.

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
            fresh, repeated = self._sort(bills, rows)
            allotments = [row for row in rows if row.key not in _keys(bills)]
            if any(row.value is None for row in allotments):
                return TAKEN_OVER.because('an allotment of ours was closed')
            outcome = await self._commit(fresh, allotments)
            if not isinstance(outcome, PlatformFault):
                return Settled(fresh, repeated)
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because('bills could not be recorded')

    async def _read(
        self,
        bills: tuple[Bill, ...],
    ) -> tuple[Row, ...] | PlatformFault:
        teams = sorted({bill.team for bill in bills})
        allotments = (allotment_key(self.incarnation, name) for name in teams)
        return await self.service.read((*_keys(bills), *allotments))

    def _sort(
        self,
        bills: tuple[Bill, ...],
        rows: tuple[Row, ...],
    ) -> tuple[tuple[Bill, ...], tuple[Bill, ...]]:
        by_key = {row.key: row.value for row in rows}
        fresh = []
        repeated = []
        for bill in bills:
            stored = by_key.get(bill_key(bill.team, bill.key))
            # After a lost answer the stored bill may be our own: it names
            # the incarnation, and then it counts as recorded by us, once.
            if stored is None:
                fresh.append(bill)
            elif stored['by'] != self.incarnation:
                repeated.append(bill)
        return tuple(fresh), tuple(repeated)

    async def _commit(
        self,
        bills: tuple[Bill, ...],
        allotments: list[Row],
    ) -> int | PlatformFault:
        writes = [
            Write(
                bill_key(bill.team, bill.key),
                {**encode(bill), 'by': self.incarnation},
            )
            for bill in bills
        ]
        checks = [Check(write.key, ABSENT) for write in writes]
        for row in allotments:
            allotment = decode_allotment(row.value)
            team = row.key.rsplit('/', 1)[-1]
            changed = _count(allotment, team, bills)
            if changed is not None:
                writes.append(Write(row.key, encode(changed)))
                checks.append(Check(row.key, row.version))
        if not writes:
            return ABSENT
        return await self.service.commit(Commit(tuple(writes), tuple(checks)))


def _count(
    allotment: Allotment,
    team: str,
    bills: tuple[Bill, ...],
) -> Allotment | None:
    tokens = sum(bill.tokens for bill in bills if bill.team == team)
    if not any(bill.team == team for bill in bills):
        return None
    return attrs.evolve(
        allotment,
        settled=allotment.settled + tokens,
        seq=allotment.seq + 1,
    )


def _keys(bills: tuple[Bill, ...]) -> tuple[str, ...]:
    return tuple(bill_key(bill.team, bill.key) for bill in bills)
