"""Ends a claim whose run nobody can bill any more, on an operator's word."""

import attrs

from balsamreach.budget.account import (
    Bill,
    account_key,
    bill_key,
    decode_account,
    encode,
)
from balsamreach.budget.auditor import CLAIM_PREFIX, CLAIMED
from balsamreach.budget.classifying import insert_bills
from balsamreach.budget.faults import (
    EXHAUSTED,
    NO_ACCOUNT,
    NO_ALLOTMENT,
    NOT_OPEN,
    BudgetFault,
)
from balsamreach.budget.incarnations import live_check
from balsamreach.services.base import Commit, Row, TableService, Write
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault

#: Flag of a bill that an operator made.
BY_OPERATOR = 'ended_by_operator'
_ATTEMPTS = 8


@attrs.frozen
class ClaimEnder:
    """Gives a claim without an end its bill.

    A router that is killed while a service works knows whether it ran, and
    nobody else. An operator can ask the service. The claim itself stays, so
    that the request is never run again under its key. Should the run end by
    itself after all, its own bill is the second one and is dropped.

    Parameters
    ----------
    service : TableService
        Where claims and bills are.
    by : str
        Operator who says how it ended.
    """

    service: TableService
    by: str

    async def end(self, team: str, key: str, tokens: int) -> BudgetFault | None:
        """Bill a claimed request.

        Parameters
        ----------
        team, key : str
            The request.
        tokens : int
            What it used; 0 closes it without a charge.

        Returns
        -------
        BudgetFault or None
            NOT_OPEN if there is no such claim or it has a bill; EXHAUSTED
            if the account has less free, NO_ACCOUNT if there is none;
            NO_ALLOTMENT if the platform is away.
        """
        bill = Bill(team, key, tokens, (CLAIMED, BY_OPERATOR))
        for attempt in range(_ATTEMPTS):
            rows = await self._read(bill)
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            # After a lost answer the bill that stands may be this very one.
            if attempt and self._is_ours(rows[1], bill):
                return None
            fault = _refuse(bill, rows)
            if fault is not None:
                return fault
            outcome = await self.service.commit(self._change(bill, rows))
            if not isinstance(outcome, PlatformFault):
                return None
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because('the account is contended')

    @property
    def _maker(self) -> str:
        return f'operator {self.by}'

    async def _read(self, bill: Bill) -> tuple[Row, ...] | PlatformFault:
        claim = f'{CLAIM_PREFIX}{bill.team}/{bill.key}'
        return await self.service.read(
            (claim, bill_key(bill.team, bill.key), account_key(bill.team)),
        )

    def _is_ours(self, row: Row, bill: Bill) -> bool:
        stored = row.value or {}
        ours = (self._maker, bill.tokens)
        return (stored.get('by'), stored.get('tokens')) == ours

    def _change(self, bill: Bill, rows: tuple[Row, ...]) -> Commit:
        claim, _bill, account = rows
        writes, checks = insert_bills((bill,), self._maker)
        before = decode_account(account.value)
        after = attrs.evolve(
            before,
            taken=before.taken + bill.tokens,
            folded=before.folded + bill.tokens,
        )
        return Commit(
            (*writes, Write(account.key, encode(after))),
            (*checks, live_check(claim), live_check(account)),
        )


def _refuse(bill: Bill, rows: tuple[Row, ...]) -> BudgetFault | None:
    claim, stored, account = rows
    if claim.value is None:
        return NOT_OPEN.because(f'no claim of {bill.team}/{bill.key}')
    if stored.value is not None:
        billed = stored.value['tokens']
        return NOT_OPEN.because(f'it is billed already, {billed} tokens')
    if account.value is None:
        return NO_ACCOUNT.because(f'team {bill.team} has no account')
    free = decode_account(account.value).free
    if bill.tokens > free:
        return EXHAUSTED.because(f'team {bill.team} has {free} tokens free')
    return None
