"""Messages between a team's home and those who spend its budget."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class TokensAsk(Message):
    """Asks a team's home to set tokens aside for one request.

    Parameters
    ----------
    number : int
        No other ask of the sender has it.
    team : str
        Whose budget.
    tokens : int
        Most that the request may use.
    """

    number: int
    team: str
    tokens: int


@attrs.frozen(repr=False)
class TokensGrant(Message):
    """Answer of a team's home.

    Parameters
    ----------
    granted : bool
        Whether the tokens are set aside.
    code, reason : str
        Why not.
    spent : int
        Tokens that the home has seen the team use.
    """

    granted: bool
    code: str = ''
    reason: str = ''
    spent: int = 0


@attrs.frozen(repr=False)
class TokensUsed(Message):
    """Tells a home what requests used of the tokens set aside for them.

    Parameters
    ----------
    numbers : tuple of int
        The asks.
    used : tuple of int
        Tokens that each one used; the rest is free again.
    """

    numbers: tuple[int, ...] = ()
    used: tuple[int, ...] = ()
