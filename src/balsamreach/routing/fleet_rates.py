"""A router's shares of teams' rate limits, in fleets of any size."""

from collections.abc import Callable, Collection

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing.broadcast_rates import BroadcastRates
from balsamreach.routing.rate_groups import LEVEL_ALL
from balsamreach.routing.rate_homes import RateHomes
from balsamreach.routing.rate_messenger import RateMessenger
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.rates import RateDemands, RateShares

#: Largest fleet in which reports go to all routers; up to this size each
#: router has links to all others.
MAX_BROADCAST_ROUTERS = 17

#: Returns the demand of the teams of some groups at this router, in millionths
#: of their limits.
DemandSource = Callable[[float, Collection[int]], dict[int, int]]


@attrs.define(eq=False)
class FleetRates:
    """One router's shares, by the method that suits the fleet's size.

    Messages of both methods are always accepted: while the fleet grows or
    shrinks past the limit, routers may use different methods.

    Parameters
    ----------
    messenger : RateMessenger
        Sends messages and counts the routers.
    """

    messenger: RateMessenger
    _broadcast: BroadcastRates = attrs.field(init=False)
    _homes: RateHomes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the handlers of rate messages."""
        self._broadcast = BroadcastRates(self.messenger)
        self._homes = RateHomes(self.messenger)
        self.messenger.net.on(RateDemands, self._on_demands)
        self.messenger.net.on(RateShares, self._on_shares)
        self.messenger.count_routers()

    @property
    def uses_broadcast(self) -> bool:
        """Whether the fleet is small enough for reports to all routers."""
        return self.messenger.router_count <= MAX_BROADCAST_ROUTERS

    @property
    def even(self) -> float:
        """Share of each router if all get the same."""
        return 1 / self.messenger.router_count

    def share(self, team: int) -> float:
        """Return this router's share of a team's limits."""
        method = self._broadcast if self.uses_broadcast else self._homes
        return method.share(team)

    def request_early_report(self, team: int, part: int) -> bool:
        """Schedule an early report if a team's demand has increased.

        Returns
        -------
        bool
            Whether a larger share may be granted within a second or two.
        """
        return not self.uses_broadcast and self._homes.request_early_report(
            team, part
        )

    def tick(self, demand_of_groups: DemandSource) -> None:
        """Send reports that are due; called several times a second."""
        now = self.messenger.clock.now()
        self.messenger.count_routers()
        method = self._broadcast if self.uses_broadcast else self._homes
        groups = method.groups_due(now)
        if groups:
            method.send_reports(demand_of_groups(now, groups), now)
        self._homes.run_home_tasks(now)

    async def _on_demands(self, sender: Member, message: Message) -> None:
        assert isinstance(message, RateDemands)
        if message.level == LEVEL_ALL:
            self._broadcast.handle_demands(sender, message)
        else:
            self._homes.handle_demands(sender, message)

    async def _on_shares(self, sender: Member, message: Message) -> None:
        self._homes.handle_shares(sender, message)


def make_fleet_rates(
    clock: Clock,
    net: PeerNet,
    metrics: Metrics,
) -> FleetRates:
    """Return the rate shares of one router of a fleet."""
    return FleetRates(RateMessenger(clock, net, metrics))
