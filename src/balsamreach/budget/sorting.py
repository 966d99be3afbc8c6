"""Tells new bills from recorded and repeated ones."""

from collections.abc import Iterable

import attrs

from balsamreach.budget.account import Bill, bill_key, encode
from balsamreach.services.base import ABSENT, Check, Row, Write


@attrs.frozen
class Sorted:
    """Bills by what the table service says about their requests.

    Parameters
    ----------
    known : tuple of Bill
        Recorded already as exactly these bills.
    fresh : tuple of Bill
        Of requests without a bill.
    repeated : tuple of Bill
        Of requests that were billed by another bill.
    """

    known: tuple[Bill, ...]
    fresh: tuple[Bill, ...]
    repeated: tuple[Bill, ...]


def bill_keys(bills: Iterable[Bill]) -> tuple[str, ...]:
    """Return the rows of some bills, each once."""
    keys = (bill_key(bill.team, bill.key) for bill in bills)
    return tuple(dict.fromkeys(keys))


def sort_bills(
    bills: tuple[Bill, ...],
    rows: tuple[Row, ...],
    maker: str,
) -> Sorted:
    """Sort bills by the rows of their requests.

    Parameters
    ----------
    bills : tuple of Bill
        Bills of one maker.
    rows : tuple of Row
        Their rows, others are ignored.
    maker : str
        Incarnation that made them.
    """
    stored = {row.key: row.value for row in rows if row.value is not None}
    known = []
    fresh: dict[str, Bill] = {}
    repeated = []
    for bill in bills:
        key = bill_key(bill.team, bill.key)
        row = stored.get(key)
        # After a lost answer the stored bill may be this very one; maker and
        # ordinal tell it from a second bill for the same request, whose
        # tokens return to the allotment.
        if row is not None and _is_same(row, bill, maker):
            known.append(bill)
        elif row is not None or key in fresh:
            repeated.append(bill)
        else:
            fresh[key] = bill
    return Sorted(tuple(known), tuple(fresh.values()), tuple(repeated))


def insert_bills(
    bills: tuple[Bill, ...],
    maker: str,
) -> tuple[tuple[Write, ...], tuple[Check, ...]]:
    """Return the writes that record bills, and what they depend on.

    Parameters
    ----------
    bills : tuple of Bill
        Bills of different requests.
    maker : str
        Incarnation that made them.
    """
    writes = tuple(
        Write(
            bill_key(bill.team, bill.key),
            {**encode(bill), 'by': maker},
        )
        for bill in bills
    )
    checks = tuple(Check(write.key, ABSENT) for write in writes)
    return writes, checks


def _is_same(row: dict[str, object], bill: Bill, maker: str) -> bool:
    return row['by'] == maker and row['ordinal'] == bill.ordinal
