"""Plans the writes of one draw, return or recording of loans."""

import attrs

from balsamreach.budget.account import (
    Account,
    Allotment,
    Loan,
    decode_account,
    decode_allotment,
    encode_record,
)
from balsamreach.budget.faults import (
    NO_ACCOUNT,
    TAKEN_OVER,
    BudgetFault,
    insufficient_tokens,
)
from balsamreach.budget.loan_recording import plan_loan_recording
from balsamreach.services.base import Check, Row, Write


@attrs.frozen(eq=False, kw_only=True)
class Move:
    """A draw on one team's account, or a return to it.

    Parameters
    ----------
    team : str
        Whose account.
    min_draw : int
        Fewest tokens for which the draw is worth making.
    needed : int
        Tokens that requests wait for; if the account has fewer, all of its
        free tokens are drawn.
    max_draw : int
        Tokens to draw if the account has them free.
    max_free_share : float
        Largest share of the free tokens to take beyond ``needed``.
    min_extra_draw : int
        Smallest draw beyond ``needed``; a smaller one is reduced to
        ``needed``.
    give_back : int
        Tokens to return to the account.
    not_lendable : int
        Granted tokens that must not be lent.
    max_lent : int
        Most tokens that may be lent by the time the move is applied.
    min_lendable : int
        Fewest tokens that must be lendable after the move.
    loans : tuple of Loan
        Loans taken, to be recorded.
    force_write : bool
        Whether to write the row even if nothing moves, so that an earlier
        attempt that may be in flight can't take effect any more.
    """

    team: str
    min_draw: int = 0
    needed: int = 0
    max_draw: int = 0
    max_free_share: float = 1
    min_extra_draw: int = 0
    give_back: int = 0
    not_lendable: int = 0
    max_lent: int = 0
    min_lendable: int = 0
    loans: tuple[Loan, ...] = ()
    force_write: bool = False


@attrs.frozen
class MoveResult:
    """The state after a move.

    Parameters
    ----------
    allotment : Allotment
        The allotment after the move.
    account_free : int
        Tokens that the account has left.
    recorded_loans : tuple of str
        Ids of loans that are recorded.
    dropped_loans : tuple of str
        Ids of loans that can never be recorded, because the lender's
        allotment no longer covers them.
    """

    allotment: Allotment
    account_free: int = 0
    recorded_loans: tuple[str, ...] = ()
    dropped_loans: tuple[str, ...] = ()


@attrs.frozen
class MovePlan:
    """The writes of a move, and its result if they are applied.

    Parameters
    ----------
    result : MoveResult
        The state once the writes are applied.
    writes : tuple of Write
        Rows to write.
    checks : tuple of Check
        Versions that the rows must still have.
    is_earlier : bool
        Whether this is an earlier attempt that took effect; the move that
        was to be planned is not made then.
    """

    result: MoveResult
    writes: tuple[Write, ...] = ()
    checks: tuple[Check, ...] = ()
    is_earlier: bool = False


@attrs.frozen(kw_only=True)
class MoveRows:
    """The rows that one move works on, as read.

    Parameters
    ----------
    attempt_number : int
        Number of this attempt.
    wall_time : float
        Wall time in seconds.
    account, own : Row
        The team's account and this incarnation's allotment.
    lenders : tuple of Row
        Allotments that loans are to be recorded against.
    earlier_plan : MovePlan or None
        The plan of an earlier attempt that turned out to have taken effect.
    """

    attempt_number: int
    wall_time: float
    account: Row
    own: Row
    lenders: tuple[Row, ...] = ()
    earlier_plan: MovePlan | None = None


def plan_move(move: Move, rows: MoveRows) -> MovePlan | BudgetFault:
    """Plan a move's writes.

    Parameters
    ----------
    move : Move
        What is wanted.
    rows : MoveRows
        The rows as read.

    Returns
    -------
    MovePlan or BudgetFault
        EXHAUSTED, NO_ACCOUNT or TAKEN_OVER if the move is not possible.
    """
    if rows.account.value is None:
        return NO_ACCOUNT.because(f'team {move.team} has no account')
    own = decode_allotment(rows.own.value)
    # The holder never deletes its own row while it serves. A row that existed
    # and is gone, or is marked closed, was closed by a successor, which
    # returned the rest to the account: spent here, it would be spent twice.
    if own.closed or (rows.own.value is None and rows.own.version):
        return TAKEN_OVER.because(f'allotment of {move.team} was closed')
    if rows.earlier_plan is not None:
        earlier = rows.earlier_plan.result
        return MovePlan(attrs.evolve(earlier, allotment=own), is_earlier=True)
    account = decode_account(rows.account.value)
    amount = _draw_amount(move, account.free)
    if amount < move.min_draw:
        return insufficient_tokens(move.team)
    loans = plan_loan_recording(move.loans, rows.lenders)
    allotment = attrs.evolve(
        own,
        granted=own.granted + amount + loans.tokens,
        seq=rows.attempt_number,
        at=rows.wall_time,
    )
    returned = max(0, min(move.give_back, allotment.outstanding))
    allotment = attrs.evolve(allotment, granted=allotment.granted - returned)
    allotment = attrs.evolve(allotment, lendable=_lendable(move, allotment))
    result = MoveResult(
        allotment,
        account.free - amount + returned,
        loans.recorded,
        loans.dropped,
    )
    changed = (
        amount or returned or loans.tokens or allotment.lendable > own.lendable
    )
    if not (changed or move.force_write):
        return MovePlan(attrs.evolve(result, allotment=own))
    account_change = _change_account(rows.account, account, amount - returned)
    return _make_plan(result, account_change, rows, loans.writes)


def _draw_amount(move: Move, free: int) -> int:
    shared = int(move.max_free_share * free)
    # The last tokens of a budget go to routers with requests that need them:
    # a reserve of a few tokens at each router could serve no request.
    needed = max(move.min_draw, move.needed)
    if shared < max(move.min_extra_draw, needed):
        return min(needed, free)
    return max(0, min(move.max_draw, shared, free))


def _lendable(move: Move, allotment: Allotment) -> int:
    beyond = allotment.granted - move.not_lendable
    wanted = min(max(beyond, move.min_lendable), allotment.granted)
    return max(move.max_lent, wanted)


@attrs.frozen
class _AccountChange:
    writes: tuple[Write, ...] = ()
    checks: tuple[Check, ...] = ()


def _change_account(row: Row, account: Account, drawn: int) -> _AccountChange:
    # Loans and changes of ``lendable`` affect allotments alone. If their
    # commits included the account, all routers of a team would contend for
    # it at the end of a budget, when most tokens move by loans: requests
    # would be refused with ``account_contended``, or loans would arrive
    # after ``draw_wait``.
    if not drawn:
        return _AccountChange()
    account = attrs.evolve(account, taken=account.taken + drawn)
    return _AccountChange(
        (Write(row.key, encode_record(account)),),
        (_check_unchanged(row),),
    )


def _check_unchanged(row: Row) -> Check:
    return Check(row.key, row.version if row.value is not None else 0)


def _make_plan(
    result: MoveResult,
    account_change: _AccountChange,
    rows: MoveRows,
    loan_writes: tuple[Write, ...],
) -> MovePlan:
    writes = (
        *account_change.writes,
        Write(rows.own.key, encode_record(result.allotment)),
        *loan_writes,
    )
    checks = tuple(map(_check_unchanged, (rows.own, *rows.lenders)))
    return MovePlan(result, writes, (*account_change.checks, *checks))
