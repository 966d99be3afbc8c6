"""When callers of refused requests come back."""

import random

import attrs

from balsamreach.relay.faults import RelayFault

#: Times the least wait within which callers come back. Refused together in a
#: clump, and told the same time, they would come back as the same clump.
_SPREAD = 2
#: Seconds beyond which nobody's return is put off for the sake of others.
_MOST_SPREAD_S = 1.0


@attrs.define
class Returns:
    """Spreads the times at which refused callers come back.

    Parameters
    ----------
    rng : random.Random
        Source of the spread.
    """

    rng: random.Random = attrs.field(factory=random.Random)

    def spread(self, fault: RelayFault) -> RelayFault:
        """Return a fault with a time to come back of its own."""
        if not fault.retry_after:
            return fault
        least = fault.retry_after
        spread = min(least * (_SPREAD - 1), _MOST_SPREAD_S)
        wait = least + self.rng.uniform(0, spread)
        return attrs.evolve(fault, retry_after=wait)
