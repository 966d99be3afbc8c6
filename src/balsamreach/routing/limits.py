"""Limits per team: requests in progress, requests and tokens a minute."""

from collections import OrderedDict
from collections.abc import Collection

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing import faults
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.fleet_rates import FleetRates, make_fleet_rates
from balsamreach.routing.rate_groups import group_of, number_of
from balsamreach.routing.rates import IDLE, TeamRates, begin
from balsamreach.table.rows import TeamRow
from balsamreach.telemetry.metrics import Metrics

_MOST_TEAMS = 40_000
#: Longest time a team is told to wait while a larger share may come.
_SOON = 2.0


@attrs.define
class TeamLimits:
    """Holds teams to the limits of their rows.

    Concurrency holds for this router alone. Rates hold over the fleet:
    each router keeps to its share of them.

    Parameters
    ----------
    clock : Clock
        Time of the rates.
    net : PeerNet or None
        Other routers; None for a router on its own.
    metrics : Metrics
        Counters of what routers tell each other.
    """

    clock: Clock
    net: PeerNet | None = None
    metrics: Metrics = attrs.field(factory=Metrics)
    running: dict[str, int] = attrs.field(factory=dict)
    _rates: OrderedDict[str, TeamRates] = attrs.field(factory=OrderedDict)
    _fleet: FleetRates | None = None

    def __attrs_post_init__(self) -> None:
        if self.net is not None:
            self._fleet = make_fleet_rates(
                self.clock,
                self.net,
                self.metrics,
            )

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
            rates.wanted_tokens.take_back(reserved - used, self.clock.now())

    def tick(self) -> None:
        """Tell other routers what is due; called several times a second."""
        if self._fleet is not None:
            self._fleet.tick(self._parts)

    def share(self, team: str) -> float:
        """Return this router's part of a team's rate over the fleet."""
        if self._fleet is None:
            return 1
        return self._fleet.share(number_of(team))

    def _rate(self, team: TeamRow, tokens: int) -> RoutingFault | None:
        limits = (team.requests_per_minute, team.tokens_per_minute)
        if not any(limits):
            return None
        now = self.clock.now()
        rates = self._rates_of(team.name)
        rates.want(tokens, limits, now)
        share = self._fleet.share(rates.team) if self._fleet else 1
        even = self._fleet.even if self._fleet else 1
        for bucket, limit in zip(
            (rates.requests, rates.tokens),
            limits,
            strict=True,
        ):
            bucket.refill(limit * share, now, limit * even)
        wait = max(rates.requests.wait(1), rates.tokens.wait(tokens))
        if wait > 0:
            return faults.RATE_LIMITED.after(
                self._hasten(rates, wait),
                'the team is past its requests or tokens a minute',
            )
        rates.requests.take(1)
        rates.tokens.take(tokens)
        return None

    def _hasten(self, rates: TeamRates, wait: float) -> float:
        """Return how long to wait, less if a larger share may come."""
        if self._fleet is None:
            return wait
        part = rates.part(self.clock.now())
        if self._fleet.hurry(rates.team, part):
            return min(wait, _SOON)
        return wait

    def _rates_of(self, team: str) -> TeamRates:
        rates = self._rates.pop(team, None)
        if rates is None:
            rates = begin(number_of(team), self.clock.now())
        self._rates[team] = rates
        if len(self._rates) > _MOST_TEAMS:
            self._rates.popitem(last=False)
        return rates

    def _parts(self, now: float, groups: Collection[int]) -> dict[int, int]:
        # The newest stand last: teams without use cost nothing.
        parts = {}
        for rates in reversed(self._rates.values()):
            if now - rates.wanted.at > IDLE:
                break
            if group_of(rates.team) in groups:
                parts[rates.team] = rates.part(now)
        return parts
