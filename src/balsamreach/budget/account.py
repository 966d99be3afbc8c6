"""The durable records of a budget: accounts, allotments and bills.

A team's account counts what was handed out to routers, and each router's
allotment counts what it settled out of that. Overspend is impossible as long
as ``taken <= prepaid`` and ``settled <= granted`` hold in every commit.
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
        Tokens drawn less those handed back, over all time.
    settled : int
        Tokens of recorded bills.
    seq : int
        Number of the holder's last commit to this row; after a lost answer
        the holder sees by it whether its commit took effect.
    """

    granted: int = 0
    settled: int = 0
    seq: int = 0

    @property
    def outstanding(self) -> int:
        """Tokens granted and not settled yet."""
        return self.granted - self.settled


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
    """

    team: str
    key: str
    tokens: int
    flags: tuple[str, ...] = ()


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
