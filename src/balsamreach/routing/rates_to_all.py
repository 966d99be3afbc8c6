"""Shares in a small fleet, where each router tells all others."""

from collections.abc import Collection

import attrs

from balsamreach.routing import rate_groups
from balsamreach.routing.demands import MILLION, Demands
from balsamreach.routing.rate_groups import TO_ALL
from balsamreach.routing.rate_post import RatePost
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.rates import RateDemands

#: Seconds between two words.
_INTERVAL = 1.0
#: Part of the even share that needs no word while little is told of a team,
#: and the part of its limit that is little. Without this, eight routers with
#: 400 teams each far from their limits sent 23.6 KB a second each.
_UNTOLD = 0.35
_LITTLE = 0.3
#: Most teams in one word.
_MOST_TEAMS = 60
#: Intervals for which a word counts.
_FRESH = 5


@attrs.define(eq=False)
class RatesToAll:
    """Everyone's demand, as each router told it.

    Parameters
    ----------
    post : RatePost
        Sends words.
    """

    post: RatePost
    _demands: Demands = attrs.field(init=False)
    _told_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        """Begin without a word."""
        self._demands = Demands(self.post.clock.now())

    def share(self, team: int) -> float:
        """Return this router's share of a team's limits."""
        me = self.post.net.me.incarnation
        even = 1 / self.post.counted
        told = self._demands.find(me)
        if told is None:
            return even
        if team not in told.parts and len(told.parts) == _MOST_TEAMS:
            # The word had no room for the team. Taken for one that wants
            # nothing, it would be left the reserve alone.
            return even
        # A router that cannot be heard may be serving the team too. Its even
        # share is left to it, so that two sides of a network partition do
        # not both use the whole rate; the metrics would show the sum of the
        # team's requests at twice its row.
        heard = min(self._demands.routers, self.post.counted)
        return self._demands.share(told, team, heard * even)

    def due(self, now: float) -> Collection[int]:
        """Return the groups of teams to tell about now."""
        if now - self._told_at < _INTERVAL:
            return ()
        return range(rate_groups.GROUPS)

    def tell(self, wanted: dict[int, int], now: float) -> None:
        """Tell all others what is wanted here."""
        self._told_at = now
        self._demands.expire(now)
        told = rate_groups.largest(self._worth_telling(wanted), _MOST_TEAMS)
        message = RateDemands(
            TO_ALL,
            0,
            self.post.next_window(),
            parts=rate_groups.as_parts(told),
        )
        for member in self.post.net.members():
            self.post.send(member, message, self.take)
        self.post.show(heard=self._demands.routers, age=0)

    def take(self, sender: Member, message: Message) -> None:
        """Take a router's word."""
        assert isinstance(message, RateDemands)
        expires = self.post.clock.now() + _FRESH * _INTERVAL
        told = rate_groups.read_told(sender.incarnation, message, expires)
        news = self._demands.put(sender.incarnation, told)
        self.post.note('told' if news else 'old')

    def _worth_telling(self, wanted: dict[int, int]) -> dict[int, int]:
        # While little is told of a team, each has over this much of the even
        # share without a word. Once more is told, everyone tells, or those
        # that want little would be left the reserve alone.
        least = _UNTOLD * MILLION / self.post.counted
        return {
            team: part
            for team, part in wanted.items()
            if part > least or self._demands.total(team) > _LITTLE
        }
