"""Limits per team: concurrency, requests and tokens per minute."""

from collections import OrderedDict
from collections.abc import Collection

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing import faults
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.fleet_rates import FleetRates, make_fleet_rates
from balsamreach.routing.rate_groups import group_of, team_hash
from balsamreach.routing.rates import IDLE_AFTER, TeamRates, make_team_rates
from balsamreach.table.rows import TeamRow
from balsamreach.telemetry.metrics import Metrics

_MAX_TEAMS = 40_000
#: Largest retry time in seconds while a larger share may be granted soon.
_EARLY_RETRY = 2.0


@attrs.define
class TeamLimits:
    """Enforces the limits in teams' rows.

    The concurrency limit applies per router. Rates apply to the whole fleet:
    each router enforces its share of them.

    Parameters
    ----------
    clock : Clock
        Clock of the router.
    net : PeerNet or None
        Connections to other routers; None for a single router.
    metrics : Metrics
        Metrics of the router.
    running : dict of str to int
        Requests in progress by team.
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
        """Count a request in, or return the refusal if a limit is exceeded.

        Parameters
        ----------
        team : TeamRow
            The team.
        tokens : int
            Largest number of tokens that the request may use.
        """
        running = self.running.get(team.name, 0)
        if team.concurrency and running >= team.concurrency:
            return faults.TEAM_CONCURRENCY.because(
                f'{running} requests of the team are in progress here',
            )
        refusal = self._check_rate(team, tokens)
        if refusal is None:
            self.running[team.name] = running + 1
        return refusal

    def release(self, team: TeamRow, reserved: int, used: int) -> None:
        """Count a request out and return the tokens it did not use."""
        running = self.running.get(team.name, 0) - 1
        if running > 0:
            self.running[team.name] = running
        else:
            self.running.pop(team.name, None)
        rates = self._rates.get(team.name)
        if rates is not None:
            rates.tokens.refund(reserved - used)
            rates.token_demand.take_back(reserved - used, self.clock.now())

    def tick(self) -> None:
        """Send reports that are due; called several times a second."""
        if self._fleet is not None:
            self._fleet.tick(self._demand_of_groups)

    def share(self, team: str) -> float:
        """Return this router's share of a team's fleet-wide rate."""
        if self._fleet is None:
            return 1
        return self._fleet.share(team_hash(team))

    def _check_rate(self, team: TeamRow, tokens: int) -> RoutingFault | None:
        limits = (team.requests_per_minute, team.tokens_per_minute)
        if not any(limits):
            return None
        now = self.clock.now()
        rates = self._rates_of(team.name)
        rates.add_demand(tokens, limits, now)
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
            return faults.RATE_LIMITED.with_retry_after(
                self._shorten_wait(rates, wait),
                'the team is past its requests or tokens a minute',
            )
        rates.requests.take(1)
        rates.tokens.take(tokens)
        return None

    def _shorten_wait(self, rates: TeamRates, wait: float) -> float:
        """Return the retry time, shorter if a larger share may come soon."""
        if self._fleet is None:
            return wait
        team_demand = rates.demand(self.clock.now())
        if self._fleet.request_early_report(rates.team, team_demand):
            return min(wait, _EARLY_RETRY)
        return wait

    def _rates_of(self, team: str) -> TeamRates:
        rates = self._rates.pop(team, None)
        if rates is None:
            rates = make_team_rates(team_hash(team), self.clock.now())
        self._rates[team] = rates
        if len(self._rates) > _MAX_TEAMS:
            self._rates.popitem(last=False)
        return rates

    def _demand_of_groups(
        self, now: float, groups: Collection[int]
    ) -> dict[int, int]:
        # The most recently used are last, so idle teams are not visited.
        demand = {}
        for rates in reversed(self._rates.values()):
            if now - rates.request_demand.updated_at > IDLE_AFTER:
                break
            if group_of(rates.team) in groups:
                demand[rates.team] = rates.demand(now)
        return demand
