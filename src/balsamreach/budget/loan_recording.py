"""Plans the writes that record loans in their lenders' allotments."""

import attrs

from balsamreach.budget.account import Loan, decode_allotment, encode_record
from balsamreach.services.base import Row, Write


@attrs.frozen
class LoanRecording:
    """The plan for recording loans.

    Parameters
    ----------
    tokens : int
        Tokens of the loans that can be recorded.
    recorded, dropped : tuple of str
        Ids of the loans that can be recorded, and of those that never can.
    writes : tuple of Write
        Writes of the lenders' allotments.
    """

    tokens: int
    recorded: tuple[str, ...]
    dropped: tuple[str, ...]
    writes: tuple[Write, ...]


def plan_loan_recording(
    loans: tuple[Loan, ...],
    lenders: tuple[Row, ...],
) -> LoanRecording:
    """Plan the writes that record loans in their lenders' allotments.

    A loan for which its lender's allotment has too few tokens is dropped.

    Parameters
    ----------
    loans : tuple of Loan
        Loans received and not recorded yet.
    lenders : tuple of Row
        The lenders' allotments as read.
    """
    lender_rows = {row.key.split('/')[1]: row for row in lenders}
    recorded: list[str] = []
    dropped: list[str] = []
    lent_tokens: dict[str, int] = {}
    for loan in loans:
        allotment = decode_allotment(lender_rows[loan.lender].value)
        already_lent = lent_tokens.get(loan.lender, 0)
        if loan.tokens + already_lent > allotment.outstanding:
            dropped.append(loan.loan_id)
            continue
        recorded.append(loan.loan_id)
        lent_tokens[loan.lender] = already_lent + loan.tokens
    writes = [
        _lend_write(lender_rows[lender], tokens)
        for lender, tokens in lent_tokens.items()
    ]
    return LoanRecording(
        sum(lent_tokens.values()),
        tuple(recorded),
        tuple(dropped),
        tuple(writes),
    )


def _lend_write(row: Row, tokens: int) -> Write:
    allotment = decode_allotment(row.value)
    allotment = attrs.evolve(allotment, lent=allotment.lent + tokens)
    if allotment.closed and not allotment.outstanding:
        return Write(row.key, None)
    return Write(row.key, encode_record(allotment))
