"""Token buckets that enforce per-minute rates, and meters of demand."""

import math

import attrs

from balsamreach.routing.demands import MILLION

_MINUTE = 60.0
#: Smallest bucket size in requests, if the router's even share brings that
#: many within a minute. With a size of one, a third of single requests at half
#: the rate were refused.
_MIN_REQUESTS = 3
#: Seconds of its rate that a bucket holds.
_BURST_SECONDS = 10.0
#: Time constant in seconds for smoothing demand. With four seconds, a router
#: that got a request every three seconds alternately reported no demand and
#: twice its demand, and a team at 0.7 of its rate lost a sixth of its
#: requests.
_TIME_CONSTANT = 10.0
#: Time constant for detecting steps, and the number of recent requests from
#: which a step is recognised.
_SHORT_TIME_CONSTANT = 2.0
_STEP_MIN_REQUESTS = 8
_STEP_RATIO = 1.5
#: Shortest time in seconds over which new demand is averaged.
_MIN_DURATION = 5.0
_MIN_STEP_DURATION = 1.0
#: Seconds without demand after which a meter starts again.
IDLE_AFTER = 40.0
_MAX_DEMAND = 4
_MIN_RECENT = 0.1


@attrs.define
class Bucket:
    """A token bucket; a rate of 0 means that there is no limit.

    Parameters
    ----------
    filled_at : float
        Monotonic seconds of the last refill.
    level : float or None
        Tokens in the bucket; None before the first refill.
    rate : float
        Tokens added per second.
    """

    filled_at: float
    level: float | None = None
    rate: float = 0

    def refill(
        self,
        per_minute: float,
        now: float,
        min_per_minute: float = 0,
    ) -> None:
        """Add the tokens due at the old rate, then switch to another rate.

        Parameters
        ----------
        per_minute : float
            The new rate.
        now : float
            Monotonic seconds.
        min_per_minute : float
            Rate that the bucket size is at least computed for. Otherwise a
            share that shrinks briefly would discard tokens in the bucket.
        """
        capacity = max(
            1, max(per_minute, min_per_minute) * _BURST_SECONDS / _MINUTE
        )
        capacity = max(capacity, min(_MIN_REQUESTS, min_per_minute))
        if self.level is None:
            self.level = capacity
        self.level += (now - self.filled_at) * self.rate
        self.level = min(self.level, capacity)
        self.filled_at = now
        self.rate = per_minute / _MINUTE

    def wait(self, amount: float) -> float:
        """Return the seconds until an amount may be taken; 0 means now.

        An amount larger than the bucket may be taken from a full bucket and
        leaves it in debt; otherwise it could never be taken.
        """
        if not self.rate or self.level is None:
            return 0
        capacity = max(1, self.rate * _BURST_SECONDS)
        missing = min(amount, capacity) - self.level
        return max(0, missing / self.rate)

    def take(self, amount: float) -> None:
        """Take an amount."""
        if self.level is not None:
            self.level -= amount

    def refund(self, amount: float) -> None:
        """Return an amount that was taken and not used."""
        if self.level is not None:
            self.level += max(0, amount)


@attrs.define
class DemandMeter:
    """Exponentially smoothed rate of the demand.

    Parameters
    ----------
    started_at : float
        Monotonic seconds of the first amount after a pause.
    updated_at : float
        Monotonic seconds of the newest amount.
    """

    started_at: float
    updated_at: float
    _amount: float = 0
    _recent_amount: float = 0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        if now - self.updated_at > IDLE_AFTER:
            self.started_at = now
        self._amount = self.smoothed(now) + amount
        self._recent_amount = self.recent(now) + amount
        self.updated_at = now

    def take_back(self, amount: float, now: float) -> None:
        """Subtract an amount that was not used."""
        self._amount = max(0, self.smoothed(now) - max(0, amount))
        self._recent_amount = max(0, self.recent(now) - max(0, amount))
        self.updated_at = now

    def recent(self, now: float) -> float:
        """Return about the amount of the last two seconds."""
        return self._recent_amount * math.exp(
            (self.updated_at - now) / _SHORT_TIME_CONSTANT
        )

    def rate(self, now: float, *, detect_step: bool) -> float:
        """Return the demand per second.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        detect_step : bool
            Whether there were enough recent requests to detect a step.
        """
        # New demand is averaged over the time since it started. Averaged over
        # the whole time constant, a step would be reported at a fraction of
        # its height, and requests within the rate would be refused for
        # seconds.
        duration = max(
            _MIN_STEP_DURATION if detect_step else _MIN_DURATION,
            now - self.started_at,
        )
        smoothed_rate = self.smoothed(now)
        smoothed_rate /= _TIME_CONSTANT * (
            1 - math.exp(-duration / _TIME_CONSTANT)
        )
        recent = self.recent(now) / _SHORT_TIME_CONSTANT
        return (
            recent
            if detect_step and recent > _STEP_RATIO * smoothed_rate
            else smoothed_rate
        )

    def smoothed(self, now: float) -> float:
        """Return about the amount of the last ten seconds."""
        return self._amount * math.exp((self.updated_at - now) / _TIME_CONSTANT)


@attrs.define
class TeamRates:
    """The buckets of one team and its demand at this router.

    Parameters
    ----------
    team : int
        Hash of the team's name.
    requests, tokens : Bucket
        Buckets of the two rates.
    request_demand, token_demand : DemandMeter
        Demand for the two rates.
    """

    team: int
    requests: Bucket
    tokens: Bucket
    request_demand: DemandMeter
    token_demand: DemandMeter
    _limits: tuple[int, int] = (0, 0)

    def add_demand(
        self, tokens: float, limits: tuple[int, int], now: float
    ) -> None:
        """Add a request under limits of requests and tokens per minute."""
        self._limits = limits
        self.request_demand.add(1, now)
        self.token_demand.add(tokens, now)

    def demand(self, now: float) -> int:
        """Return the demand at this router, in millionths of the limits."""
        detect_step = self.request_demand.recent(now) >= _STEP_MIN_REQUESTS
        amounts = (
            self.request_demand.rate(now, detect_step=detect_step),
            self.token_demand.rate(now, detect_step=detect_step),
        )
        parts = [
            amount * _MINUTE / limit
            for amount, limit in zip(amounts, self._limits, strict=True)
            if limit
        ]
        demand = max(parts, default=0) * self._margin(now)
        demand = min(_MAX_DEMAND, demand)
        return round(demand * MILLION)

    def _margin(self, now: float) -> float:
        """Return the factor by which demand may exceed its mean by chance."""
        recent = max(_MIN_RECENT, self.request_demand.smoothed(now))
        return (recent + math.sqrt(recent + 1)) / recent


def make_team_rates(team: int, now: float) -> TeamRates:
    """Return the rates of a team that starts to send."""
    return TeamRates(
        team,
        Bucket(filled_at=now),
        Bucket(filled_at=now),
        DemandMeter(now, now),
        DemandMeter(now, now),
    )
