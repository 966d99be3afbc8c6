"""Rate shares in a small fleet, where each router reports to all others."""

from collections.abc import Collection

import attrs

from balsamreach.routing import rate_groups
from balsamreach.routing.demands import MILLION, Demands
from balsamreach.routing.rate_groups import LEVEL_ALL
from balsamreach.routing.rate_messenger import RateMessenger
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.rates import RateDemands

#: Seconds between two reports.
_INTERVAL = 1.0
#: Demand below this part of the even share is not reported while a team's
#: total reported demand is below ``_LOW_DEMAND`` of its limit. Without this,
#: eight routers with 400 teams each far from their limits sent 23.6 KB per
#: second each.
_UNREPORTED_PART = 0.35
_LOW_DEMAND = 0.3
#: Largest number of teams in one report.
_MAX_TEAMS = 60
#: Intervals after which a report expires.
_LIFETIME_INTERVALS = 5


@attrs.define(eq=False)
class BroadcastRates:
    """Shares from the demand reports of all routers.

    Parameters
    ----------
    messenger : RateMessenger
        Sends messages and counts the routers.
    """

    messenger: RateMessenger
    _demands: Demands = attrs.field(init=False)
    _reported_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        """Start without reports."""
        self._demands = Demands(self.messenger.clock.now())

    def share(self, team: int) -> float:
        """Return this router's share of a team's limits."""
        me = self.messenger.net.me.incarnation
        even = 1 / self.messenger.router_count
        report = self._demands.find(me)
        if report is None:
            return even
        if team not in report.parts and len(report.parts) == _MAX_TEAMS:
            # The report was full. Without this check the team would count as
            # one without demand and get only the reserve.
            return even
        # A router that can't be heard may be serving the team too. It keeps
        # its even share, so that two sides of a network partition don't use
        # twice the rate together.
        heard = min(self._demands.routers, self.messenger.router_count)
        return self._demands.share(report, team, heard * even)

    def groups_due(self, now: float) -> Collection[int]:
        """Return the groups of teams that are due for a report."""
        if now - self._reported_at < _INTERVAL:
            return ()
        return range(rate_groups.GROUP_COUNT)

    def send_reports(self, demand: dict[int, int], now: float) -> None:
        """Report the demand at this router to all routers."""
        self._reported_at = now
        self._demands.expire(now)
        parts = rate_groups.largest_parts(
            self._worth_reporting(demand), _MAX_TEAMS
        )
        message = RateDemands(
            LEVEL_ALL,
            0,
            self.messenger.next_window(),
            parts=rate_groups.to_rate_parts(parts),
        )
        for member in self.messenger.net.members():
            self.messenger.send(member, message, self.handle_demands)
        self.messenger.set_gauges(heard=self._demands.routers, age=0)

    def handle_demands(self, sender: Member, message: Message) -> None:
        """Handle another router's demand report."""
        assert isinstance(message, RateDemands)
        expires_at = (
            self.messenger.clock.now() + _LIFETIME_INTERVALS * _INTERVAL
        )
        report = rate_groups.to_demand_report(
            sender.incarnation, message, expires_at
        )
        is_new = self._demands.put(sender.incarnation, report)
        self.messenger.count_outcome('told' if is_new else 'old')

    def _worth_reporting(self, demand: dict[int, int]) -> dict[int, int]:
        # While little demand is reported for a team, each router has more than
        # this part of the even share without a report. Above that, every
        # router reports, or those with little demand would get only the
        # reserve.
        min_part = _UNREPORTED_PART * MILLION / self.messenger.router_count
        return {
            team: part
            for team, part in demand.items()
            if part > min_part or self._demands.total_demand(team) > _LOW_DEMAND
        }
