"""The stored records of a budget: accounts, allotments and bills.

A team's account counts the tokens given to routers; the allotment of each
router counts the tokens that it settled or lent out of its share. Recorded
spend can't exceed the prepaid tokens as long as ``taken <= prepaid`` and
``settled + lent <= granted`` hold in every commit.
"""

from collections.abc import Mapping
from typing import Any

import attrs

ACCOUNT_PREFIX = 'account/'
ALLOTMENT_PREFIX = 'allotment/'
BILL_PREFIX = 'bill/'


@attrs.frozen
class Account:
    """A team's account as stored in the table service.

    Parameters
    ----------
    prepaid : int
        Tokens paid for, over all time.
    taken : int
        Tokens moved to allotments less those returned, over all time;
        settled tokens stay included.
    folded : int
        Tokens settled by allotments that have been closed.
    """

    prepaid: int = 0
    taken: int = 0
    folded: int = 0

    @property
    def free(self) -> int:
        """Tokens that can still be moved to allotments."""
        return self.prepaid - self.taken


@attrs.frozen
class Allotment:
    """The share of one account that one router incarnation holds.

    Parameters
    ----------
    granted : int
        Tokens drawn or borrowed less those returned, over all time.
    settled : int
        Tokens of recorded bills.
    seq : int
        Sequence number of the holder's last draw or return. After a lost
        response the holder uses it to tell which attempt was applied.
    lent : int
        Tokens of loans that borrowers have recorded, over all time.
    lendable : int
        Maximum of tokens the holder may lend over all time. A borrower may
        hold the part that is not recorded as lent yet, so a successor that
        closes the allotment leaves that part in place.
    closed : bool
        Whether a successor closed it; it then holds only the tokens that
        borrowers may have.
    at : float
        Unix time of the holder's last draw or return, in seconds.
    """

    granted: int = 0
    settled: int = 0
    seq: int = 0
    lent: int = 0
    lendable: int = 0
    closed: bool = False
    at: float = 0

    @property
    def held(self) -> int:
        """Tokens of this row that are included in the account's ``taken``."""
        return self.granted - self.lent

    @property
    def outstanding(self) -> int:
        """Tokens granted and neither settled nor lent yet."""
        return self.held - self.settled

    @property
    def maybe_lent(self) -> int:
        """Outstanding tokens that may have been lent without a record."""
        return max(0, min(self.lendable - self.lent, self.outstanding))


@attrs.frozen
class Bill:
    """The bill of one request, recorded once under (team, key).

    Parameters
    ----------
    team : str
        Team that pays.
    key : str
        Request key.
    tokens : int
        Tokens billed.
    flags : tuple of str
        Problems with the usage figures that the target reported.
    ordinal : int
        Number among the bills of the incarnation that made it. It
        distinguishes a retry after a lost response from a second bill for
        the same request.
    """

    team: str
    key: str
    tokens: int
    flags: tuple[str, ...] = ()
    ordinal: int = 0


@attrs.frozen
class Loan:
    """Tokens that one router lent to another.

    Parameters
    ----------
    loan_id : str
        Id chosen by the borrower.
    lender : str
        Incarnation whose allotment the tokens come from.
    tokens : int
        Number of tokens lent.
    """

    loan_id: str
    lender: str
    tokens: int


def account_key(team: str) -> str:
    """Return the key of a team's account in the table service."""
    return ACCOUNT_PREFIX + team


def allotment_key(incarnation: str, team: str) -> str:
    """Return the key of an allotment.

    All allotments of an incarnation share a prefix, so one scan reads them.
    """
    return f'{ALLOTMENT_PREFIX}{incarnation}/{team}'


def bill_key(team: str, key: str) -> str:
    """Return the key under which a request's bill is recorded."""
    return f'{BILL_PREFIX}{team}/{key}'


def encode_record(record: Account | Allotment | Bill) -> dict[str, Any]:
    """Return a record as a dict that can be stored as JSON."""
    return attrs.asdict(record)


def decode_account(fields: Mapping[str, Any] | None) -> Account:
    """Decode an account; None, an absent row, gives an empty account."""
    return Account(**(fields or {}))


def decode_allotment(fields: Mapping[str, Any] | None) -> Allotment:
    """Decode an allotment; None, an absent row, gives an empty one."""
    return Allotment(**(fields or {}))
