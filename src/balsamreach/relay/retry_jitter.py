"""Random jitter of the retry times of refused requests."""

import random

import attrs

from balsamreach.relay.faults import RelayFault

#: Maximum wait as a multiple of the minimum one. Callers that are refused in
#: one burst and given the same time would retry in the same burst.
_MAX_FACTOR = 2
#: Maximum jitter in seconds, so that no caller has to wait much longer just to
#: spread the retries of all.
_MAX_JITTER_S = 1.0


@attrs.define
class RetryJitter:
    """Spreads the times at which refused callers retry.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    """

    rng: random.Random = attrs.field(factory=random.Random)

    def add_jitter(self, fault: RelayFault) -> RelayFault:
        """Return a fault with a random delay added to its retry time."""
        if not fault.retry_after:
            return fault
        least = fault.retry_after
        jitter = min(least * (_MAX_FACTOR - 1), _MAX_JITTER_S)
        wait = least + self.rng.uniform(0, jitter)
        return attrs.evolve(fault, retry_after=wait)
