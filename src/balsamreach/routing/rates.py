"""Token buckets that hold a rate a minute, and meters of demand."""

import math

import attrs

from balsamreach.routing.demands import MILLION

_MINUTE = 60.0
#: Requests that a bucket holds if its router's even share brings them within
#: a minute. With one, half the rate in single requests lost a third of them.
_FEW = 3
#: A bucket holds what this many seconds of its rate bring.
_BURST = 10.0
#: Seconds over which demand is smoothed. Over four seconds, a router with a
#: request in three was found to want nothing at one moment and double at the
#: next, and a team at 0.7 of its rate lost a sixth of its requests.
_SMOOTH = 10.0
#: The same for steps; they count from so many requests on.
_QUICK = 2.0
_BUSY = 8
_STEP = 1.5
#: Seconds that demand is taken to have lasted at least.
_LEAST = 5.0
_LEAST_BUSY = 1.0
#: Seconds without demand after which a meter begins anew.
IDLE = 40.0
_MOST_LIMITS = 4
_LEAST_KNOWN = 0.1


@attrs.define
class Bucket:
    """One token bucket; a rate of 0 means that there is no limit.

    Parameters
    ----------
    filled_at : float
        Monotonic seconds up to which it has been filled.
    """

    filled_at: float
    level: float | None = None
    rate: float = 0

    def refill(
        self,
        per_minute: float,
        now: float,
        least: float = 0,
    ) -> None:
        """Fill up to now at the old rate, then go on at another one.

        Parameters
        ----------
        per_minute : float
            The other rate.
        now : float
            Monotonic seconds.
        least : float
            Rate a minute whose burst the bucket holds at least. A share
            that shrinks for a moment would else take away what is there.
        """
        most = max(1, max(per_minute, least) * _BURST / _MINUTE)
        most = max(most, min(_FEW, least))
        if self.level is None:
            self.level = most
        self.level += (now - self.filled_at) * self.rate
        self.level = min(self.level, most)
        self.filled_at = now
        self.rate = per_minute / _MINUTE

    def wait(self, amount: float) -> float:
        """Return the seconds until an amount may be taken; 0 for now.

        An amount larger than the bucket may be taken from a full one and
        leaves it in debt, or it could never be taken at all.
        """
        if not self.rate or self.level is None:
            return 0
        most = max(1, self.rate * _BURST)
        missing = min(amount, most) - self.level
        return max(0, missing / self.rate)

    def take(self, amount: float) -> None:
        """Take an amount."""
        if self.level is not None:
            self.level -= amount

    def give_back(self, amount: float) -> None:
        """Give back what was taken and not used."""
        if self.level is not None:
            self.level += max(0, amount)


@attrs.define
class Meter:
    """Smoothed rate of what was wanted; its integral is the amount.

    Parameters
    ----------
    since : float
        Monotonic seconds of the first amount after a pause.
    at : float
        Monotonic seconds of the newest amount.
    """

    since: float
    at: float
    _level: float = 0
    _quick: float = 0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        if now - self.at > IDLE:
            self.since = now
        self._level = self.smoothed(now) + amount
        self._quick = self.newest(now) + amount
        self.at = now

    def take_back(self, amount: float, now: float) -> None:
        """Take off what was wanted and not used."""
        self._level = max(0, self.smoothed(now) - max(0, amount))
        self._quick = max(0, self.newest(now) - max(0, amount))
        self.at = now

    def newest(self, now: float) -> float:
        """Return about the amount of the last two seconds."""
        return self._quick * math.exp((self.at - now) / _QUICK)

    def rate(self, now: float, *, busy: bool) -> float:
        """Return the amount wanted a second.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        busy : bool
            Whether so many requests came that the newest tell a step.
        """
        # Just begun, the mean is over the time that there was demand. Over
        # the whole time constant a step would be told at a fraction of its
        # height, and refused for seconds although the rate allows it.
        known = max(_LEAST_BUSY if busy else _LEAST, now - self.since)
        smooth = self.smoothed(now)
        smooth /= _SMOOTH * (1 - math.exp(-known / _SMOOTH))
        newest = self.newest(now) / _QUICK
        return newest if busy and newest > _STEP * smooth else smooth

    def smoothed(self, now: float) -> float:
        """Return about the amount of the last ten seconds."""
        return self._level * math.exp((self.at - now) / _SMOOTH)


@attrs.define
class TeamRates:
    """The two rates of one team and its demand on this router.

    Parameters
    ----------
    team : int
        The team's number among routers.
    """

    team: int
    requests: Bucket
    tokens: Bucket
    wanted: Meter
    wanted_tokens: Meter
    _limits: tuple[int, int] = (0, 0)

    def want(self, tokens: float, limits: tuple[int, int], now: float) -> None:
        """Count a request under limits of requests and tokens a minute."""
        self._limits = limits
        self.wanted.add(1, now)
        self.wanted_tokens.add(tokens, now)

    def part(self, now: float) -> int:
        """Return the part of the limits wanted here, in millionths."""
        busy = self.wanted.newest(now) >= _BUSY
        amounts = (
            self.wanted.rate(now, busy=busy),
            self.wanted_tokens.rate(now, busy=busy),
        )
        parts = [
            amount * _MINUTE / limit
            for amount, limit in zip(amounts, self._limits, strict=True)
            if limit
        ]
        wanted = max(parts, default=0) * self._margin(now)
        wanted = min(_MOST_LIMITS, wanted)
        return round(wanted * MILLION)

    def _margin(self, now: float) -> float:
        """Return how many times its mean demand may come by chance."""
        known = max(_LEAST_KNOWN, self.wanted.smoothed(now))
        return (known + math.sqrt(known + 1)) / known


def begin(team: int, now: float) -> TeamRates:
    """Return the rates of a team that begins to send."""
    return TeamRates(
        team,
        Bucket(filled_at=now),
        Bucket(filled_at=now),
        Meter(now, now),
        Meter(now, now),
    )
