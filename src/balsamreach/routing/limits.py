"""Limits per team: requests in progress, requests and tokens a minute."""

from collections import OrderedDict

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing import faults
from balsamreach.routing.demands import Demands
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.rates import Bucket, TeamRates
from balsamreach.table.rows import TeamRow
from balsamreach.wire.messages import Member, Message, TeamUse, Uses

#: Shortest time between two messages on use.
_INTERVAL = 1.0
#: Messages a second that a router takes in from all others together.
_MOST_MESSAGES = 16
_MOST_TEAMS = 40_000
_MOST_TOLD = 256
_FEWEST_TOLD = 8


@attrs.define
class TeamLimits:
    """Holds teams to the limits of their rows.

    Concurrency holds for this router alone. Rates hold over the fleet:
    each router takes the part of the rate that its share of the demand is,
    and counts an even share for each router it hears nothing from.

    Parameters
    ----------
    clock : Clock
        Time of the rates.
    net : PeerNet or None
        Other routers; None for a router on its own.
    """

    clock: Clock
    net: PeerNet | None = None
    running: dict[str, int] = attrs.field(factory=dict)
    _rates: OrderedDict[str, TeamRates] = attrs.field(factory=OrderedDict)
    _heard: Demands = attrs.field(factory=Demands)
    _window: int = 0

    def __attrs_post_init__(self) -> None:
        if self.net is not None:
            self.net.on(Uses, self.take)

    def enter(self, team: TeamRow, tokens: int) -> RoutingFault | None:
        """Count a request in, or return why the team must wait.

        Parameters
        ----------
        team : TeamRow
            The team.
        tokens : int
            Worst case of the request's tokens.
        """
        running = self.running.get(team.name, 0)
        if team.concurrency and running >= team.concurrency:
            return faults.TEAM_CONCURRENCY.because(
                f'{running} requests of the team are in progress here',
            )
        refusal = self._rate(team, tokens)
        if refusal is None:
            self.running[team.name] = running + 1
        return refusal

    def leave(self, team: TeamRow, reserved: int, used: int) -> None:
        """Count a request out and give back the tokens it did not use."""
        running = self.running.get(team.name, 0) - 1
        if running > 0:
            self.running[team.name] = running
        else:
            self.running.pop(team.name, None)
        rates = self._rates.get(team.name)
        if rates is not None:
            rates.tokens.give_back(reserved - used)

    def interval(self) -> float:
        """Return the seconds between two messages on use.

        It grows with the fleet, so that the messages of all routers
        together cost each router the same.
        """
        members = len(self.net.members()) if self.net is not None else 1
        return max(_INTERVAL, members / _MOST_MESSAGES)

    def tell(self) -> None:
        """Tell neighbours this router's demand; called at each interval."""
        if self.net is None:
            return
        self._window += 1
        self._heard.expire(self.clock.now())
        self.net.spread(
            Uses(self.net.me.incarnation, self._window, self._own_uses()),
        )

    async def take(self, sender: Member, message: Message) -> None:
        """Take a router's demand and spread what is news."""
        if not isinstance(message, Uses) or self.net is None:
            return
        if message.incarnation == self.net.me.incarnation:
            return
        news = self._heard.put(message, self.clock.now(), self.interval())
        if news and not self._reaches_all():
            self.net.spread(message, besides=sender.incarnation)

    def share(self, team: str) -> float:
        """Return this router's part of a team's rate over the fleet."""
        if self.net is None:
            return 1
        members = max(1, len(self.net.members()))
        heard = min(len(self._heard) + 1, members)
        others = self._heard.of_team(team)
        rates = self._rates.get(team)
        own = rates.demand() if rates else 0
        # A router that cannot be heard may be serving the team too. Its even
        # share is left to it, so that two sides of a network partition do
        # not both use the whole rate; the metrics would show the sum of the
        # team's requests at twice its row. One request more for each router
        # lets a quiet one start at once.
        return heard / members * (own + 1) / (own + others + heard)

    def _reaches_all(self) -> bool:
        # In a small fleet everyone is linked to everyone. Passed on there,
        # each word would arrive once over every link; it would show as bytes
        # to peers that grow with the square of the routers. Where a single
        # pair is cut off, each leaves the other an even share meanwhile.
        if self.net is None:
            return True
        return len(self.net.neighbours()) + 1 >= len(self.net.members())

    def _rate(self, team: TeamRow, tokens: int) -> RoutingFault | None:
        if not team.requests_per_minute and not team.tokens_per_minute:
            return None
        rates = self._rates_of(team.name)
        rates.wanted += 1
        share = self.share(team.name)
        now = self.clock.now()
        rates.requests.refill(team.requests_per_minute * share, now)
        rates.tokens.refill(team.tokens_per_minute * share, now)
        wait = max(rates.requests.wait(1), rates.tokens.wait(tokens))
        if wait > 0:
            return faults.RATE_LIMITED.after(
                wait,
                'the team is past its requests or tokens a minute',
            )
        rates.requests.take(1)
        rates.tokens.take(tokens)
        return None

    def _rates_of(self, team: str) -> TeamRates:
        rates = self._rates.pop(team, None)
        if rates is None:
            now = self.clock.now()
            rates = TeamRates(Bucket(filled_at=now), Bucket(filled_at=now))
        self._rates[team] = rates
        if len(self._rates) > _MOST_TEAMS:
            self._rates.popitem(last=False)
        return rates

    def _own_uses(self) -> tuple[TeamUse, ...]:
        uses = []
        for team, rates in self._rates.items():
            rates.close_window()
            if rates.demand():
                uses.append(TeamUse(team, round(rates.demand()), 0))
        uses.sort(key=_by_requests, reverse=True)
        told = max(_FEWEST_TOLD, _MOST_TOLD // max(1, round(self.interval())))
        return tuple(uses[:told])


def _by_requests(use: TeamUse) -> int:
    return use.requests
