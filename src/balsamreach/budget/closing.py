"""Closes the allotments of incarnations that are gone."""

import attrs

from balsamreach.budget.account import (
    Bill,
    account_key,
    allotment_key,
    decode_allotment,
)
from balsamreach.budget.closing_plan import Closed, Closing, work_out
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.sorting import bill_keys
from balsamreach.platform.base import Row, Scan, TableService
from balsamreach.platform.faults import CONFLICT, UNKNOWN, PlatformFault

_ATTEMPTS = 8
#: Most bills that one commit of a closing
MOST_BILLS = 400


@attrs.define
class Closer:
    """Closes allotments on evidence that others have established."""

    service: TableService

    async def teams(self, incarnation: str) -> tuple[str, ...] | BudgetFault:
        """Return the teams of which an incarnation holds open allotments."""
        found: list[str] = []
        prefix = allotment_key(incarnation, '')
        page = await self.service.scan(Scan(prefix))
        while not isinstance(page, PlatformFault):
            found.extend(
                row.key.removeprefix(prefix)
                for row in page.rows
                if not decode_allotment(row.value).closed
            )
            if not page.more:
                return tuple(found)
            page = await self.service.scan(
                Scan(prefix, after=page.rows[-1].key),
            )
        return NO_ALLOTMENT.because(f'table service: {page.code}')

    async def close(self, closing: Closing) -> Closed | BudgetFault:
        """Record the bills and give the rest back, in one commit.

        Parameters
        ----------
        closing : Closing
            What to close. Closing it a second time changes nothing; bills
            are recorded once however often they come.

        Returns
        -------
        Closed or BudgetFault
            NO_ALLOTMENT if the table service is away.
        """
        for _ in range(_ATTEMPTS):
            rows = await self._read(closing)
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            work = work_out(closing, rows)
            if work.change is None:
                return work.closed
            outcome = await self.service.commit(work.change)
            if not isinstance(outcome, PlatformFault):
                return work.closed
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because('the account is contended')

    async def close_all(
        self,
        closing: Closing,
        bills: tuple[Bill, ...],
    ) -> Closed | BudgetFault:
        """Close an allotment with any number of bills, in bounded commits.

        Parameters
        ----------
        closing : Closing
            What to close; its bills are replaced.
        bills : tuple of Bill
            Bills of that allotment.
        """
        unpaid: list[Bill] = []
        while len(bills) > MOST_BILLS:
            part = attrs.evolve(
                closing,
                bills=bills[:MOST_BILLS],
                final=False,
            )
            bills = bills[MOST_BILLS:]
            outcome = await self.close(part)
            if isinstance(outcome, BudgetFault):
                return outcome
            unpaid.extend(outcome.unpaid)
        outcome = await self.close(attrs.evolve(closing, bills=bills))
        if isinstance(outcome, BudgetFault):
            return outcome
        return attrs.evolve(outcome, unpaid=(*unpaid, *outcome.unpaid))

    async def _read(
        self,
        closing: Closing,
    ) -> tuple[Row, ...] | PlatformFault:
        return await self.service.read(
            (
                account_key(closing.team),
                allotment_key(closing.incarnation, closing.team),
                *bill_keys(closing.bills),
            )
        )
