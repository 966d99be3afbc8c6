"""Shares in a larger fleet, from homes in the zones and their roots.

Teams are in groups. A group has a home in each zone, and the home that is
heaviest of all is its root. Demand goes up to the root, shares come down.
"""

from collections.abc import Collection, Mapping

import attrs

from balsamreach.peers.homes import heaviest
from balsamreach.routing import rate_groups
from balsamreach.routing.demands import MILLION, RESERVE
from balsamreach.routing.rate_groups import (
    GROUPS,
    INTERVAL,
    MOST_OF_ZONE,
    MOST_TEAMS,
    TO_HOME,
    TO_ROOT,
    Group,
)
from balsamreach.routing.rate_post import RatePost
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.rates import RateDemands, RateShares

#: Seconds after a word before demand that grows may be told again.
_URGENT_AFTER = 1.0
#: Demand has grown if it is this many times what was told.
_GROWN = 1.25
#: Age shown for shares that were never granted.
_OLDEST = 3600.0


@attrs.define(eq=False)
class RateHomes:
    """Shares of one router, and its part as a home and as a root.

    Parameters
    ----------
    post : RatePost
        Sends words.
    """

    post: RatePost
    _groups: tuple[Group, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin without a word."""
        self._groups = tuple(Group(number) for number in range(GROUPS))

    def share(self, team: int) -> float:
        """Return this router's share of a team's limits."""
        granted = self._group(team).granted
        even = 1 / self.post.counted
        return granted.share(team, even, self.post.clock.now(), INTERVAL)

    def hurry(self, team: int, part: int) -> bool:
        """Have demand told before the interval's end if it has grown."""
        group = self._group(team)
        grown = part > _GROWN * group.granted.requested.get(team, 0)
        group.urgent = group.urgent or grown
        return grown

    def due(self, now: float) -> Collection[int]:
        """Return the groups whose homes are to be told now."""
        return [group.number for group in self._groups if _is_due(group, now)]

    def tell(self, wanted: Mapping[int, int], now: float) -> None:
        """Tell the homes that are due what is wanted here."""
        for number in self.due(now):
            self._tell_home(self._groups[number], wanted, now)

    def see_to_zone(self, now: float) -> None:
        """Do what is due as a home: forget the silent, tell the roots."""
        for group in self._groups:
            group.home.expire(now)
            group.root.expire(now)
            self._tell_root(group, now)

    def take_demands(self, sender: Member, message: Message) -> None:
        """Take a word as a home or as a root, and answer it."""
        assert isinstance(message, RateDemands)
        now = self.post.clock.now()
        expires = now + rate_groups.FRESH * INTERVAL
        told = rate_groups.read_told(sender.incarnation, message, expires)
        group = self._groups[message.group % GROUPS]
        collector, holder = group.home, sender.incarnation
        if message.level == TO_ROOT:
            # A zone has one home at a time: the word of the next replaces
            # that of one that died. Counted beside each other, both would
            # claim for the same routers until the older word's end.
            collector, holder = group.root, sender.zone
        news = collector.put(holder, told, now)
        self.post.note('told' if news else 'old')
        if news and message.parts and collector.ready(now):
            self._answer(group, holder, message.level)

    def take_shares(self, _sender: Member, message: Message) -> None:
        """Take shares from a home or a root."""
        assert isinstance(message, RateShares)
        now = self.post.clock.now()
        group = self._groups[message.group % GROUPS]
        to_zone = message.level == TO_ROOT
        granted = group.zone_granted if to_zone else group.granted
        taken = granted.apply_answer(message, now)
        self.post.note('granted' if taken else 'late')
        if to_zone and taken and group.home.demands is not None:
            for holder in group.home.demands.urgent():
                self._answer(group, holder, TO_HOME)
        if not to_zone:
            ages = [
                now - one.granted.granted_at
                for one in self._groups
                if one.telling
            ]
            oldest = min(_OLDEST, max(ages, default=0))
            self.post.show(heard=message.routers, age=oldest)

    def _tell_home(
        self,
        group: Group,
        wanted: Mapping[int, int],
        now: float,
    ) -> None:
        # What the reserve covers needs no word.
        least = RESERVE * MILLION / self.post.counted
        parts = rate_groups.largest(
            {
                team: part
                for team, part in wanted.items()
                if part > least and rate_groups.group_of(team) == group.number
            },
            MOST_TEAMS,
        )
        message = RateDemands(
            TO_HOME,
            group.number,
            self.post.next_window(),
            urgent=group.urgent,
            parts=rate_groups.as_parts(parts),
        )
        group.granted.record_request(message.window, parts)
        group.told_at = now
        group.urgent = False
        home = self.post.net.home(group.key)
        self.post.send(home, message, self.take_demands)

    def _tell_root(self, group: Group, now: float) -> None:
        pause = _URGENT_AFTER if group.home.due else INTERVAL
        demands = group.home.demands
        if now - group.zone_told_at < pause or demands is None:
            return
        if not group.home.ready(now):
            return
        parts = rate_groups.largest(demands.sums(), MOST_OF_ZONE)
        message = RateDemands(
            TO_ROOT,
            group.number,
            self.post.next_window(),
            routers=demands.routers,
            urgent=group.home.due,
            parts=rate_groups.as_parts(parts),
        )
        group.zone_granted.record_request(message.window, parts)
        group.zone_told_at = now
        group.home.due = False
        self.post.send(self._root(group), message, self.take_demands)

    def _answer(self, group: Group, holder: str, level: int) -> None:
        collector = group.root if level == TO_ROOT else group.home
        demands = collector.demands
        told = demands.find(holder) if demands is not None else None
        if told is None or demands is None:
            return
        counted = self.post.counted
        even = min(1, demands.routers / counted)
        budgets = dict.fromkeys(told.parts, even)
        if level == TO_HOME:
            now = self.post.clock.now()
            budgets = {
                team: group.zone_granted.share(team, even, now, INTERVAL)
                for team in told.parts
            }
        answer = collector.answer(told, budgets, counted)
        for member in self.post.net.members():
            if member.incarnation == told.incarnation:
                self.post.send(member, answer, self.take_shares)

    def _root(self, group: Group) -> Member:
        members = self.post.net.members()
        staying = [member for member in members if not member.leaving]
        root = heaviest(group.key, staying or members)
        return root or self.post.net.me

    def _group(self, team: int) -> Group:
        return self._groups[rate_groups.group_of(team)]


def _is_due(group: Group, now: float) -> bool:
    pause = _URGENT_AFTER if group.urgent else INTERVAL
    return now - group.told_at >= pause
