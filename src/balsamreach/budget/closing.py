"""Closes the allotments of incarnations that have stopped."""

from itertools import chain, islice

import attrs

from balsamreach.budget.account import (
    Bill,
    account_key,
    allotment_key,
    decode_allotment,
)
from balsamreach.budget.classifying import unique_bill_keys
from balsamreach.budget.closing_plan import (
    ClosingPlan,
    ClosingResult,
    ClosingSpec,
    plan_closing,
)
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.services.base import Commit, TableService
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault
from balsamreach.services.scanning import scan_all

_ATTEMPTS = 8
#: Maximum number of bills in one commit that closes allotments.
MAX_COMMIT_BILLS = 400


@attrs.define
class AllotmentCloser:
    """Closes allotments; callers make sure that the holder has stopped."""

    service: TableService

    async def open_teams(
        self, incarnation: str
    ) -> tuple[str, ...] | BudgetFault:
        """Return the teams for which an incarnation has open allotments."""
        prefix = allotment_key(incarnation, '')
        rows = await scan_all(self.service, prefix)
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        return tuple(
            row.key.removeprefix(prefix)
            for row in rows
            if not decode_allotment(row.value).closed
        )

    async def close(self, closing: ClosingSpec) -> ClosingResult | BudgetFault:
        """Record bills and return the remaining tokens, in one commit.

        Parameters
        ----------
        closing : ClosingSpec
            The allotment to close. The call is idempotent: closing it again
            changes nothing, and each bill is recorded only once.

        Returns
        -------
        ClosingResult or BudgetFault
            NO_ALLOTMENT if the table service is unavailable.
        """
        outcome = await self.close_many((closing,))
        return outcome if isinstance(outcome, BudgetFault) else outcome[0]

    async def close_many(
        self,
        closings: tuple[ClosingSpec, ...],
    ) -> tuple[ClosingResult, ...] | BudgetFault:
        """Close allotments of different teams, all in one commit.

        Parameters
        ----------
        closings : tuple of ClosingSpec
            The allotments to close; the caller limits their number and that
            of their bills.

        Returns
        -------
        tuple of ClosingResult or BudgetFault
            Results as from ``close``, in the order of ``closings``.
        """
        for _ in range(_ATTEMPTS):
            plans = await self._plan(closings)
            if isinstance(plans, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {plans.code}')
            commit = _merge_commits(plans)
            if commit is None:
                return tuple(plan.result for plan in plans)
            outcome = await self.service.commit(commit)
            if not isinstance(outcome, PlatformFault):
                return tuple(plan.result for plan in plans)
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because('too many commit conflicts on the account')

    async def close_with_bills(
        self,
        closing: ClosingSpec,
        bills: tuple[Bill, ...],
    ) -> ClosingResult | BudgetFault:
        """Close an allotment with any number of bills, over several commits.

        Parameters
        ----------
        closing : ClosingSpec
            The allotment to close; its ``bills`` are ignored.
        bills : tuple of Bill
            Bills to record for that allotment.
        """
        unpaid: list[Bill] = []
        while len(bills) > MAX_COMMIT_BILLS:
            part = attrs.evolve(
                closing,
                bills=bills[:MAX_COMMIT_BILLS],
                final=False,
            )
            bills = bills[MAX_COMMIT_BILLS:]
            outcome = await self.close(part)
            if isinstance(outcome, BudgetFault):
                return outcome
            unpaid.extend(outcome.unpaid)
        outcome = await self.close(attrs.evolve(closing, bills=bills))
        if isinstance(outcome, BudgetFault):
            return outcome
        return attrs.evolve(outcome, unpaid=(*unpaid, *outcome.unpaid))

    async def _plan(
        self,
        closings: tuple[ClosingSpec, ...],
    ) -> tuple[ClosingPlan, ...] | PlatformFault:
        keys = tuple(_keys(closing) for closing in closings)
        read = await self.service.read(tuple(chain.from_iterable(keys)))
        if isinstance(read, PlatformFault):
            return read
        rows = iter(read)
        return tuple(
            plan_closing(closing, tuple(islice(rows, len(plan_keys))))
            for closing, plan_keys in zip(closings, keys, strict=True)
        )


def _keys(closing: ClosingSpec) -> tuple[str, ...]:
    return (
        account_key(closing.team),
        allotment_key(closing.incarnation, closing.team),
        *unique_bill_keys(closing.bills),
    )


def _merge_commits(plans: tuple[ClosingPlan, ...]) -> Commit | None:
    commits = [plan.commit for plan in plans if plan.commit is not None]
    if not commits:
        return None
    return Commit(
        tuple(chain.from_iterable(commit.writes for commit in commits)),
        tuple(chain.from_iterable(commit.checks for commit in commits)),
    )
