"""Works out the writes that record loans against their lenders."""

import attrs

from balsamreach.budget.account import Loan, decode_allotment, encode
from balsamreach.services.base import Row, Write


@attrs.frozen
class Recorded:
    """What recording loans comes to.

    Parameters
    ----------
    tokens : int
        Tokens of the loans that can be recorded.
    recorded, dropped : tuple of str
        Ids of those loans, and of those that never can be.
    writes : tuple of Write
        The lenders' allotments.
    """

    tokens: int
    recorded: tuple[str, ...]
    dropped: tuple[str, ...]
    writes: tuple[Write, ...]


def record_loans(
    loans: tuple[Loan, ...],
    lenders: tuple[Row, ...],
) -> Recorded:
    """Work out what recording loans writes to their lenders' rows.

    Parameters
    ----------
    loans : tuple of Loan
        Loans taken and not recorded.
    lenders : tuple of Row
        The lenders' allotments as read.
    """
    by_key = {row.key.split('/')[1]: row for row in lenders}
    recorded: list[str] = []
    dropped: list[str] = []
    lent: dict[str, int] = {}
    for loan in loans:
        stored = decode_allotment(by_key[loan.lender].value)
        so_far = lent.get(loan.lender, 0)
        if loan.tokens + so_far > stored.outstanding:
            dropped.append(loan.loan_id)
            continue
        recorded.append(loan.loan_id)
        lent[loan.lender] = so_far + loan.tokens
    writes = [_lend(by_key[lender], tokens) for lender, tokens in lent.items()]
    return Recorded(
        sum(lent.values()),
        tuple(recorded),
        tuple(dropped),
        tuple(writes),
    )


def _lend(row: Row, tokens: int) -> Write:
    allotment = decode_allotment(row.value)
    allotment = attrs.evolve(allotment, lent=allotment.lent + tokens)
    if allotment.closed and not allotment.outstanding:
        return Write(row.key, None)
    return Write(row.key, encode(allotment))
