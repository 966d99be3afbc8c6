"""Messages that divide teams' rate limits among the routers."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class RatePart(Message):
    """A fraction of one team's rate limits.

    Parameters
    ----------
    team : int
        Hash of the team's name.
    part : int
        Fraction of the limits in millionths.
    """

    team: int
    part: int


@attrs.frozen(repr=False)
class RateDemands(Message):
    """Reports the demand of rate-limited teams.

    Parameters
    ----------
    level : int
        0 from a router to all others, 1 from a router to its zone's home
        router of a group, 2 from that home router to the group's root.
    group : int
        Group of teams.
    window : int
        Sequence number of the sender; it increases with each message.
    routers : int
        Number of routers whose demand is included.
    urgent : bool
        Whether the sender refuses requests until it has an answer.
    parts : tuple of RatePart
        Demand by team.
    """

    level: int
    group: int
    window: int
    routers: int = 1
    urgent: bool = False
    parts: tuple[RatePart, ...] = ()


@attrs.frozen(repr=False)
class RateShares(Message):
    """Grants shares of teams' rate limits in answer to a RateDemands.

    Parameters
    ----------
    level, group, window : int
        Those of the message that this answers.
    routers : int
        Number of routers whose demand the shares are computed from.
    parts : tuple of RatePart
        Shares by team. A team that is missing is far below its limit and
        gets more than it demanded.
    """

    level: int
    group: int
    window: int
    routers: int = 0
    parts: tuple[RatePart, ...] = ()


@attrs.frozen(repr=False)
class TeamUse(Message):
    """One team's use at one router; only sent by earlier releases."""

    team: str
    requests: int
    tokens: int
    running: int = 0


@attrs.frozen(repr=False)
class Uses(Message):
    """Use of rate-limited teams; only sent by earlier releases.

    Routers of this release ignore it and treat its senders as routers whose
    demand is unknown.
    """

    incarnation: str
    window: int
    teams: tuple[TeamUse, ...] = ()
