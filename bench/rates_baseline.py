"""The way of rates before homes: each router's words go to all others.

Kept as the baseline of ``bench.rates``.
"""

from collections import OrderedDict

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing import faults
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.rates import Bucket
from balsamreach.table.rows import TeamRow
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.rates import TeamUse, Uses

#: Shortest time between two messages on use.
_INTERVAL = 1.0
#: Messages a second that a router takes in from all others together.
_MOST_MESSAGES = 16
_MOST_TEAMS = 40_000
_MOST_TOLD = 256
_FEWEST_TOLD = 8
#: A router's word counts for this many intervals.
_FRESH_INTERVALS = 5
#: Weight of the newest window in the smoothed demand.
_SMOOTH = 0.5
_LEAST_DEMAND = 0.5


@attrs.define
class Demands:
    """Sums over routers, kept up with each message.

    A request then needs one look-up, whatever the number of routers.
    """

    _heard: OrderedDict[str, tuple[float, Uses]] = attrs.field(
        factory=OrderedDict,
    )
    _sums: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return how many routers' words count now."""
        return len(self._heard)

    def put(self, uses: Uses, now: float, interval: float) -> bool:
        """Take a message; False if it is old news."""
        known = self._heard.get(uses.incarnation)
        if known is not None and known[1].window >= uses.window:
            return False
        self._drop(uses.incarnation)
        expires = now + _FRESH_INTERVALS * interval
        self._heard[uses.incarnation] = (expires, uses)
        self._add(uses, 1)
        return True

    def expire(self, now: float) -> None:
        """Let go of routers that have been silent for too long."""
        silent = [
            incarnation
            for incarnation, (expires, _uses) in self._heard.items()
            if expires < now
        ]
        for incarnation in silent:
            self._drop(incarnation)

    def of_team(self, team: str) -> int:
        """Return the demand of a team at all other routers."""
        return self._sums.get(team, 0)

    def _drop(self, incarnation: str) -> None:
        known = self._heard.pop(incarnation, None)
        if known is not None:
            self._add(known[1], -1)

    def _add(self, uses: Uses, sign: int) -> None:
        for use in uses.teams:
            total = self._sums.get(use.team, 0) + sign * use.requests
            if total > 0:
                self._sums[use.team] = total
            else:
                self._sums.pop(use.team, None)


@attrs.define
class FloodedRates:
    """The two rates of one team and its demand on this router."""

    requests: Bucket
    tokens: Bucket
    wanted: int = 0
    _smoothed: float = 0

    def demand(self) -> float:
        """Return the requests wanted in a window, smoothed."""
        return max(self._smoothed, self.wanted)

    def close_window(self) -> None:
        """Begin the next window."""
        self._smoothed += (self.wanted - self._smoothed) * _SMOOTH
        if self._smoothed < _LEAST_DEMAND:
            self._smoothed = 0
        self.wanted = 0


@attrs.define
class FloodedLimits:
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
    _rates: OrderedDict[str, FloodedRates] = attrs.field(factory=OrderedDict)
    _heard: Demands = attrs.field(factory=Demands)
    _window: int = 0
    _told_at: float = float('-inf')

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

    def release(self, team: TeamRow, reserved: int, used: int) -> None:
        """Count a request out and give back the tokens it did not use."""
        running = self.running.get(team.name, 0) - 1
        if running > 0:
            self.running[team.name] = running
        else:
            self.running.pop(team.name, None)
        rates = self._rates.get(team.name)
        if rates is not None:
            rates.tokens.refund(reserved - used)

    def interval(self) -> float:
        """Return the seconds between two messages on use.

        It grows with the fleet, so that the messages of all routers
        together cost each router the same.
        """
        members = len(self.net.members()) if self.net is not None else 1
        return max(_INTERVAL, members / _MOST_MESSAGES)

    def tick(self) -> None:
        """Tell neighbours once in each interval."""
        if self.clock.now() - self._told_at >= self.interval():
            self._told_at = self.clock.now()
            self.tell()

    def tell(self) -> None:
        """Tell neighbours this router's demand; called at each interval."""
        if self.net is None:
            return
        self._window += 1
        self._heard.expire(self.clock.now())
        self.net.tell_neighbours(
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
            self.net.tell_neighbours(message, exclude=sender.incarnation)

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
            return faults.RATE_LIMITED.with_retry_after(
                wait,
                'the team is past its requests or tokens a minute',
            )
        rates.requests.take(1)
        rates.tokens.take(tokens)
        return None

    def _rates_of(self, team: str) -> FloodedRates:
        rates = self._rates.pop(team, None)
        if rates is None:
            now = self.clock.now()
            rates = FloodedRates(Bucket(filled_at=now), Bucket(filled_at=now))
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
