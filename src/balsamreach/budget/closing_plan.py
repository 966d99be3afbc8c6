"""Plans the commit that closes an allotment."""

import attrs

from balsamreach.budget.account import (
    Account,
    Allotment,
    Bill,
    decode_account,
    decode_allotment,
    encode_record,
)
from balsamreach.budget.classifying import classify_bills, insert_bills
from balsamreach.services.base import ABSENT, Check, Commit, Row, Write


@attrs.frozen
class ClosingSpec:
    """One team's allotment of a stopped incarnation, to be closed.

    Parameters
    ----------
    incarnation : str
        Incarnation that holds the allotment.
    team : str
        Team that the allotment belongs to.
    bills : tuple of Bill
        Bills of that incarnation to record in the same commit.
    lent : int or None
        Tokens it is known to have lent over all time; None if only the
        stored row bounds how many it may have lent.
    final : bool
        Whether to close the allotment; if False, only bills are recorded.
    used : int or None
        Maximum of tokens that it may have used or lent over all time, if
        known from its reports; the rest is returned.
    """

    incarnation: str
    team: str
    bills: tuple[Bill, ...] = ()
    lent: int | None = None
    final: bool = True
    used: int | None = None


@attrs.frozen
class ClosingResult:
    """The result of closing an allotment.

    Parameters
    ----------
    returned : int
        Tokens returned to the account.
    kept : int
        Tokens left in the row because borrowers may hold them.
    unpaid : tuple of Bill
        Bills covered by neither the allotment nor the account.
    """

    returned: int = 0
    kept: int = 0
    unpaid: tuple[Bill, ...] = ()


_ABSENT_ALLOTMENT = Allotment(closed=True)


@attrs.frozen
class ClosingPlan:
    """The result of a closing and its commit, None if nothing is to do."""

    result: ClosingResult
    commit: Commit | None = None


@attrs.define
class _Planner:
    """Account and allotment while a closing is applied to them."""

    closing: ClosingSpec
    account: Account
    allotment: Allotment
    result: ClosingResult = ClosingResult()

    @property
    def is_open(self) -> bool:
        """Whether the allotment exists and is not closed yet."""
        return not self.allotment.closed

    def apply(
        self,
        stored: tuple[Row, ...],
    ) -> tuple[tuple[Bill, ...], tuple[Bill, ...]]:
        """Apply the closing; return the bills to record and those unpaid."""
        unrecorded = classify_bills(
            self.closing.bills,
            stored,
            self.closing.incarnation,
        ).unrecorded
        covered = self._settle(unrecorded)
        if self.is_open and self.closing.final:
            self._return_tokens()
        uncovered = tuple(bill for bill in unrecorded if bill not in covered)
        recorded = (*covered, *self._charge_account(uncovered))
        unpaid = tuple(bill for bill in unrecorded if bill not in recorded)
        return recorded, unpaid

    def _settle(self, bills: tuple[Bill, ...]) -> tuple[Bill, ...]:
        if not self.is_open:
            return ()
        covered = _select_covered(bills, self.allotment.outstanding)
        settled = self.allotment.settled + _total_tokens(covered)
        self.allotment = attrs.evolve(self.allotment, settled=settled)
        return covered

    def _return_tokens(self) -> None:
        kept = self._tokens_to_keep()
        returned = self.allotment.outstanding - kept
        self.account = attrs.evolve(
            self.account,
            taken=self.account.taken - returned,
            folded=self.account.folded + self.allotment.settled,
        )
        self.result = ClosingResult(returned, kept)
        self.allotment = Allotment(
            granted=kept,
            seq=self.allotment.seq,
            lendable=kept,
            closed=True,
            at=self.allotment.at,
        )

    def _tokens_to_keep(self) -> int:
        if self.closing.used is not None:
            accounted = self.allotment.settled + self.allotment.lent
            unaccounted = max(0, self.closing.used - accounted)
            return min(unaccounted, self.allotment.outstanding)
        kept = self.allotment.maybe_lent
        if self.closing.lent is not None:
            kept = min(kept, max(0, self.closing.lent - self.allotment.lent))
        return kept

    def _charge_account(self, bills: tuple[Bill, ...]) -> tuple[Bill, ...]:
        # A bill that the allotment no longer covers is charged to the account
        # as if its tokens were drawn and settled at once. If the account has
        # too few free tokens, the bill is not recorded, so recorded spend
        # never exceeds the prepaid tokens.
        paid = _select_covered(bills, self.account.free)
        self.account = attrs.evolve(
            self.account,
            taken=self.account.taken + _total_tokens(paid),
            folded=self.account.folded + _total_tokens(paid),
        )
        return paid


def plan_closing(closing: ClosingSpec, rows: tuple[Row, ...]) -> ClosingPlan:
    """Plan the commit that closes an allotment.

    Parameters
    ----------
    closing : ClosingSpec
        The allotment to close.
    rows : tuple of Row
        The rows of the account, the allotment and the bills, in this order.
    """
    account_row, allotment_row = rows[:2]
    # An absent row holds no tokens, like a closed allotment.
    before = (
        _ABSENT_ALLOTMENT
        if allotment_row.value is None
        else decode_allotment(allotment_row.value)
    )
    planner = _Planner(closing, decode_account(account_row.value), before)
    recorded, unpaid = planner.apply(rows[2:])
    result = attrs.evolve(planner.result, unpaid=unpaid)
    if not recorded and planner.allotment == before:
        return ClosingPlan(result)
    writes, checks = insert_bills(recorded, closing.incarnation)
    row_writes = [Write(account_row.key, encode_record(planner.account))]
    if before is not _ABSENT_ALLOTMENT:
        row_writes.append(
            Write(allotment_row.key, _encode_row(planner.allotment)),
        )
    return ClosingPlan(
        result,
        Commit(
            (*writes, *row_writes),
            (*checks, _check(account_row), _check(allotment_row)),
        ),
    )


def _encode_row(allotment: Allotment) -> dict[str, object] | None:
    is_empty = allotment.closed and not allotment.outstanding
    return None if is_empty else encode_record(allotment)


def _check(row: Row) -> Check:
    return Check(row.key, ABSENT if row.value is None else row.version)


def _select_covered(
    bills: tuple[Bill, ...], available: int
) -> tuple[Bill, ...]:
    covered = []
    for bill in bills:
        if bill.tokens <= available:
            available -= bill.tokens
            covered.append(bill)
    return tuple(covered)


def _total_tokens(bills: tuple[Bill, ...]) -> int:
    return sum(bill.tokens for bill in bills)
