"""Shares of teams' rate limits over all routers, in whatever fleet."""

from collections.abc import Callable, Collection

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing.rate_groups import TO_ALL
from balsamreach.routing.rate_homes import RateHomes
from balsamreach.routing.rate_post import RatePost
from balsamreach.routing.rates_to_all import RatesToAll
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.rates import RateDemands, RateShares

#: Routers that a small fleet has at most; up to here each is linked to all.
SMALL = 17

#: Returns the part of its limits that each team of some groups wants here.
Parts = Callable[[float, Collection[int]], dict[int, int]]


@attrs.define(eq=False)
class FleetRates:
    """The shares of one router, by the way that suits the fleet's size.

    Words of either way are taken at any time: while the fleet grows or
    shrinks past the size, routers may differ about the way.

    Parameters
    ----------
    post : RatePost
        Counts routers and sends words.
    """

    post: RatePost
    _to_all: RatesToAll = attrs.field(init=False)
    _homes: RateHomes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Take other routers' words from now on."""
        self._to_all = RatesToAll(self.post)
        self._homes = RateHomes(self.post)
        self.post.net.on(RateDemands, self._take_demands)
        self.post.net.on(RateShares, self._take_shares)
        self.post.count()

    @property
    def small(self) -> bool:
        """Whether each router tells all others."""
        return self.post.counted <= SMALL

    @property
    def even(self) -> float:
        """Share of each router if all have the same."""
        return 1 / self.post.counted

    def share(self, team: int) -> float:
        """Return this router's share of a team's limits."""
        way = self._to_all if self.small else self._homes
        return way.share(team)

    def hurry(self, team: int, part: int) -> bool:
        """Have demand told soon if it has grown.

        Returns
        -------
        bool
            Whether a larger share may come within a second or two.
        """
        return not self.small and self._homes.hurry(team, part)

    def tick(self, parts: Parts) -> None:
        """Tell what is due; called several times a second."""
        now = self.post.clock.now()
        self.post.count()
        way = self._to_all if self.small else self._homes
        groups = way.due(now)
        if groups:
            way.tell(parts(now, groups), now)
        self._homes.see_to_zone(now)

    async def _take_demands(self, sender: Member, message: Message) -> None:
        assert isinstance(message, RateDemands)
        if message.level == TO_ALL:
            self._to_all.take(sender, message)
        else:
            self._homes.take_demands(sender, message)

    async def _take_shares(self, sender: Member, message: Message) -> None:
        self._homes.take_shares(sender, message)


def make_fleet_rates(
    clock: Clock,
    net: PeerNet,
    metrics: Metrics,
) -> FleetRates:
    """Return the shares of a router among others."""
    return FleetRates(RatePost(clock, net, metrics))
