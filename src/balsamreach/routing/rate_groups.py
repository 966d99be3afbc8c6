"""What one router knows of one group of teams, in each of its roles."""

from functools import partial

import attrs
import xxhash

from balsamreach.routing.demands import MILLION, Demands, Told
from balsamreach.routing.granted import (
    HOME_DEFAULT,
    ROOT_DEFAULT,
    DefaultShare,
    GrantedShares,
)
from balsamreach.wire.rates import RateDemands, RatePart, RateShares

#: Groups of teams; each has a home in every zone.
GROUPS = 8
#: Most teams of a group in a router's word, those that want most. With 64,
#: a home of routers with 400 teams each sent 3.8 KB a second; 6 are allowed
#: for all control.
MOST_TEAMS = 24
#: Most teams in a home's word to a root.
MOST_OF_ZONE = 64
#: Seconds between two words to a home.
INTERVAL = 5.0
#: Intervals for which a word counts.
FRESH = 3.5
TO_ALL = 0
TO_HOME = 1
TO_ROOT = 2


@attrs.define
class Collector:
    """A home's or a root's side of one group.

    Parameters
    ----------
    level : int
        ``TO_HOME`` or ``TO_ROOT``.
    group : int
        The group.
    demands : Demands or None
        None while nobody tells this router anything.
    due : bool
        Whether a holder waits for more.
    """

    level: int
    group: int
    demands: Demands | None = None
    due: bool = False

    def put(self, holder: str, told: Told, now: float) -> bool:
        """Take a word; False if it is old."""
        if self.demands is None:
            self.demands = Demands(began_at=now)
        self.due = self.due or told.urgent
        return self.demands.put(holder, told)

    def expire(self, now: float) -> None:
        """Let go of the silent; begin anew once nobody tells."""
        if self.demands is None:
            return
        self.demands.expire(now)
        if not self.demands.routers:
            self.demands = None

    def ready(self, now: float) -> bool:
        """Return whether everyone has had the time to tell.

        A home that has just become one would take the first to tell for
        the only one, and grant it what others still use.
        """
        demands = self.demands
        return demands is not None and now - demands.began_at >= INTERVAL

    def answer(
        self,
        told: Told,
        budgets: dict[int, float],
        members: int,
    ) -> RateShares:
        """Return the answer to a word that was put.

        Parameters
        ----------
        told : Told
            The word.
        budgets : dict of int to float
            Part of the limit to share, by team.
        members : int
            Routers of the whole fleet.
        """
        demands = self.demands
        assert demands is not None
        even = demands.routers / members
        shares = {
            team: demands.share(told, team, budgets[team])
            for team in told.parts
            if self._opening.share(demands.total(team), even) > budgets[team]
        }
        return RateShares(
            self.level,
            self.group,
            told.window,
            demands.routers,
            as_parts(
                {team: round(part * MILLION) for team, part in shares.items()},
            ),
        )

    @property
    def _opening(self) -> DefaultShare:
        return ROOT_DEFAULT if self.level == TO_ROOT else HOME_DEFAULT


@attrs.define
class Group:
    """All that one router holds of a group of teams.

    Parameters
    ----------
    granted : Granted
        This router's shares, from the zone's home.
    home : Collector
        Words of the zone's routers, where this router is the home.
    zone_granted : Granted
        The zone's shares, from the root.
    root : Collector
        Words of the zones' homes, where this router is the root.
    """

    number: int
    granted: GrantedShares = attrs.field(
        factory=partial(GrantedShares, HOME_DEFAULT)
    )
    zone_granted: GrantedShares = attrs.field(
        factory=partial(GrantedShares, ROOT_DEFAULT)
    )
    home: Collector = attrs.field(init=False)
    root: Collector = attrs.field(init=False)
    told_at: float = float('-inf')
    zone_told_at: float = float('-inf')
    urgent: bool = False

    def __attrs_post_init__(self) -> None:
        """Begin without a word."""
        self.home = Collector(TO_HOME, self.number)
        self.root = Collector(TO_ROOT, self.number)

    @property
    def telling(self) -> bool:
        """Whether any team of the group wants a share here."""
        return bool(self.granted.requested)

    @property
    def key(self) -> str:
        """What the group's homes are found by."""
        return f'rates {self.number}'


def number_of(team: str) -> int:
    """Return the number that stands for a team between routers."""
    return xxhash.xxh3_64_intdigest(team.encode())


def group_of(team: int) -> int:
    """Return the group of a team's number."""
    return team % GROUPS


def largest(parts: dict[int, int], most: int) -> dict[int, int]:
    """Return so many that go into one word, the largest parts first."""
    ranked = sorted(parts, key=parts.__getitem__, reverse=True)
    return {team: parts[team] for team in ranked[:most]}


def as_parts(parts: dict[int, int]) -> tuple[RatePart, ...]:
    """Return parts as they are told."""
    return tuple(RatePart(team, part) for team, part in parts.items())


def read_told(
    incarnation: str,
    message: RateDemands,
    expires: float,
) -> Told:
    """Return a word as collectors keep it."""
    return Told(
        incarnation,
        message.window,
        expires,
        max(1, message.routers) if message.level == TO_ROOT else 1,
        {one.team: one.part for one in message.parts},
        message.urgent,
    )
