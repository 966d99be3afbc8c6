"""The durable records of a budget: accounts, allotments and bills.

A team's account counts what was handed out to routers, and each router's
allotment counts what it settled or lent out of that. Recorded spend cannot
pass the prepaid tokens as long as ``taken <= prepaid`` and
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
        Tokens handed to allotments less those handed back, over all time;
        settled ones stay counted.
    folded : int
        Tokens settled by allotments that are closed.
    """

    prepaid: int = 0
    taken: int = 0
    folded: int = 0

    @property
    def free(self) -> int:
        """Tokens that can still be handed out."""
        return self.prepaid - self.taken


@attrs.frozen
class Allotment:
    """What one router incarnation holds of one account.

    Parameters
    ----------
    granted : int
        Tokens drawn or borrowed less those handed back, over all time.
    settled : int
        Tokens of recorded bills.
    seq : int
        Number of the holder's last draw or return; after a lost answer the
        holder sees by it which of its attempts took effect.
    lent : int
        Tokens of loans that borrowers have recorded, over all time.
    lendable : int
        Most tokens the holder may lend over all time. What is not recorded
        as lent yet may be in a borrower's hands, so a successor that closes
        the allotment leaves that part in place.
    closed : bool
        Whether a successor closed it; only the part that may be in
        borrowers' hands is left then.
    at : float
        Wall time of the holder's last draw or return.
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
        """Tokens that count as taken from the account by this row."""
        return self.granted - self.lent

    @property
    def outstanding(self) -> int:
        """Tokens granted and neither settled nor lent yet."""
        return self.held - self.settled

    @property
    def maybe_lent(self) -> int:
        """Outstanding tokens that a borrower may hold unrecorded."""
        return max(0, min(self.lendable - self.lent, self.outstanding))


@attrs.frozen
class Bill:
    """One request's bill, recorded once under (team, key).

    Parameters
    ----------
    team : str
        Team that pays.
    key : str
        Request key.
    tokens : int
        Tokens billed.
    flags : tuple of str
        What was odd about the target's usage figures.
    ordinal : int
        Number among the bills of its maker; it tells a bill whose answer
        was lost from a second bill for the same request.
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
        Chosen by the borrower.
    lender : str
        Incarnation whose allotment they come from.
    tokens : int
        How many.
    """

    loan_id: str
    lender: str
    tokens: int


def account_key(team: str) -> str:
    """Return the table service's key of a team's account."""
    return ACCOUNT_PREFIX + team


def allotment_key(incarnation: str, team: str) -> str:
    """Return the key of an allotment; an incarnation's stand together."""
    return f'{ALLOTMENT_PREFIX}{incarnation}/{team}'


def bill_key(team: str, key: str) -> str:
    """Return the key under which a request's bill is recorded."""
    return f'{BILL_PREFIX}{team}/{key}'


def encode(record: Account | Allotment | Bill) -> dict[str, Any]:
    """Return a record as its JSON object."""
    return attrs.asdict(record)


def decode_account(fields: Mapping[str, Any] | None) -> Account:
    """Read an account; an absent row is an empty account."""
    return Account(**(fields or {}))


def decode_allotment(fields: Mapping[str, Any] | None) -> Allotment:
    """Read an allotment; an absent row is an empty allotment."""
    return Allotment(**(fields or {}))
