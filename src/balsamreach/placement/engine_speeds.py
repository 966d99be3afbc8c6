"""Estimates of the speeds at which engines process prompts.

Load pattern: two thirds of the engines process 40 prompt tokens in a
millisecond and one third 97. A choice that assumes one speed for all keeps
the slow engines busy with long prompts while fast ones are idle.
"""

import math
import statistics
from collections.abc import Container, Iterator

import attrs

from balsamreach.clock import Clock

#: Prompt tokens that an engine of unknown speed processes in a millisecond.
PRIOR_SPEED = 100
#: Tokens of samples that count as much as the prior, and from which on an
#: engine's own speed counts as known.
PRIOR_TOKENS = 4000
#: Engines with known speeds from which on their median is the prior.
MIN_KNOWN = 10
#: Seconds after which a sample has half its weight, and an idle engine's
#: estimate is half as far from the median.
HALF_LIFE_S = 30
#: Seconds without a sample from which on the estimate approaches the median.
#: An engine that is believed to be slow gets no long prompts, and so no
#: sample that would correct the estimate.
IDLE_S = 10
#: Greatest factor between a sample and the estimate. A pause of the router or
#: a lost packet makes single samples wrong by any factor.
MAX_SAMPLE_FACTOR = 3
#: Greatest factor between the speed that is used and the median.
MAX_FACTOR = 4
#: Ratio of the speeds of two neighbouring classes.
CLASS_RATIO = 2

#: Seconds for which the median is kept.
_MEDIAN_S = 0.25
#: Steps between the speed and the middle of its class from which on the class
#: changes. Over a half, so that a speed at a boundary doesn't change class
#: with each sample: that would move cached parts to another engine.
_CLASS_STEPS = 0.7


@attrs.frozen
class SpeedSample:
    """Samples of one engine, added up.

    Parameters
    ----------
    engine : str
        Incarnation of the engine.
    speed : float
        Prompt tokens that it processes in a millisecond.
    tokens : float
        Tokens that the samples are based on.
    """

    engine: str
    speed: float
    tokens: float


@attrs.define
class _Estimate:
    """What is known of one engine.

    Parameters
    ----------
    log_speed : float
        Mean of the logarithms of its samples.
    tokens : float
        Weight of the mean at ``sampled_at``.
    sampled_at : float
        Monotonic seconds of its last sample.
    speed_class : int
        Class of its speed when last asked for.
    """

    log_speed: float = 0
    tokens: float = 0
    sampled_at: float = 0
    speed_class: int = 0

    def add(self, log_speed: float, tokens: float, now: float) -> None:
        age = max(0, now - self.sampled_at)
        self.tokens = self.tokens * _remaining(age) + tokens
        share = tokens / self.tokens
        self.log_speed += (log_speed - self.log_speed) * share
        self.sampled_at = now


@attrs.define(eq=False)
class EngineSpeeds:
    """The speeds of engines, from samples of all routers.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _estimates: dict[str, _Estimate] = attrs.field(factory=dict)
    _gathered: dict[str, _Estimate] = attrs.field(factory=dict)
    _median: float = math.log(PRIOR_SPEED)
    _median_until: float = float('-inf')

    def record(self, engine: str, tokens: float, seconds: float) -> None:
        """Add a sample, and gather it for the next message.

        Parameters
        ----------
        engine : str
            Incarnation of the engine.
        tokens : float
            Prompt tokens that it processed.
        seconds : float
            Time that it took; samples without a positive time are ignored.
        """
        if seconds > 0 and tokens > 0:
            speed = tokens / seconds / 1000
            self.gather(SpeedSample(engine, speed, tokens))

    def gather(self, sample: SpeedSample) -> None:
        """Add a sample, and gather it for the next message."""
        log_speed = self.add(sample)
        gathered = self._gathered.setdefault(sample.engine, _Estimate())
        # All of one second: no sample of it is older than the others.
        gathered.sampled_at = self.clock.now()
        gathered.add(log_speed, sample.tokens, gathered.sampled_at)

    def add(self, sample: SpeedSample) -> float:
        """Add a sample, and return the logarithm of the speed that counts."""
        expected = self._log_speed(sample.engine)
        limit = math.log(MAX_SAMPLE_FACTOR)
        log_speed = math.log(sample.speed)
        log_speed = min(max(log_speed, expected - limit), expected + limit)
        estimate = self._estimates.setdefault(sample.engine, _Estimate())
        estimate.add(log_speed, sample.tokens, self.clock.now())
        return log_speed

    def replace(self, sample: SpeedSample) -> None:
        """Replace what is known of an engine by a hub's estimate."""
        known = self._estimates.setdefault(sample.engine, _Estimate())
        # Kept as it is, a wrong speed would outweigh samples for minutes.
        median = self._log_median()
        known.log_speed = median + _bounded(math.log(sample.speed) - median)
        known.tokens = sample.tokens
        known.sampled_at = self.clock.now()

    def take_gathered(self, limit: int) -> list[SpeedSample]:
        """Return samples since the last call, those of most tokens first.

        Parameters
        ----------
        limit : int
            Maximum number of engines; the others are left for the next call.
        """
        heaviest = sorted(
            self._gathered,
            key=lambda engine: self._gathered[engine].tokens,
            reverse=True,
        )
        return [
            _to_sample(engine, self._gathered.pop(engine))
            for engine in heaviest[:limit]
        ]

    def known(self) -> Iterator[SpeedSample]:
        """Yield the mean of each engine's samples, without the prior."""
        now = self.clock.now()
        for engine, estimate in self._estimates.items():
            tokens = estimate.tokens * _remaining(now - estimate.sampled_at)
            yield SpeedSample(engine, math.exp(estimate.log_speed), tokens)

    def speed(self, engine: str) -> float:
        """Return the tokens that an engine processes in a millisecond."""
        return math.exp(self._log_speed(engine))

    def speed_class(self, engine: str) -> int:
        """Return the class of an engine's speed, 0 for those at the median.

        Each class is twice as fast as the one below it. Engines of one speed,
        whose estimates differ by noise alone, share a class.
        """
        estimate = self._estimates.get(engine)
        if estimate is None:
            return 0
        distance = self._log_speed(engine) - self._log_median()
        steps = distance / math.log(CLASS_RATIO)
        if abs(steps - estimate.speed_class) > _CLASS_STEPS:
            estimate.speed_class = round(steps)
        return estimate.speed_class

    def age(self, engine: str) -> float:
        """Return the seconds since an engine's last sample."""
        estimate = self._estimates.get(engine)
        if estimate is None:
            return math.inf
        return self.clock.now() - estimate.sampled_at

    def median(self) -> float:
        """Return the median of the known speeds, or the prior."""
        return math.exp(self._log_median())

    def retain(self, engines: Container[str]) -> None:
        """Drop what is known of all other engines."""
        for kept in (self._estimates, self._gathered):
            for engine in tuple(kept):
                if engine not in engines:
                    kept.pop(engine)

    def _log_speed(self, engine: str) -> float:
        median = self._log_median()
        estimate = self._estimates.get(engine)
        if estimate is None:
            return median
        distance = _bounded(estimate.log_speed - median)
        share = estimate.tokens / (estimate.tokens + PRIOR_TOKENS)
        # From the bound, so that the wrongest estimate takes no longer.
        share *= _remaining(self.age(engine) - IDLE_S)
        return median + distance * share

    def _log_median(self) -> float:
        now = self.clock.now()
        if now >= self._median_until:
            self._median_until = now + _MEDIAN_S
            known = [
                estimate.log_speed
                for estimate in self._estimates.values()
                if estimate.tokens >= PRIOR_TOKENS
            ]
            # If engines leave, the last median is a better prior than none.
            if len(known) >= MIN_KNOWN:
                self._median = statistics.median(known)
        return self._median


def _bounded(distance: float) -> float:
    limit = math.log(MAX_FACTOR)
    return min(max(distance, -limit), limit)


def _remaining(age: float) -> float:
    return 0.5 ** (max(0, age) / HALF_LIFE_S)


def _to_sample(engine: str, estimate: _Estimate) -> SpeedSample:
    return SpeedSample(engine, math.exp(estimate.log_speed), estimate.tokens)
