"""Messages about the use of teams' rate limits."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class RatePart(Message):
    """Part of one team's rate limits.

    Parameters
    ----------
    team : int
        Hash of the team's name.
    part : int
        Millionths of the limits.
    """

    team: int
    part: int


@attrs.frozen(repr=False)
class RateDemands(Message):
    """Tells what teams with limits want of them.

    Parameters
    ----------
    level : int
        0 from a router to all others, 1 from a router to its zone's home
        of a group, 2 from that home to the group's root.
    group : int
        Group of teams.
    window : int
        Number of the sender's words; a later one has a higher number.
    routers : int
        Routers that the sender speaks for.
    urgent : bool
        Whether requests are refused until an answer comes.
    parts : tuple of RatePart
        What is wanted.
    """

    level: int
    group: int
    window: int
    routers: int = 1
    urgent: bool = False
    parts: tuple[RatePart, ...] = ()


@attrs.frozen(repr=False)
class RateShares(Message):
    """Grants shares of teams' limits for what a RateDemands wanted.

    Parameters
    ----------
    level, group, window : int
        Those of the word that this answers.
    routers : int
        Routers whose demand the shares follow.
    parts : tuple of RatePart
        Shares. A team that is left out is far from its limit, and has
        more than it wanted.
    """

    level: int
    group: int
    window: int
    routers: int = 0
    parts: tuple[RatePart, ...] = ()


@attrs.frozen(repr=False)
class TeamUse(Message):
    """One team's use at one router; told by earlier releases only."""

    team: str
    requests: int
    tokens: int
    running: int = 0


@attrs.frozen(repr=False)
class Uses(Message):
    """Use of rate-limited teams; told by earlier releases only.

    Routers of this release leave it, and count its senders as unheard.
    """

    incarnation: str
    window: int
    teams: tuple[TeamUse, ...] = ()
