"""Rate shares in a large fleet, through home and root routers.

Teams are divided into groups. A group has a home router in each zone, and the
highest-ranked home of all zones is its root. Demand is reported from routers
to homes to the root, and shares are granted on the way back.
"""

from collections.abc import Collection, Mapping

import attrs

from balsamreach.peers.rendezvous import highest_weight_member
from balsamreach.routing import rate_groups
from balsamreach.routing.demands import MILLION, RESERVE
from balsamreach.routing.rate_groups import (
    GROUP_COUNT,
    LEVEL_HOME,
    LEVEL_ROOT,
    MAX_TEAMS,
    MAX_ZONE_TEAMS,
    REPORT_INTERVAL,
    TeamGroup,
)
from balsamreach.routing.rate_messenger import RateMessenger
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.rates import RateDemands, RateShares

#: Seconds after a report before increased demand may be reported again.
_URGENT_INTERVAL = 1.0
#: Demand has increased if it exceeds what was reported by this factor.
_GROWTH_RATIO = 1.25
#: Largest age in the metrics, in seconds, also for shares never granted.
_MAX_AGE_SHOWN = 3600.0


@attrs.define(eq=False)
class RateHomes:
    """One router's shares, and its work as a home and a root.

    Parameters
    ----------
    messenger : RateMessenger
        Sends messages and counts the routers.
    """

    messenger: RateMessenger
    _groups: tuple[TeamGroup, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create empty groups."""
        self._groups = tuple(TeamGroup(number) for number in range(GROUP_COUNT))

    def share(self, team: int) -> float:
        """Return this router's share of a team's limits."""
        granted = self._group(team).granted
        even = 1 / self.messenger.router_count
        return granted.share(
            team, even, self.messenger.clock.now(), REPORT_INTERVAL
        )

    def request_early_report(self, team: int, part: int) -> bool:
        """Schedule an early report if a team's demand has increased."""
        group = self._group(team)
        has_grown = part > _GROWTH_RATIO * group.granted.requested.get(team, 0)
        group.urgent = group.urgent or has_grown
        return has_grown

    def groups_due(self, now: float) -> Collection[int]:
        """Return the groups whose homes are due for a report."""
        return [group.number for group in self._groups if _is_due(group, now)]

    def send_reports(self, demand: Mapping[int, int], now: float) -> None:
        """Report the demand at this router to the homes that are due."""
        for number in self.groups_due(now):
            self._report_to_home(self._groups[number], demand, now)

    def run_home_tasks(self, now: float) -> None:
        """Do the periodic work of a home: expire reports, report to roots."""
        for group in self._groups:
            group.home.expire(now)
            group.root.expire(now)
            self._report_to_root(group, now)

    def handle_demands(self, sender: Member, message: Message) -> None:
        """Handle a demand report as a home or a root, and answer it."""
        assert isinstance(message, RateDemands)
        now = self.messenger.clock.now()
        expires_at = now + rate_groups.LIFETIME_INTERVALS * REPORT_INTERVAL
        report = rate_groups.to_demand_report(
            sender.incarnation, message, expires_at
        )
        group = self._groups[message.group % GROUP_COUNT]
        collector, reporter = group.home, sender.incarnation
        if message.level == LEVEL_ROOT:
            # A zone has one home at a time, so the report of a new home
            # replaces that of a dead one. If both counted, the same routers'
            # demand would be counted twice until the older report expires.
            collector, reporter = group.root, sender.zone
        is_new = collector.put(reporter, report, now)
        self.messenger.count_outcome('told' if is_new else 'old')
        if is_new and message.parts and collector.is_ready(now):
            self._answer(group, reporter, message.level)

    def handle_shares(self, _sender: Member, message: Message) -> None:
        """Handle shares granted by a home or a root."""
        assert isinstance(message, RateShares)
        now = self.messenger.clock.now()
        group = self._groups[message.group % GROUP_COUNT]
        is_zone_grant = message.level == LEVEL_ROOT
        granted = group.zone_granted if is_zone_grant else group.granted
        is_current = granted.apply_answer(message, now)
        self.messenger.count_outcome('granted' if is_current else 'late')
        if is_zone_grant and is_current and group.home.demands is not None:
            for reporter in group.home.demands.take_urgent():
                self._answer(group, reporter, LEVEL_HOME)
        if not is_zone_grant:
            ages = [
                now - one.granted.granted_at
                for one in self._groups
                if one.has_demand
            ]
            oldest = min(_MAX_AGE_SHOWN, max(ages, default=0))
            self.messenger.set_gauges(heard=message.routers, age=oldest)

    def _report_to_home(
        self,
        group: TeamGroup,
        demand: Mapping[int, int],
        now: float,
    ) -> None:
        # Demand within the reserve need not be reported.
        min_part = RESERVE * MILLION / self.messenger.router_count
        parts = rate_groups.largest_parts(
            {
                team: part
                for team, part in demand.items()
                if part > min_part
                and rate_groups.group_of(team) == group.number
            },
            MAX_TEAMS,
        )
        message = RateDemands(
            LEVEL_HOME,
            group.number,
            self.messenger.next_window(),
            urgent=group.urgent,
            parts=rate_groups.to_rate_parts(parts),
        )
        group.granted.record_request(message.window, parts)
        group.reported_at = now
        group.urgent = False
        home = self.messenger.net.home(group.key)
        self.messenger.send(home, message, self.handle_demands)

    def _report_to_root(self, group: TeamGroup, now: float) -> None:
        interval = (
            _URGENT_INTERVAL if group.home.has_urgent else REPORT_INTERVAL
        )
        demands = group.home.demands
        if now - group.zone_reported_at < interval or demands is None:
            return
        if not group.home.is_ready(now):
            return
        parts = rate_groups.largest_parts(
            demands.demand_by_team(), MAX_ZONE_TEAMS
        )
        message = RateDemands(
            LEVEL_ROOT,
            group.number,
            self.messenger.next_window(),
            routers=demands.routers,
            urgent=group.home.has_urgent,
            parts=rate_groups.to_rate_parts(parts),
        )
        group.zone_granted.record_request(message.window, parts)
        group.zone_reported_at = now
        group.home.has_urgent = False
        self.messenger.send(self._root(group), message, self.handle_demands)

    def _answer(self, group: TeamGroup, reporter: str, level: int) -> None:
        collector = group.root if level == LEVEL_ROOT else group.home
        demands = collector.demands
        report = demands.find(reporter) if demands is not None else None
        if report is None or demands is None:
            return
        router_count = self.messenger.router_count
        even = min(1, demands.routers / router_count)
        budgets = dict.fromkeys(report.parts, even)
        if level == LEVEL_HOME:
            now = self.messenger.clock.now()
            budgets = {
                team: group.zone_granted.share(team, even, now, REPORT_INTERVAL)
                for team in report.parts
            }
        answer = collector.make_answer(report, budgets, router_count)
        for member in self.messenger.net.members():
            if member.incarnation == report.incarnation:
                self.messenger.send(member, answer, self.handle_shares)

    def _root(self, group: TeamGroup) -> Member:
        members = self.messenger.net.members()
        staying = [member for member in members if not member.leaving]
        root = highest_weight_member(group.key, staying or members)
        return root or self.messenger.net.me

    def _group(self, team: int) -> TeamGroup:
        return self._groups[rate_groups.group_of(team)]


def _is_due(group: TeamGroup, now: float) -> bool:
    interval = _URGENT_INTERVAL if group.urgent else REPORT_INTERVAL
    return now - group.reported_at >= interval
