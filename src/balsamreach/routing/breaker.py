"""Suspends a target that fails repeatedly, and lets one probe through."""

import random

import attrs

_FIRST_PAUSE = 1.0
_LONGEST_PAUSE = 30.0
_JITTER = 0.25


@attrs.define(weakref_slot=False)
class Breaker:
    """Circuit breaker of one target.

    Parameters
    ----------
    threshold : int
        Failures in a row that open it.
    until : float
        Monotonic seconds up to which no request passes.
    """

    threshold: int
    until: float = 0
    failures: int = 0
    opened: int = 0
    _probing: bool = False

    @property
    def open(self) -> bool:
        """Whether it has opened and no probe has succeeded since."""
        return self.opened > 0

    def passes(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if not self.opened:
            return True
        return now >= self.until and not self._probing

    def begin(self) -> None:
        """Take note that a request is being sent."""
        self._probing = self.opened > 0

    def succeed(self) -> None:
        """Take note of a request that ended well."""
        self.failures = 0
        self.opened = 0
        self._probing = False

    def fail(
        self,
        now: float,
        rng: random.Random,
        *,
        certain: bool = False,
    ) -> bool:
        """Take note of a failure; True if it opened the breaker anew.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        rng : random.Random
            Source of the jitter.
        certain : bool
            Whether one failure is enough, as where nobody listens.
        """
        self.failures += self.threshold if certain else 1
        if self.opened and not self._probing:
            # Requests that were under way when the breaker opened tell
            # nothing new; counting them would stretch the pause needlessly.
            return False
        if not self.opened and self.failures < self.threshold:
            return False
        pause = min(_LONGEST_PAUSE, _FIRST_PAUSE * 2**self.opened)
        # Routers that saw the same failure must not probe all at once.
        self.until = now + pause * (1 + _JITTER * rng.random())
        self.opened += 1
        self._probing = False
        return True

    def release_probe(self) -> None:
        """Take note of a request that ended without telling anything."""
        self._probing = False
