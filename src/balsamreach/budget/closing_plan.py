"""Works out the writes that close an allotment."""

import attrs

from balsamreach.budget.account import (
    Account,
    Allotment,
    Bill,
    decode_account,
    decode_allotment,
    encode,
)
from balsamreach.budget.sorting import insert_bills, sort_bills
from balsamreach.services.base import ABSENT, Check, Commit, Row, Write


@attrs.frozen
class Closing:
    """One team's allotment of a dead incarnation.

    Parameters
    ----------
    incarnation : str
        Whose allotment.
    team : str
        Team it is for.
    bills : tuple of Bill
        Bills of that incarnation to record on the way.
    lent : int or None
        Tokens it is known to have lent over all time; None if only the row
        tells how much it may have lent.
    final : bool
        Whether the allotment is closed; else only the bills are recorded.
    used : int or None
        Tokens that it may have used or lent over all time, where that is
        known from its reports; the rest goes back.
    """

    incarnation: str
    team: str
    bills: tuple[Bill, ...] = ()
    lent: int | None = None
    final: bool = True
    used: int | None = None


@attrs.frozen
class Closed:
    """What a closing did.

    Parameters
    ----------
    returned : int
        Tokens that went back to the account.
    kept : int
        Tokens left in the row because borrowers may hold them.
    unpaid : tuple of Bill
        Bills that neither the allotment nor the account covers.
    """

    returned: int = 0
    kept: int = 0
    unpaid: tuple[Bill, ...] = ()


_EMPTY = Allotment(closed=True)


@attrs.frozen
class Work:
    """A closing's commit, None if nothing is left to do."""

    closed: Closed
    change: Commit | None = None


@attrs.define
class _Closing:
    """A closing while its commit is worked out."""

    closing: Closing
    account: Account
    own: Allotment
    closed: Closed = Closed()

    @property
    def is_open(self) -> bool:
        """Whether there is an allotment that is not closed yet."""
        return not self.own.closed

    def record(
        self,
        stored: tuple[Row, ...],
    ) -> tuple[tuple[Bill, ...], tuple[Bill, ...]]:
        """Do everything; return the bills to record and those unpaid."""
        fresh = sort_bills(
            self.closing.bills,
            stored,
            self.closing.incarnation,
        ).fresh
        covered = self._cover(fresh)
        if self.is_open and self.closing.final:
            self._give_back()
        beyond = tuple(bill for bill in fresh if bill not in covered)
        recorded = (*covered, *self._pay(beyond))
        unpaid = tuple(bill for bill in fresh if bill not in recorded)
        return recorded, unpaid

    def _cover(self, bills: tuple[Bill, ...]) -> tuple[Bill, ...]:
        if not self.is_open:
            return ()
        covered = _fit(bills, self.own.outstanding)
        settled = self.own.settled + _sum(covered)
        self.own = attrs.evolve(self.own, settled=settled)
        return covered

    def _give_back(self) -> None:
        kept = self._kept()
        returned = self.own.outstanding - kept
        self.account = attrs.evolve(
            self.account,
            taken=self.account.taken - returned,
            folded=self.account.folded + self.own.settled,
        )
        self.closed = Closed(returned, kept)
        self.own = Allotment(
            granted=kept,
            seq=self.own.seq,
            lendable=kept,
            closed=True,
            at=self.own.at,
        )

    def _kept(self) -> int:
        if self.closing.used is not None:
            known = self.own.settled + self.own.lent
            unknown = max(0, self.closing.used - known)
            return min(unknown, self.own.outstanding)
        kept = self.own.maybe_lent
        if self.closing.lent is not None:
            kept = min(kept, max(0, self.closing.lent - self.own.lent))
        return kept

    def _pay(self, bills: tuple[Bill, ...]) -> tuple[Bill, ...]:
        # A bill that its maker's allotment no longer covers is paid as if
        # drawn and settled at once. With nothing free it is not recorded:
        # recorded spend never passes what was prepaid.
        paid = _fit(bills, self.account.free)
        self.account = attrs.evolve(
            self.account,
            taken=self.account.taken + _sum(paid),
            folded=self.account.folded + _sum(paid),
        )
        return paid


def work_out(closing: Closing, rows: tuple[Row, ...]) -> Work:
    """Work out what closing an allotment comes to.

    Parameters
    ----------
    closing : Closing
        What to close.
    rows : tuple of Row
        The account, the allotment and the rows of the bills.
    """
    account, own = rows[:2]
    # A row that is absent holds nothing, as one that was closed.
    before = _EMPTY if own.value is None else decode_allotment(own.value)
    work = _Closing(closing, decode_account(account.value), before)
    recorded, unpaid = work.record(rows[2:])
    closed = attrs.evolve(work.closed, unpaid=unpaid)
    if not recorded and work.own == before:
        return Work(closed)
    writes, checks = insert_bills(recorded, closing.incarnation)
    kept = [Write(account.key, encode(work.account))]
    if before is not _EMPTY:
        kept.append(Write(own.key, _stored(work.own)))
    return Work(
        closed,
        Commit((*writes, *kept), (*checks, _check(account), _check(own))),
    )


def _stored(own: Allotment) -> dict[str, object] | None:
    emptied = own.closed and not own.outstanding
    return None if emptied else encode(own)


def _check(row: Row) -> Check:
    return Check(row.key, ABSENT if row.value is None else row.version)


def _fit(bills: tuple[Bill, ...], room: int) -> tuple[Bill, ...]:
    covered = []
    for bill in bills:
        if bill.tokens <= room:
            room -= bill.tokens
            covered.append(bill)
    return tuple(covered)


def _sum(bills: tuple[Bill, ...]) -> int:
    return sum(bill.tokens for bill in bills)
