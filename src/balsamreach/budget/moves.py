"""Works out the writes of one draw, return or recording of loans."""

import attrs

from balsamreach.budget.account import (
    Account,
    Allotment,
    Loan,
    decode_account,
    decode_allotment,
    encode,
)
from balsamreach.budget.faults import (
    NO_ACCOUNT,
    TAKEN_OVER,
    BudgetFault,
    too_little,
)
from balsamreach.budget.recording import record_loans
from balsamreach.services.base import Check, Row, Write


@attrs.frozen(eq=False, kw_only=True)
class Move:
    """Tokens wanted from, or handed back to, one team's account.

    Parameters
    ----------
    team : str
        Whose account.
    least : int
        Tokens without which a draw is of no use.
    needed : int
        Tokens that requests wait for; as many are drawn as are free.
    most : int
        Tokens to draw if the account has them free.
    share : float
        Largest part of the free tokens to take beyond ``needed``.
    floor : int
        A draw beyond ``needed`` that is smaller than this is left alone.
    back : int
        Tokens to hand back.
    keep : int
        Granted tokens that are not to be lent.
    lent : int
        Tokens that may be lent by the time the move is applied.
    lendable : int
        Tokens that are to be lendable at least.
    loans : tuple of Loan
        Loans taken, to be recorded.
    confirm : bool
        Whether to write the row even if nothing moves, so that an earlier
        attempt that may be on its way can't take effect any more.
    """

    team: str
    least: int = 0
    needed: int = 0
    most: int = 0
    share: float = 1
    floor: int = 0
    back: int = 0
    keep: int = 0
    lent: int = 0
    lendable: int = 0
    loans: tuple[Loan, ...] = ()
    confirm: bool = False


@attrs.frozen
class Moved:
    """What a move did.

    Parameters
    ----------
    allotment : Allotment
        The allotment after it.
    free : int
        Tokens that the account has left.
    recorded : tuple of str
        Loans that are recorded.
    dropped : tuple of str
        Loans that can never be, because the lender's part is gone.
    """

    allotment: Allotment
    free: int = 0
    recorded: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()


@attrs.frozen
class Plan:
    """The writes of a move, and what it comes to if they are applied.

    Parameters
    ----------
    landed : bool
        Whether it is an earlier attempt that took effect; the move that it
        was worked out for is left undone then.
    """

    moved: Moved
    writes: tuple[Write, ...] = ()
    checks: tuple[Check, ...] = ()
    landed: bool = False


@attrs.frozen(kw_only=True)
class Records:
    """The rows that one move works on, as read.

    Parameters
    ----------
    number : int
        Number of this attempt.
    at : float
        Wall time.
    account, own : Row
        The team's account and this incarnation's allotment.
    lenders : tuple of Row
        Allotments that loans are to be recorded against.
    landed : Plan or None
        An earlier attempt that turned out to have taken effect.
    """

    number: int
    at: float
    account: Row
    own: Row
    lenders: tuple[Row, ...] = ()
    landed: Plan | None = None


def plan_move(move: Move, records: Records) -> Plan | BudgetFault:
    """Work out a move's writes.

    Parameters
    ----------
    move : Move
        What is wanted.
    records : Records
        The rows as they are.

    Returns
    -------
    Plan or BudgetFault
        EXHAUSTED, NO_ACCOUNT or TAKEN_OVER if it can't be done.
    """
    if records.account.value is None:
        return NO_ACCOUNT.because(f'team {move.team} has no account')
    own = decode_allotment(records.own.value)
    # The holder never deletes its own row while it serves. One that existed
    # and is gone, or is marked closed, was closed by a successor, which gave
    # the rest back to the account: spending here would spend it twice.
    if own.closed or (records.own.value is None and records.own.version):
        return TAKEN_OVER.because(f'allotment of {move.team} was closed')
    if records.landed is not None:
        earlier = records.landed.moved
        return Plan(attrs.evolve(earlier, allotment=own), landed=True)
    account = decode_account(records.account.value)
    amount = _amount(move, account.free)
    if amount < move.least:
        return too_little(move.team)
    loans = record_loans(move.loans, records.lenders)
    drawn = attrs.evolve(
        own,
        granted=own.granted + amount + loans.tokens,
        seq=records.number,
        at=records.at,
    )
    back = max(0, min(move.back, drawn.outstanding))
    drawn = attrs.evolve(drawn, granted=drawn.granted - back)
    drawn = attrs.evolve(drawn, lendable=_lendable(move, drawn))
    moved = Moved(
        drawn,
        account.free - amount + back,
        loans.recorded,
        loans.dropped,
    )
    changed = amount or back or loans.tokens or drawn.lendable > own.lendable
    if not (changed or move.confirm):
        return Plan(attrs.evolve(moved, allotment=own))
    funding = _fund(records.account, account, amount - back)
    return _with_writes(moved, funding, records, loans.writes)


def _amount(move: Move, free: int) -> int:
    shared = int(move.share * free)
    # The last tokens of a budget go to whoever needs them for a request at
    # hand: a reserve of a few at each router would be of use to none.
    needed = max(move.least, move.needed)
    if shared < max(move.floor, needed):
        return min(needed, free)
    return max(0, min(move.most, shared, free))


def _lendable(move: Move, allotment: Allotment) -> int:
    beyond = allotment.granted - move.keep
    wanted = min(max(beyond, move.lendable), allotment.granted)
    return max(move.lent, wanted)


@attrs.frozen
class _Funding:
    writes: tuple[Write, ...] = ()
    checks: tuple[Check, ...] = ()


def _fund(row: Row, account: Account, drawn: int) -> _Funding:
    # Loans and what may be lent move tokens between allotments alone. With
    # the account in their commits all routers of a team would meet there:
    # at the end of a budget, when most tokens move by loans, it would show
    # as ``account_contended`` and as loans that come after ``draw_wait``.
    if not drawn:
        return _Funding()
    account = attrs.evolve(account, taken=account.taken + drawn)
    return _Funding((Write(row.key, encode(account)),), (_unchanged(row),))


def _unchanged(row: Row) -> Check:
    return Check(row.key, row.version if row.value is not None else 0)


def _with_writes(
    moved: Moved,
    funding: _Funding,
    records: Records,
    lent: tuple[Write, ...],
) -> Plan:
    writes = (
        *funding.writes,
        Write(records.own.key, encode(moved.allotment)),
        *lent,
    )
    checks = tuple(map(_unchanged, (records.own, *records.lenders)))
    return Plan(moved, writes, (*funding.checks, *checks))
