"""Circuit breaker that suspends a failing target and lets one probe pass."""

import random

import attrs

_INITIAL_PAUSE = 1.0
_MAX_PAUSE = 30.0
_JITTER = 0.25


@attrs.define(weakref_slot=False)
class Breaker:
    """Circuit breaker of one target.

    Parameters
    ----------
    threshold : int
        Consecutive failures that open it.
    open_until : float
        Monotonic seconds before which no request passes.
    consecutive_failures : int
        Failures since the last success.
    times_opened : int
        How often it has opened since the last success; 0 means closed.
    """

    threshold: int
    open_until: float = 0
    consecutive_failures: int = 0
    times_opened: int = 0
    _probing: bool = False

    @property
    def is_open(self) -> bool:
        """Whether it has opened and no request has succeeded since."""
        return self.times_opened > 0

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if not self.times_opened:
            return True
        return now >= self.open_until and not self._probing

    def record_start(self) -> None:
        """Record that a request is being sent, as a probe if this is open."""
        self._probing = self.times_opened > 0

    def record_success(self) -> None:
        """Record a success and close the breaker."""
        self.consecutive_failures = 0
        self.times_opened = 0
        self._probing = False

    def record_failure(
        self,
        now: float,
        rng: random.Random,
        *,
        certain: bool = False,
    ) -> bool:
        """Record a failure and return whether it opened the breaker.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        rng : random.Random
            Source of the jitter.
        certain : bool
            Whether one failure is enough, as for a refused connection.
        """
        self.consecutive_failures += self.threshold if certain else 1
        if self.times_opened and not self._probing:
            # Requests sent before the breaker opened give no new information;
            # counting them would extend the pause needlessly.
            return False
        if not self.times_opened and self.consecutive_failures < self.threshold:
            return False
        pause = min(_MAX_PAUSE, _INITIAL_PAUSE * 2**self.times_opened)
        # Jitter keeps routers that saw the same failure from probing at once.
        self.open_until = now + pause * (1 + _JITTER * rng.random())
        self.times_opened += 1
        self._probing = False
        return True

    def release_probe(self) -> None:
        """Record the end of a request that neither succeeded nor failed."""
        self._probing = False
