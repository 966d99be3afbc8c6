"""Shares in a small fleet, where each router tells all others."""

from collections.abc import Collection

import attrs

from balsamreach.routing import rate_groups
from balsamreach.routing.demands import Demands
from balsamreach.routing.rate_groups import TO_ALL
from balsamreach.routing.rate_post import RatePost
from balsamreach.wire.messages import Member, Message, RateDemands

#: Seconds between two words.
_INTERVAL = 1.0
#: Most teams in one word.
_MOST_TEAMS = 256
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
        told = rate_groups.largest(wanted, _MOST_TEAMS)
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
