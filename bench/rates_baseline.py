"""Rate limits by flooding: each router's demand goes to all others.

This is the baseline of ``bench.rates``.
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

#: Minimum seconds between two demand messages of a router.
_INTERVAL = 1.0
#: Maximum messages per second that a router receives from all others.
_MAX_MESSAGES_PER_S = 16
_MAX_TEAMS = 40_000
_MAX_SENT_TEAMS = 256
_MIN_SENT_TEAMS = 8
#: Intervals after which the demand reported by a router expires.
_EXPIRY_INTERVALS = 5
#: Weight of the last window in the smoothed demand.
_SMOOTHING = 0.5
_MIN_DEMAND = 0.5


@attrs.define
class ReportedDemands:
    """Demand of the other routers, summed by team.

    The sums are updated with each message, so that a request needs one
    look-up regardless of the number of routers.
    """

    _reports: OrderedDict[str, tuple[float, Uses]] = attrs.field(
        factory=OrderedDict,
    )
    _sums: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of routers whose demand is known."""
        return len(self._reports)

    def update(self, uses: Uses, now: float, interval: float) -> bool:
        """Store a demand message; return False if it is not newer."""
        stored = self._reports.get(uses.incarnation)
        if stored is not None and stored[1].window >= uses.window:
            return False
        self._remove(uses.incarnation)
        expires = now + _EXPIRY_INTERVALS * interval
        self._reports[uses.incarnation] = (expires, uses)
        self._add(uses, 1)
        return True

    def expire(self, now: float) -> None:
        """Remove the demand of routers whose last message has expired."""
        expired = [
            incarnation
            for incarnation, (expires, _uses) in self._reports.items()
            if expires < now
        ]
        for incarnation in expired:
            self._remove(incarnation)

    def of_team(self, team: str) -> int:
        """Return the sum of a team's demand at all other routers."""
        return self._sums.get(team, 0)

    def _remove(self, incarnation: str) -> None:
        stored = self._reports.pop(incarnation, None)
        if stored is not None:
            self._add(stored[1], -1)

    def _add(self, uses: Uses, sign: int) -> None:
        for use in uses.teams:
            total = self._sums.get(use.team, 0) + sign * use.requests
            if total > 0:
                self._sums[use.team] = total
            else:
                self._sums.pop(use.team, None)


@attrs.define
class FloodedRates:
    """Token buckets of one team and its demand at this router."""

    requests: Bucket
    tokens: Bucket
    wanted: int = 0
    _smoothed: float = 0

    def demand(self) -> float:
        """Return the smoothed number of requests per window."""
        return max(self._smoothed, self.wanted)

    def close_window(self) -> None:
        """Update the smoothed demand and begin the next window."""
        self._smoothed += (self.wanted - self._smoothed) * _SMOOTHING
        if self._smoothed < _MIN_DEMAND:
            self._smoothed = 0
        self.wanted = 0


@attrs.define
class FloodedLimits:
    """Enforces the limits of team rows.

    The concurrency limit applies to this router alone. Rate limits apply to
    the fleet: each router uses the part of the rate that is its share of the
    demand, and leaves an even share to each router that it has no message
    from.

    Parameters
    ----------
    clock : Clock
        Clock of the rates.
    net : PeerNet or None
        Peer network; None for a single router.
    running : dict of str to int
        Requests in progress by team.
    """

    clock: Clock
    net: PeerNet | None = None
    running: dict[str, int] = attrs.field(factory=dict)
    _rates: OrderedDict[str, FloodedRates] = attrs.field(factory=OrderedDict)
    _reports: ReportedDemands = attrs.field(factory=ReportedDemands)
    _window: int = 0
    _sent_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        if self.net is not None:
            self.net.on(Uses, self.handle_demand)

    def enter(self, team: TeamRow, tokens: int) -> RoutingFault | None:
        """Admit a request, or return the fault why the team must wait.

        Parameters
        ----------
        team : TeamRow
            Row of the team.
        tokens : int
            Maximum tokens of the request.
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
        """End a request and return its unused tokens to the rate limit."""
        running = self.running.get(team.name, 0) - 1
        if running > 0:
            self.running[team.name] = running
        else:
            self.running.pop(team.name, None)
        rates = self._rates.get(team.name)
        if rates is not None:
            rates.tokens.refund(reserved - used)

    def interval(self) -> float:
        """Return the seconds between two demand messages.

        The interval grows with the fleet, so that each router receives at
        most `_MAX_MESSAGES_PER_S` messages from all others together.
        """
        members = len(self.net.members()) if self.net is not None else 1
        return max(_INTERVAL, members / _MAX_MESSAGES_PER_S)

    def tick(self) -> None:
        """Send the demand to neighbours if an interval has passed."""
        if self.clock.now() - self._sent_at >= self.interval():
            self._sent_at = self.clock.now()
            self.send_demand()

    def send_demand(self) -> None:
        """Send this router's demand to neighbours; called at each interval."""
        if self.net is None:
            return
        self._window += 1
        self._reports.expire(self.clock.now())
        self.net.tell_neighbours(
            Uses(self.net.me.incarnation, self._window, self._own_demands()),
        )

    async def handle_demand(self, sender: Member, message: Message) -> None:
        """Store a router's demand; forward it to neighbours if it is new."""
        if not isinstance(message, Uses) or self.net is None:
            return
        if message.incarnation == self.net.me.incarnation:
            return
        is_new = self._reports.update(
            message, self.clock.now(), self.interval()
        )
        if is_new and not self._reaches_all():
            self.net.tell_neighbours(message, exclude=sender.incarnation)

    def share(self, team: str) -> float:
        """Return this router's fraction of a team's fleet-wide rate."""
        if self.net is None:
            return 1
        members = max(1, len(self.net.members()))
        reporting = min(len(self._reports) + 1, members)
        others = self._reports.of_team(team)
        rates = self._rates.get(team)
        own = rates.demand() if rates else 0
        # A router without messages may be serving the team too. An even share
        # is left to it, since otherwise both sides of a network partition
        # would use the whole rate, and the metrics would show the team's
        # requests at twice the limit of its row. The demand of each router
        # counts one request more, so that an idle one can start at once.
        return reporting / members * (own + 1) / (own + others + reporting)

    def _reaches_all(self) -> bool:
        # In a small fleet every router is linked to every other. A forwarded
        # message would arrive once over every link, so the bytes to peers
        # would grow with the square of the routers. If a single pair is
        # disconnected, each leaves the other an even share meanwhile.
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
        if len(self._rates) > _MAX_TEAMS:
            self._rates.popitem(last=False)
        return rates

    def _own_demands(self) -> tuple[TeamUse, ...]:
        uses = []
        for team, rates in self._rates.items():
            rates.close_window()
            if rates.demand():
                uses.append(TeamUse(team, round(rates.demand()), 0))
        uses.sort(key=_by_requests, reverse=True)
        sent = max(
            _MIN_SENT_TEAMS, _MAX_SENT_TEAMS // max(1, round(self.interval()))
        )
        return tuple(uses[:sent])


def _by_requests(use: TeamUse) -> int:
    return use.requests
