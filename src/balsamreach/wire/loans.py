"""Messages about loans between routers' allotments of a budget."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class LoanAsk(Message):
    """Asks a peer to lend tokens of a team's budget from its allotment."""

    loan_id: str
    team: str
    tokens: int


@attrs.frozen(repr=False)
class LoanGrant(Message):
    """Answers a LoanAsk; the lender has already deducted the tokens.

    Parameters
    ----------
    tokens : int
        Tokens lent; 0 if the lender refuses.
    left : int
        Tokens of the team that the lender has left and not reserved.
    reserved : int
        Tokens that the lender has reserved for requests in progress; some
        of them will be released.
    """

    loan_id: str
    team: str
    tokens: int
    left: int = 0
    reserved: int = 0


@attrs.frozen(repr=False)
class LoanReceipt(Message):
    """Tells the lender that the borrower received and recorded a loan."""

    loan_id: str
    incarnation: str


@attrs.frozen(repr=False)
class RecallAsk(Message):
    """Asks a router to return the unused tokens it holds for a team."""

    team: str


@attrs.frozen(repr=False)
class RecallTold(Message):
    """What a router has of a team's budget after returning unused tokens.

    Parameters
    ----------
    spent : int
        Tokens in the bills that the router made.
    held : int
        Tokens reserved for requests, or not returned.
    """

    team: str
    spent: int = 0
    held: int = 0


@attrs.frozen(repr=False)
class LenderAsk(Message):
    """Asks whether a peer still depends on a dead lender."""

    incarnation: str


@attrs.frozen(repr=False)
class LenderGone(Message):
    """Answers a LenderAsk.

    Parameters
    ----------
    clear : bool
        Whether the sender has no unrecorded loan from the lender, will accept
        none, stores no bills of dead routers, and considers the lender dead
        as well.
    """

    clear: bool
