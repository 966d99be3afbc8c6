"""Bills claims with no surviving router, at an operator's request."""

import attrs

from balsamreach.budget.account import (
    Bill,
    account_key,
    bill_key,
    decode_account,
    encode_record,
)
from balsamreach.budget.auditor import CLAIM_PREFIX, CLAIMED
from balsamreach.budget.classifying import insert_bills
from balsamreach.budget.faults import (
    CLAIM_NOT_OPEN,
    EXHAUSTED,
    NO_ACCOUNT,
    NO_ALLOTMENT,
    BudgetFault,
)
from balsamreach.budget.incarnations import unchanged_check
from balsamreach.services.base import Commit, Row, TableService, Write
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault

#: Flag of a bill made by an operator.
BY_OPERATOR = 'ended_by_operator'
_ATTEMPTS = 8


@attrs.frozen
class ClaimSettler:
    """Records the bill of a claimed request whose outcome is unknown.

    If a router is killed while a service handles a request, no other router
    knows whether the request ran; an operator can ask the service. The claim
    is kept, so that the request is never run again under its key. If the
    run ends normally after all, its own bill is a repeated one and is
    dropped.

    Parameters
    ----------
    service : TableService
        Service that stores claims and bills.
    by : str
        Operator who states how the request ended.
    """

    service: TableService
    by: str

    async def end(self, team: str, key: str, tokens: int) -> BudgetFault | None:
        """Bill a claimed request.

        Parameters
        ----------
        team, key : str
            Team and key of the request.
        tokens : int
            Tokens that it used; 0 closes the claim without a charge.

        Returns
        -------
        BudgetFault or None
            CLAIM_NOT_OPEN if there is no such claim or it already has a bill;
            EXHAUSTED if the account has too few free tokens; NO_ACCOUNT if
            there is no account; NO_ALLOTMENT if the platform is unavailable.
        """
        bill = Bill(team, key, tokens, (CLAIMED, BY_OPERATOR))
        for attempt in range(_ATTEMPTS):
            rows = await self._read(bill)
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            # After a lost response the stored bill may be this one.
            if attempt and self._is_own_bill(rows[1], bill):
                return None
            fault = _check_claim(bill, rows)
            if fault is not None:
                return fault
            outcome = await self.service.commit(self._make_commit(bill, rows))
            if not isinstance(outcome, PlatformFault):
                return None
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because('too many commit conflicts on the account')

    @property
    def _maker(self) -> str:
        return f'operator {self.by}'

    async def _read(self, bill: Bill) -> tuple[Row, ...] | PlatformFault:
        claim = f'{CLAIM_PREFIX}{bill.team}/{bill.key}'
        return await self.service.read(
            (claim, bill_key(bill.team, bill.key), account_key(bill.team)),
        )

    def _is_own_bill(self, row: Row, bill: Bill) -> bool:
        stored = row.value or {}
        expected = (self._maker, bill.tokens)
        return (stored.get('by'), stored.get('tokens')) == expected

    def _make_commit(self, bill: Bill, rows: tuple[Row, ...]) -> Commit:
        claim, _bill, account = rows
        writes, checks = insert_bills((bill,), self._maker)
        before = decode_account(account.value)
        after = attrs.evolve(
            before,
            taken=before.taken + bill.tokens,
            folded=before.folded + bill.tokens,
        )
        return Commit(
            (*writes, Write(account.key, encode_record(after))),
            (*checks, unchanged_check(claim), unchanged_check(account)),
        )


def _check_claim(bill: Bill, rows: tuple[Row, ...]) -> BudgetFault | None:
    claim, stored, account = rows
    if claim.value is None:
        return CLAIM_NOT_OPEN.because(
            f'there is no claim for {bill.team}/{bill.key}'
        )
    if stored.value is not None:
        billed = stored.value['tokens']
        return CLAIM_NOT_OPEN.because(
            f'the claim is billed already, {billed} tokens'
        )
    if account.value is None:
        return NO_ACCOUNT.because(f'team {bill.team} has no account')
    free = decode_account(account.value).free
    if bill.tokens > free:
        return EXHAUSTED.because(f'team {bill.team} has {free} tokens free')
    return None
