"""State of one router for one group of teams, in each of its roles."""

from functools import partial

import attrs
import xxhash

from balsamreach.routing.demands import MILLION, DemandReport, Demands
from balsamreach.routing.granted_shares import (
    HOME_DEFAULT,
    ROOT_DEFAULT,
    DefaultShare,
    GrantedShares,
)
from balsamreach.wire.rates import RateDemands, RatePart, RateShares

#: Number of groups of teams. Each group has a home router in every zone.
GROUP_COUNT = 8
#: Largest number of teams in a router's report on a group; those with the
#: highest demand are included. With 64, a home of routers with 400 teams each
#: sent 3.8 KB per second; 6 KB are allowed for all control messages.
MAX_TEAMS = 24
#: Largest number of teams in a home's report to a root.
MAX_ZONE_TEAMS = 64
#: Seconds between two reports to a home.
REPORT_INTERVAL = 5.0
#: Intervals after which a report expires.
LIFETIME_INTERVALS = 3.5
LEVEL_ALL = 0
LEVEL_HOME = 1
LEVEL_ROOT = 2


@attrs.define
class DemandCollector:
    """Demand reports for one group, at a home or root router.

    Parameters
    ----------
    level : int
        ``LEVEL_HOME`` or ``LEVEL_ROOT``.
    group : int
        Number of the group.
    demands : Demands or None
        Reports received; None if there are none.
    has_urgent : bool
        Whether a reporter waits for a larger share.
    """

    level: int
    group: int
    demands: Demands | None = None
    has_urgent: bool = False

    def put(self, reporter: str, report: DemandReport, now: float) -> bool:
        """Add a report; False if it is outdated."""
        if self.demands is None:
            self.demands = Demands(first_report_at=now)
        self.has_urgent = self.has_urgent or report.urgent
        return self.demands.put(reporter, report)

    def expire(self, now: float) -> None:
        """Remove expired reports; start again once there are none."""
        if self.demands is None:
            return
        self.demands.expire(now)
        if not self.demands.routers:
            self.demands = None

    def is_ready(self, now: float) -> bool:
        """Return whether every router has had time to report.

        A new home that answered earlier would treat the first reporters as the
        only ones, and grant them what others still use.
        """
        demands = self.demands
        return (
            demands is not None
            and now - demands.first_report_at >= REPORT_INTERVAL
        )

    def make_answer(
        self,
        report: DemandReport,
        budgets: dict[int, float],
        members: int,
    ) -> RateShares:
        """Return the answer to a report that was added.

        Parameters
        ----------
        report : DemandReport
            The report.
        budgets : dict of int to float
            Part of the limit to split, by team.
        members : int
            Routers of the whole fleet.
        """
        demands = self.demands
        assert demands is not None
        even = demands.routers / members
        shares = {
            team: demands.share(report, team, budgets[team])
            for team in report.parts
            if self._default_share.share(demands.total_demand(team), even)
            > budgets[team]
        }
        return RateShares(
            self.level,
            self.group,
            report.window,
            demands.routers,
            to_rate_parts(
                {team: round(part * MILLION) for team, part in shares.items()},
            ),
        )

    @property
    def _default_share(self) -> DefaultShare:
        return ROOT_DEFAULT if self.level == LEVEL_ROOT else HOME_DEFAULT


@attrs.define
class TeamGroup:
    """All state that one router holds for a group of teams.

    Parameters
    ----------
    number : int
        Number of the group.
    granted : GrantedShares
        This router's shares, from the zone's home.
    zone_granted : GrantedShares
        The zone's shares, from the root.
    home : DemandCollector
        Reports of the zone's routers, if this router is the home.
    root : DemandCollector
        Reports of the zones' homes, if this router is the root.
    reported_at, zone_reported_at : float
        Monotonic seconds of the last report to the home and to the root.
    urgent : bool
        Whether the next report to the home is urgent.
    """

    number: int
    granted: GrantedShares = attrs.field(
        factory=partial(GrantedShares, HOME_DEFAULT)
    )
    zone_granted: GrantedShares = attrs.field(
        factory=partial(GrantedShares, ROOT_DEFAULT)
    )
    home: DemandCollector = attrs.field(init=False)
    root: DemandCollector = attrs.field(init=False)
    reported_at: float = float('-inf')
    zone_reported_at: float = float('-inf')
    urgent: bool = False

    def __attrs_post_init__(self) -> None:
        """Create empty collectors."""
        self.home = DemandCollector(LEVEL_HOME, self.number)
        self.root = DemandCollector(LEVEL_ROOT, self.number)

    @property
    def has_demand(self) -> bool:
        """Whether any team of the group was in the last report to the home."""
        return bool(self.granted.requested)

    @property
    def key(self) -> str:
        """Key that determines the group's homes."""
        return f'rates {self.number}'


def team_hash(team: str) -> int:
    """Return the hash that identifies a team in messages."""
    return xxhash.xxh3_64_intdigest(team.encode())


def group_of(team: int) -> int:
    """Return the group of a team's hash."""
    return team % GROUP_COUNT


def largest_parts(parts: dict[int, int], max_count: int) -> dict[int, int]:
    """Return the teams with the largest parts, ``max_count`` at most."""
    ranked = sorted(parts, key=parts.__getitem__, reverse=True)
    return {team: parts[team] for team in ranked[:max_count]}


def to_rate_parts(parts: dict[int, int]) -> tuple[RatePart, ...]:
    """Return parts in the form in which they are sent."""
    return tuple(RatePart(team, part) for team, part in parts.items())


def to_demand_report(
    incarnation: str,
    message: RateDemands,
    expires_at: float,
) -> DemandReport:
    """Return a received message in the form in which it is kept."""
    return DemandReport(
        incarnation,
        message.window,
        expires_at,
        max(1, message.routers) if message.level == LEVEL_ROOT else 1,
        {part.team: part.part for part in message.parts},
        message.urgent,
    )
