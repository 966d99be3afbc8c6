"""Closes the allotments of incarnations that are gone."""

from itertools import chain, islice

import attrs

from balsamreach.budget.account import (
    Bill,
    account_key,
    allotment_key,
    decode_allotment,
)
from balsamreach.budget.closing_plan import Closed, Closing, Work, work_out
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.sorting import bill_keys
from balsamreach.services.base import Commit, TableService
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault
from balsamreach.services.scanning import scan_all

_ATTEMPTS = 8
#: Most bills that one commit of a closing
MOST_BILLS = 400


@attrs.define
class Closer:
    """Closes allotments on evidence that others have established."""

    service: TableService

    async def teams(self, incarnation: str) -> tuple[str, ...] | BudgetFault:
        """Return the teams of which an incarnation holds open allotments."""
        prefix = allotment_key(incarnation, '')
        rows = await scan_all(self.service, prefix)
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        return tuple(
            row.key.removeprefix(prefix)
            for row in rows
            if not decode_allotment(row.value).closed
        )

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
        outcome = await self.close_many((closing,))
        return outcome if isinstance(outcome, BudgetFault) else outcome[0]

    async def close_many(
        self,
        closings: tuple[Closing, ...],
    ) -> tuple[Closed, ...] | BudgetFault:
        """Close allotments of different teams, all in one commit.

        Parameters
        ----------
        closings : tuple of Closing
            What to close; the caller bounds how much.

        Returns
        -------
        tuple of Closed or BudgetFault
            As from ``close``, in the order of the closings.
        """
        for _ in range(_ATTEMPTS):
            works = await self._work_out(closings)
            if isinstance(works, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {works.code}')
            change = _join(works)
            if change is None:
                return tuple(work.closed for work in works)
            outcome = await self.service.commit(change)
            if not isinstance(outcome, PlatformFault):
                return tuple(work.closed for work in works)
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

    async def _work_out(
        self,
        closings: tuple[Closing, ...],
    ) -> tuple[Work, ...] | PlatformFault:
        keys = tuple(_keys(closing) for closing in closings)
        read = await self.service.read(tuple(chain.from_iterable(keys)))
        if isinstance(read, PlatformFault):
            return read
        rows = iter(read)
        return tuple(
            work_out(closing, tuple(islice(rows, len(its_keys))))
            for closing, its_keys in zip(closings, keys, strict=True)
        )


def _keys(closing: Closing) -> tuple[str, ...]:
    return (
        account_key(closing.team),
        allotment_key(closing.incarnation, closing.team),
        *bill_keys(closing.bills),
    )


def _join(works: tuple[Work, ...]) -> Commit | None:
    changes = [work.change for work in works if work.change is not None]
    if not changes:
        return None
    return Commit(
        tuple(chain.from_iterable(change.writes for change in changes)),
        tuple(chain.from_iterable(change.checks for change in changes)),
    )
