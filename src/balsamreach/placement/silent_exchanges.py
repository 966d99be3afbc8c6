"""Exchanges in progress, and those that have had no response for too long.

Load pattern: a plain target accepts connections and requests, but no longer
responds. Its requests stay unanswered until their deadline, and the target
looks idle to the routers that have sent it none.
"""

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.relay_targets import RelayTarget

#: Multiple of the usual service time after which an exchange is silent.
_USUAL_TIMES = 4
#: Minimum seconds after which an exchange is silent, so that a host that
#: stalls for a moment doesn't count.
_MIN_SILENCE_S = 0.25
#: Weight of a new sample in the mean service time.
_SAMPLE_WEIGHT = 0.1
#: Answers after which the mean is used.
_MIN_SAMPLES = 8


@attrs.define
class ServiceTime:
    """Mean service time of a target.

    Parameters
    ----------
    mean : float
        Seconds.
    samples : int
        Number of answers that it was learned from.
    """

    mean: float = 0
    samples: int = 0

    def add(self, seconds: float) -> None:
        """Add the service time of an answered request."""
        self.samples += 1
        weight = max(_SAMPLE_WEIGHT, 1 / self.samples)
        self.mean += weight * (seconds - self.mean)

    @property
    def silence(self) -> float:
        """Seconds without a response that are unusual; infinite at first."""
        if self.samples < _MIN_SAMPLES:
            return float('inf')
        return max(_MIN_SILENCE_S, _USUAL_TIMES * self.mean)


@attrs.define(eq=False)
class TargetExchange:
    """One exchange in progress.

    Parameters
    ----------
    place : RelayTarget
        The target.
    is_plain : bool
        Whether the request has no prompt.
    started : float
        Monotonic seconds at which it began.
    responded : bool
        Whether the head of a response has arrived.
    is_silent : bool
        Whether it has been counted as silent.
    """

    place: RelayTarget
    is_plain: bool
    started: float
    responded: bool = False
    is_silent: bool = False


@attrs.define
class RunningExchanges:
    """All exchanges in progress, and the service times of plain targets.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _running: dict[str, list[TargetExchange]] = attrs.field(factory=dict)
    _times: dict[str, ServiceTime] = attrs.field(factory=dict)

    def begin(self, place: RelayTarget, *, is_plain: bool) -> TargetExchange:
        """Record the start of an exchange."""
        exchange = TargetExchange(place, is_plain, self.clock.now())
        self._running.setdefault(place.incarnation, []).append(exchange)
        return exchange

    def end(self, exchange: TargetExchange) -> None:
        """Record the end of an exchange."""
        incarnation = exchange.place.incarnation
        running = self._running[incarnation]
        running.remove(exchange)
        if not running:
            self._running.pop(incarnation)

    def learn(self, exchange: TargetExchange) -> None:
        """Learn the service time from an exchange that is answered."""
        if exchange.is_plain:
            incarnation = exchange.place.incarnation
            time = self._times.setdefault(incarnation, ServiceTime())
            time.add(self.clock.now() - exchange.started)

    def forget(self, incarnation: str) -> None:
        """Drop what was learned of a target that is gone."""
        self._times.pop(incarnation, None)

    def is_answered_since(self, incarnation: str, time: float) -> bool:
        """Return whether an exchange that began after a time has a response."""
        return any(
            exchange.responded and exchange.started > time
            for exchange in self._running.get(incarnation, ())
        )

    def waiting_since(self) -> dict[str, float]:
        """Return when the oldest exchange of each service began."""
        oldest: dict[str, float] = {}
        for running in self._running.values():
            for exchange in running:
                service = exchange.place.entry.service
                known = oldest.get(service, exchange.started)
                oldest[service] = min(known, exchange.started)
        return oldest

    def find_silent(self) -> tuple[TargetExchange, ...]:
        """Return the exchanges that became silent since the last call."""
        now = self.clock.now()
        silent = tuple(
            exchange
            for incarnation, running in self._running.items()
            if incarnation in self._times
            for exchange in running
            if _is_unanswered(exchange)
            and now - exchange.started >= self._times[incarnation].silence
        )
        for exchange in silent:
            exchange.is_silent = True
        return silent


def _is_unanswered(exchange: TargetExchange) -> bool:
    if not exchange.is_plain:
        return False
    return not exchange.responded and not exchange.is_silent
