"""Classifies bills by the stored bills of their requests."""

from collections.abc import Iterable

import attrs

from balsamreach.budget.account import Bill, bill_key, encode_record
from balsamreach.services.base import ABSENT, Check, Row, Write


@attrs.frozen
class ClassifiedBills:
    """Bills grouped by what is stored for their requests.

    Parameters
    ----------
    recorded : tuple of Bill
        Bills that are already stored.
    unrecorded : tuple of Bill
        Bills of requests for which no bill is stored.
    repeated : tuple of Bill
        Bills of requests that have a different bill already.
    """

    recorded: tuple[Bill, ...]
    unrecorded: tuple[Bill, ...]
    repeated: tuple[Bill, ...]


def unique_bill_keys(bills: Iterable[Bill]) -> tuple[str, ...]:
    """Return the keys of the bills' rows, without duplicates."""
    keys = (bill_key(bill.team, bill.key) for bill in bills)
    return tuple(dict.fromkeys(keys))


def classify_bills(
    bills: tuple[Bill, ...],
    rows: tuple[Row, ...],
    maker: str,
) -> ClassifiedBills:
    """Group bills by whether their requests have a stored bill.

    Parameters
    ----------
    bills : tuple of Bill
        Bills made by one incarnation.
    rows : tuple of Row
        The stored rows of the bills; other rows are ignored.
    maker : str
        Incarnation that made the bills.
    """
    stored = {row.key: row.value for row in rows if row.value is not None}
    recorded = []
    unrecorded: dict[str, Bill] = {}
    repeated = []
    for bill in bills:
        key = bill_key(bill.team, bill.key)
        row = stored.get(key)
        # After a lost response the stored bill may be this one. Maker and
        # ordinal distinguish it from a second bill for the same request,
        # whose tokens go back to the allotment.
        if row is not None and _is_same_bill(row, bill, maker):
            recorded.append(bill)
        elif row is not None or key in unrecorded:
            repeated.append(bill)
        else:
            unrecorded[key] = bill
    return ClassifiedBills(
        tuple(recorded), tuple(unrecorded.values()), tuple(repeated)
    )


def insert_bills(
    bills: tuple[Bill, ...],
    maker: str,
) -> tuple[tuple[Write, ...], tuple[Check, ...]]:
    """Return the writes that record bills, and the checks they need.

    Parameters
    ----------
    bills : tuple of Bill
        Bills of different requests.
    maker : str
        Incarnation that made the bills.
    """
    writes = tuple(
        Write(
            bill_key(bill.team, bill.key),
            {**encode_record(bill), 'by': maker},
        )
        for bill in bills
    )
    checks = tuple(Check(write.key, ABSENT) for write in writes)
    return writes, checks


def _is_same_bill(row: dict[str, object], bill: Bill, maker: str) -> bool:
    return row['by'] == maker and row['ordinal'] == bill.ordinal
