"""Messages about loans between routers' allotments of a budget."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class LoanAsk(Message):
    """Asks for tokens of a team's budget out of the peer's allotment."""

    loan_id: str
    team: str
    tokens: int


@attrs.frozen(repr=False)
class LoanGrant(Message):
    """Tokens lent; the lender has taken them off already. 0 lends none.

    Parameters
    ----------
    left : int
        Tokens of the team that the lender still has for no request.
    reserved : int
        Tokens that it has set aside for requests in progress; a part of
        them comes free.
    """

    loan_id: str
    team: str
    tokens: int
    left: int = 0
    reserved: int = 0


@attrs.frozen(repr=False)
class LoanReceipt(Message):
    """Tells the lender that the loan arrived and is recorded."""

    loan_id: str
    incarnation: str


@attrs.frozen(repr=False)
class RecallAsk(Message):
    """Asks a router to hand back what it holds idle of a team's budget."""

    team: str


@attrs.frozen(repr=False)
class RecallTold(Message):
    """What a router has of a team's budget after it handed back.

    Parameters
    ----------
    spent : int
        Tokens of the bills that it made.
    held : int
        Tokens set aside for requests, or not handed back.
    """

    team: str
    spent: int = 0
    held: int = 0


@attrs.frozen(repr=False)
class LenderAsk(Message):
    """Asks whether anything of a dead lender is left; LenderGone answers."""

    incarnation: str


@attrs.frozen(repr=False)
class LenderGone(Message):
    """Tells what the sender has to do with a dead lender.

    Parameters
    ----------
    clear : bool
        Whether it has no unrecorded loan of it, will take none, keeps no
        bills of dead routers, and holds the lender for dead as well.
    """

    clear: bool
