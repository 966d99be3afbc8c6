"""Messages between a team's home router and routers that spend its budget."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class TokensAsk(Message):
    """Asks a team's home router to reserve tokens for one request.

    Parameters
    ----------
    number : int
        Number of the reservation, unique to the sender.
    team : str
        Team whose budget is used.
    tokens : int
        Maximum number of tokens that the request may use.
    urgency : int
        Requests with a higher number are served first, from 0 to 9; 0 from
        older routers.
    """

    number: int
    team: str
    tokens: int
    urgency: int = 0


@attrs.frozen(repr=False)
class TokensGrant(Message):
    """Answers a TokensAsk.

    Parameters
    ----------
    granted : bool
        Whether the tokens are reserved.
    code, reason : str
        Error code and sentence if they are not.
    spent : int
        Tokens that the home router has counted as used by the team.
    retry_after : float
        Seconds after which a refused request may find tokens; 0 if that isn't
        known, and from older routers.
    """

    granted: bool
    code: str = ''
    reason: str = ''
    spent: int = 0
    retry_after: float = 0


@attrs.frozen(repr=False)
class TokensUsed(Message):
    """Tells a home router how many of the reserved tokens requests used.

    Parameters
    ----------
    numbers : tuple of int
        Numbers of the reservations.
    used : tuple of int
        Tokens used of each reservation; the rest is released.
    """

    numbers: tuple[int, ...] = ()
    used: tuple[int, ...] = ()
